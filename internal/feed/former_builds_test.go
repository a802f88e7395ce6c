package feed

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bambooferry.example/bambooferry/internal/difference"
)

// Guards against messages of former builds that can't be read; each file was written by the build that it names.
func TestReadsMessagesOfFormerBuilds(t *testing.T) {
	files, err := filepath.Glob("testdata/message-*.bin")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		table := strings.Repeat("route ", 2000)
		recorder := &updateRecorder{}
		r := &Replicator{Prefixes: []string{"operators/", "targets/"}, Apply: recorder.apply}
		r.Init()
		r.applyChanges(&Update{}, Changes{Revision: 7, Events: []Event{{Item: Item{Key: "operators/table", Value: []byte(table), Revision: 5}}, {Item: Item{Key: "targets/b", Value: []byte("x"), Revision: 6}}}})
		r.HandleMessage(time.Now(), data)
		r.drainMessages()
		require.EqualValues(t, 10, r.Revision(), file)
		require.Equal(t, "new "+table, recorder.get("operators/table"))
		require.Equal(t, "text", recorder.get("targets/a"))
		_, listed := r.items["targets/b"]
		require.False(t, listed)
	}
}

// Guards against a long value that a former build takes for an empty one: it must find no difference that it can decode, and read
// the store.
func TestFormerBuildsDoNotDecodePatches(t *testing.T) {
	base := Item{Key: "operators/table", Value: []byte(routeTable(400)), Revision: 1}
	change := encodeChange(&Event{Item: Item{Key: base.Key, Value: append([]byte("a"), base.Value...), Revision: 2}}, base)
	require.NotEmpty(t, change.Patch)
	require.EqualValues(t, 1, change.BaseRevision, "a change without a base is a whole value to them")
	require.Empty(t, change.Text)
	_, err := decodeAsFormerBuild(base.Value, &change)
	require.Error(t, err)
}

// decodeAsFormerBuild decodes a change with a base as builds did that knew no patches.
func decodeAsFormerBuild(base []byte, change *changeItem) ([]byte, error) {
	return difference.Decode(base, change.Delta, maxValueSize)
}
