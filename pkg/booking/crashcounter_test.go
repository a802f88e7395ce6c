package booking

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCrashCounter guards against a request that crashes one target after another, and against
// refusing one that was only lost along with others.
func TestCrashCounter(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	c := CrashCounter{Retention: 30 * time.Second}
	require.True(t, c.Empty())
	require.False(t, c.RecordCrash(at(1), at(0), "", "poison"))
	require.False(t, c.RecordCrash(at(3), at(2), "", "poison"))
	require.False(t, c.IsMarked(at(3), "poison"))
	require.True(t, c.RecordCrash(at(5), at(4), "", "poison"))
	require.True(t, c.IsMarked(at(6), "poison"))
	require.False(t, c.IsMarked(at(6), "other"))
	require.False(t, c.IsMarked(at(36), "poison"), "the count must expire after the retention")
	require.True(t, c.Empty())

	for range 5 {
		require.False(t, c.RecordCrash(at(50), at(40), "", "popular"), "the request was lost at several targets that crashed together")
	}
	require.False(t, c.RecordCrash(at(52), at(51), "", "popular"))
	require.True(t, c.RecordSuccess("popular"))
	require.False(t, c.RecordCrash(at(54), at(53), "", "popular"), "one attempt succeeded in between")
	require.False(t, c.IsMarked(at(54), "popular"))
}
