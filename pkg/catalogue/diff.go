package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// FieldChange is one difference between two documents; an absent side is empty.
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

// Diff returns what changed between two documents, by path; list elements are matched by name.
//
// The revision and the record of who put the document are left out.
func Diff(a, b *Document) []FieldChange {
	old, now := flatten(a), flatten(b)
	var list []FieldChange
	for path, v := range old {
		if w := now[path]; v != w {
			list = append(list, FieldChange{Path: path, Old: v, New: w})
		}
	}
	for path, w := range now {
		if _, ok := old[path]; !ok {
			list = append(list, FieldChange{Path: path, New: w})
		}
	}
	slices.SortFunc(list, func(x, y FieldChange) int { return bytes.Compare([]byte(x.Path), []byte(y.Path)) })
	return list
}

func flatten(d *Document) map[string]string {
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
	walk(out, "", tree)
	return out
}

func walk(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, e := range v {
			walk(out, join(path, k), e)
		}
	case []any:
		for i, e := range v {
			walk(out, fmt.Sprintf("%s[%s]", path, element(i, e)), e)
		}
	default:
		data, _ := json.Marshal(v)
		out[path] = string(data)
	}
}

func join(path, k string) string {
	if path == "" {
		return k
	}
	return path + "." + k
}

// element names a list element by its name, so that moving it is no change.
func element(i int, e any) string {
	if m, ok := e.(map[string]any); ok {
		if name, ok := m["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(i)
}
