package engine

import "github.com/cespare/xxhash/v2"

// BlockBytes is the number of prompt bytes in one block of a prefix cache.
const BlockBytes = 64

// BlockHashes returns the chained hashes of the complete blocks of a prompt, in order.
//
// Each hash covers all text up to the end of its block, so that two prompts share a block only if
// they share the whole prefix. At most limit blocks are hashed.
func BlockHashes(model, version, adapter, prompt string, limit int) []uint64 {
	h := xxhash.New()
	for _, s := range []string{model, version, adapter} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	n := min(len(prompt)/BlockBytes, limit)
	blocks := make([]uint64, 0, n)
	for i := range n {
		_, _ = h.WriteString(prompt[i*BlockBytes : (i+1)*BlockBytes])
		blocks = append(blocks, h.Sum64())
	}
	return blocks
}
