package version

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// maxDictionaryRoutes is the largest number of routes in a dictionary; when it is reached, the dictionary is
// cleared and names are sent in full again.
const maxDictionaryRoutes = 1024

// routeIDMarker takes the place of a name's length if the route id follows.
const routeIDMarker = 0xff

// RouteDictionary has the routes that one end of a connection has sent or received, so that each
// name is sent once and its id of 4 bytes from then on.
//
// The zero value is an empty dictionary. The caller serialises the calls.
type RouteDictionary struct{ byID map[uint32]string }

func routeID(route string) uint32 { return uint32(xxhash.Sum64String(route)) }

// Reset empties the dictionary, so that all names are sent in full again; the other end may have lost them.
func (dict *RouteDictionary) Reset() { clear(dict.byID) }

// addRoute adds a route and reports whether the dictionary had it before.
func (dict *RouteDictionary) addRoute(route string) bool {
	if dict == nil {
		return false
	}
	id := routeID(route)
	if dict.byID[id] == route {
		return true
	}
	if dict.byID == nil {
		dict.byID = map[uint32]string{}
	}
	if len(dict.byID) >= maxDictionaryRoutes {
		clear(dict.byID)
	}
	dict.byID[id] = route
	return false
}

// appendRoute appends the name of a route the first time and its id after that.
func (dict *RouteDictionary) appendRoute(b []byte, route string) []byte {
	if dict.addRoute(route) {
		return binary.BigEndian.AppendUint32(append(b, routeIDMarker), routeID(route))
	}
	return append(append(b, byte(len(route))), route...)
}
