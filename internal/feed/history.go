package feed

// maxHistoryBytes bounds the changes that an instance keeps for others. The latest ones are kept whatever their size.
const maxHistoryBytes = 512 << 10

// history holds the latest changes of a copy in the form in which they are sent, without a gap between them.
type history struct {
	era     int64
	entries []historyEntry
	bytes   int
}

type historyEntry struct {
	// from and to are the revisions before and after the changes.
	from, to int64
	items    []changeItem
	bytes    int
}

func (h *history) reset() { *h = history{} }

// add adds the changes between two versions; changes that do not continue those before replace them.
func (h *history) add(from, to Version, items []changeItem) {
	last := len(h.entries) - 1
	if last >= 0 && (to.Era != h.era || from.Revision > h.entries[last].to) {
		h.reset()
		last = -1
	}
	h.era = to.Era
	if last >= 0 && len(items) == 0 {
		h.entries[last].to = max(h.entries[last].to, to.Revision)
		return
	}
	e := historyEntry{from: from.Revision, to: to.Revision, items: items}
	for i := range items {
		e.bytes += items[i].size()
	}
	h.entries = append(h.entries, e)
	h.bytes += e.bytes
	for len(h.entries) > 1 && h.bytes > maxHistoryBytes {
		h.bytes -= h.entries[0].bytes
		h.entries = h.entries[1:]
	}
}

// after returns the changes after a version; ok is false if some of them are not known any more.
func (h *history) after(version Version) (items []changeItem, ok bool) {
	if len(h.entries) == 0 || version.Era != h.era || version.Revision < h.entries[0].from {
		return nil, false
	}
	for i := range h.entries {
		if h.entries[i].to <= version.Revision {
			continue
		}
		for _, it := range h.entries[i].items {
			if it.Revision > version.Revision {
				items = append(items, it)
			}
		}
	}
	return items, true
}

// size returns about the bytes that the item takes.
func (c *changeItem) size() int {
	return 100 + len(c.Key) + len(c.Text) + len(c.Value) + len(c.Delta) + len(c.Patch)
}
