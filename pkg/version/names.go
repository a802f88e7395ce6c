package version

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxNames bounds the routes whose names are kept; with more, names are sent in full again.
const maxNames = 1024

// numberMark stands in the place of a name's length when its number follows.
const numberMark = 0xff

// RouteDictionary are the routes that one end of a link has sent or received, so that each
// name travels once and its number of 4 bytes from then on.
//
// The zero value knows none. Its caller serialises the calls.
type RouteDictionary struct{ byNumber map[uint32]string }

func number(route string) uint32 { return uint32(xxhash.Sum64String(route)) }

// Reset makes all names travel again, since the other end may not have them.
func (n *RouteDictionary) Reset() { clear(n.byNumber) }

// keep notes a route and reports whether it was known.
func (n *RouteDictionary) keep(route string) bool {
	if n == nil {
		return false
	}
	at := number(route)
	if n.byNumber[at] == route {
		return true
	}
	if n.byNumber == nil {
		n.byNumber = map[uint32]string{}
	}
	if len(n.byNumber) >= maxNames {
		clear(n.byNumber)
	}
	n.byNumber[at] = route
	return false
}

// appendRoute appends a name the first time and its number after that.
func (n *RouteDictionary) appendRoute(b []byte, route string) []byte {
	if n.keep(route) {
		return binary.BigEndian.AppendUint32(append(b, numberMark), number(route))
	}
	return append(append(b, byte(len(route))), route...)
}
