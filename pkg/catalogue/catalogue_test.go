package catalogue

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

func validDocument(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "valid.json"))
	require.NoError(t, err)
	return string(data)
}

// Guards against documents that are accepted although they violate a rule, and errors that lack the path, value or rule.
func TestInvalidDocuments(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ name, old, new string }{
		{"unknown field", `"owner"`, `"ownr"`},
		{"repeated field", `"class": "interactive"`, `"class": "interactive", "class": "batch"`},
		{"missing owner", `"assistant team"`, `""`},
		{"wrong type", `"in_progress": 200`, `"in_progress": "200"`},
		{"impossible limit", `"in_progress": 200`, `"in_progress": 0`},
		{"huge limit", `"in_progress": 200`, `"in_progress": 2000000`},
		{"bad duration", `"deadline": "2m"`, `"deadline": 120`},
		{"bad address", `"10.0.0.1:9000"`, `"engine-1:9000"`},
		{"address used twice", `"10.0.0.2:9000"`, `"10.0.0.1:9000"`},
		{"unknown version", `"version": "v1",`, `"version": "v9",`},
		{"change to itself", `"to": "v2"`, `"to": "v1"`},
		{"too large a share", `"largest_share": 0.1`, `"largest_share": 0.9`},
		{"repeatable for a model", `"versions": [{"name": "v1"}, {"name": "v2"}],`, `"versions": [{"name": "v1"}, {"name": "v2"}], "repeatable": [{"method": "GET", "path": "/"}],`},
		{"role that is no name", `"slots": 8}`, `"slots": 8, "role": "Pre fill"}`},
		{"role of a service", `"slots": 32}`, `"slots": 32, "role": "prefill"}`},
		{"repeatable path", `"path": "/status"`, `"path": "status"`},
		{"key in the open", `"key_sha256": "1111`, `"key_sha256": "secret`},
		{"format", `"format": 1`, `"format": 2`},
		{"list for object", `"limits": {"in_progress": 100,`, `"limits": [{"in_progress": 100,`},
		{"not JSON", `{`, `[`},
		{"two documents", `{`, `{} {`},
	} {
		text := strings.Replace(validDocument(t), c.old, c.new, 1)
		require.NotEqual(t, validDocument(t), text, c.name)
		_, err := Decode([]byte(text))
		var f *FieldError
		require.ErrorAs(t, err, &f, c.name)
		require.NotContains(t, err.Error(), "secret")
		out.WriteString(c.name + ": " + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "invalid", []byte(out.String()))
}

// Guards against fields that are lost when a document is encoded and decoded again.
func TestDocumentSurvivesEncoding(t *testing.T) {
	d, err := Decode([]byte(validDocument(t)))
	require.NoError(t, err)
	data, err := json.Marshal(d)
	require.NoError(t, err)
	again, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, d, again)
	require.Empty(t, Diff(d, again))
}

// Guards against a diff that misses a change or reports a mere change of order.
func TestDiff(t *testing.T) {
	a, err := Decode([]byte(validDocument(t)))
	require.NoError(t, err)
	b, err := Decode([]byte(validDocument(t)))
	require.NoError(t, err)
	b.Entries[0].Targets[0], b.Entries[0].Targets[1] = b.Entries[0].Targets[1], b.Entries[0].Targets[0]
	require.Empty(t, Diff(a, b))
	b.Entries[0].Limits.Queue++
	b.Entries[0].Target("engine-1").Role = "prefill"
	b.Entries[0].Target("engine-2").Role = "decode"
	a.Entries[0].Target("engine-2").Role = "prefill"
	b.Workspaces = b.Workspaces[:1]
	b.Entries[0].Change = nil
	var out strings.Builder
	for _, c := range Diff(a, b) {
		out.WriteString(c.String() + "\n")
	}
	goldie.New(t).Assert(t, "diff", []byte(out.String()))
}

// Guards against documents that make the decoder panic or accept what it cannot decode again.
func FuzzDecode(f *testing.F) {
	data, err := os.ReadFile(filepath.Join("testdata", "valid.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"format":1,"entries":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		out, err := json.Marshal(d)
		require.NoError(t, err)
		_, err = Decode(out)
		require.NoError(t, err)
	})
}
