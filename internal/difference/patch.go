package difference

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// patchBlock is the length of the runs of the base that EncodePatch looks up in the value.
	patchBlock = 32
	// hashFactor is the multiplier of the rolling hash.
	hashFactor = 0x9e3779b97f4a7c15
)

// PatchError reports a patch that does not fit its base.
type PatchError struct{ Reason string }

func (e *PatchError) Error() string { return "patch: " + e.Reason }

// PatchPreferred reports whether a base is longer than what Encode can refer to, so that EncodePatch yields a smaller encoding.
func PatchPreferred(base []byte) bool { return len(base) > maxDictionaryBytes }

// EncodePatch returns a value encoded as runs copied from base and new bytes between them.
//
// Unlike Encode it refers to all of a long base. The encoding is a compressed sequence of groups: the length of the
// new bytes, these bytes, the length of the copied run and, unless that is 0, the distance of its start from the end
// of the run before it. The lengths are unsigned varints, the distance is a signed one.
func EncodePatch(base, value []byte) ([]byte, error) {
	p := patchWriter{base: base, value: value}
	prefix, suffix := CommonAffixes(base, value)
	p.copyRun(0, 0, prefix)
	p.copyMatches(prefix, len(value)-suffix, suffix)
	p.copyRun(len(base)-suffix, len(value)-suffix, suffix)
	p.addGroup(len(value), 0, 0)
	return Encode(nil, p.out)
}

// patchWriter collects the groups of a patch.
type patchWriter struct {
	base, value []byte
	out         []byte
	// written is the length of value that out holds, and baseEnd the end of the last copied run.
	written int
	baseEnd int
}

// copyRun adds a run of base that equals value from a position on; the bytes before it that are not written
// yet are new.
func (p *patchWriter) copyRun(from, at, length int) {
	if length > 0 {
		p.addGroup(at, from, length)
	}
}

func (p *patchWriter) addGroup(at, from, length int) {
	p.out = binary.AppendUvarint(p.out, uint64(at-p.written))
	p.out = append(p.out, p.value[p.written:at]...)
	p.out = binary.AppendUvarint(p.out, uint64(length))
	if length > 0 {
		p.out = binary.AppendVarint(p.out, int64(from-p.baseEnd))
		p.baseEnd = from + length
	}
	p.written = at + length
}

// copyMatches finds runs of base in value[start:end]; a suffix of base is left out.
func (p *patchWriter) copyMatches(start, end, suffix int) {
	base := p.base[:len(p.base)-suffix]
	if end-start < patchBlock || len(base) < patchBlock {
		return
	}
	blocks := make(map[uint64]int32, len(base)/patchBlock)
	for at := (len(base)/patchBlock - 1) * patchBlock; at >= 0; at -= patchBlock {
		blocks[hashOf(base[at:at+patchBlock])] = int32(at)
	}
	power := uint64(1)
	for range patchBlock - 1 {
		power *= hashFactor
	}
	at := start
	hash := hashOf(p.value[at : at+patchBlock])
	for at+patchBlock <= end {
		if from, length := p.matchAt(base, blocks, hash, at, end); length > 0 {
			back := 0
			for back < at-p.written && back < from && base[from-back-1] == p.value[at-back-1] {
				back++
			}
			p.copyRun(from-back, at-back, length+back)
			at += length
			if at+patchBlock <= end {
				hash = hashOf(p.value[at : at+patchBlock])
			}
			continue
		}
		if at+patchBlock < end {
			hash = (hash-uint64(p.value[at])*power)*hashFactor + uint64(p.value[at+patchBlock])
		}
		at++
	}
}

// matchAt returns the run of base that equals value from at on, or length 0. The run that continues the last one,
// as after a change of equal length, goes before one that is found by its hash.
func (p *patchWriter) matchAt(base []byte, blocks map[uint64]int32, hash uint64, at, end int) (from, length int) {
	if next := p.baseEnd + at - p.written; next < len(base) {
		if n := commonPrefix(base[next:], p.value[at:end]); n >= patchBlock {
			return next, n
		}
	}
	if block, ok := blocks[hash]; ok {
		if n := commonPrefix(base[block:], p.value[at:end]); n >= patchBlock {
			return int(block), n
		}
	}
	return 0, 0
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func hashOf(block []byte) uint64 {
	hash := uint64(0)
	for _, b := range block {
		hash = hash*hashFactor + uint64(b)
	}
	return hash
}

// DecodePatch returns the value that EncodePatch has encoded with the same base; the error is a *SizeError if the
// value has more than limit bytes, and a *PatchError if the patch does not fit the base.
func DecodePatch(base, encoded []byte, limit int) ([]byte, error) {
	// New bytes and lengths: the groups of a valid patch take little more than the value.
	groups, err := Decode(nil, encoded, 2*limit+patchBlock)
	if err != nil {
		return nil, err
	}
	r := bytes.NewReader(groups)
	var value []byte
	baseEnd := int64(0)
	for r.Len() > 0 {
		literal, err := binary.ReadUvarint(r)
		if err != nil || literal > uint64(r.Len()) {
			return nil, &PatchError{Reason: "truncated"}
		}
		at := len(groups) - r.Len()
		value = append(value, groups[at:at+int(literal)]...)
		_, _ = r.Seek(int64(literal), io.SeekCurrent)
		length, err := binary.ReadUvarint(r)
		if err != nil {
			return nil, &PatchError{Reason: "truncated"}
		}
		if length > 0 {
			distance, err := binary.ReadVarint(r)
			from := baseEnd + distance
			if err != nil || length > uint64(len(base)) || from < 0 || from > int64(len(base))-int64(length) {
				return nil, &PatchError{Reason: fmt.Sprintf("run of %d bytes is outside of the base", length)}
			}
			baseEnd = from + int64(length)
			value = append(value, base[from:baseEnd]...)
		}
		if len(value) > limit {
			return nil, &SizeError{Limit: limit}
		}
	}
	return value, nil
}
