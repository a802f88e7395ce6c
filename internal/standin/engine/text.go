package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"bambooferry.example/bambooferry/pkg/engine"
)

var words = strings.Fields(`stall trader market pitch tape measure blade batch notice dealer corner row
	table van early opening organiser map refund return recall shop letter record street square
	number plan space gate weather ground price copper ribbon crate basket lamp chair`)

// TokenText returns the token at a position of the correct answer to a request.
func TokenText(r *engine.Request, position uint64) string {
	h := xxhash.New()
	for _, s := range []string{r.Model, r.Version, r.Adapter, r.Prompt} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], r.Seed)
	binary.LittleEndian.PutUint64(b[8:], position)
	_, _ = h.Write(b[:])
	return words[h.Sum64()%uint64(len(words))] + " "
}

// AnswerText returns the first n tokens of the correct answer to a request.
func AnswerText(r *engine.Request, n uint64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(r, i))
	}
	return b.String()
}
