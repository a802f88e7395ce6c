package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// FieldChange is one difference between two documents; Old or New is empty if the field is absent there.
type FieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

func (c FieldChange) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences between two documents, sorted by path; list elements are matched by name.
//
// The revision and the record of the edit are left out.
func Diff(a, b *Document) []FieldChange {
	old, current := flattenDocument(a), flattenDocument(b)
	var list []FieldChange
	for path, v := range old {
		if w := current[path]; v != w {
			list = append(list, FieldChange{Path: path, Old: v, New: w})
		}
	}
	for path, w := range current {
		if _, ok := old[path]; !ok {
			list = append(list, FieldChange{Path: path, New: w})
		}
	}
	slices.SortFunc(list, func(x, y FieldChange) int { return bytes.Compare([]byte(x.Path), []byte(y.Path)) })
	return list
}

func flattenDocument(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	c := *d
	c.Revision, c.Edit = 0, nil
	data, _ := json.Marshal(&c)
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var tree map[string]any
	_ = dec.Decode(&tree)
	delete(tree, "revision")
	flattenValue(out, "", tree)
	return out
}

func flattenValue(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			flattenValue(out, joinPath(path, k), e)
		}
	case []any:
		for i, e := range v {
			flattenValue(out, fmt.Sprintf("%s[%s]", path, elementKey(i, e)), e)
		}
	default:
		data, _ := json.Marshal(v)
		out[path] = string(data)
	}
}

func joinPath(path, k string) string {
	if path == "" {
		return k
	}
	return path + "." + k
}

// elementKey returns a list element's name, or else its index, so that reordering is no change.
func elementKey(i int, e any) string {
	if m, ok := e.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
