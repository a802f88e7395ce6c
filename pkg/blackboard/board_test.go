package blackboard

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a waiter that misses a change stored after it began to wait.
func TestChangedWakesWaiters(t *testing.T) {
	b := New()
	k := Key[int]{Name: "revision"}
	c := k.Changed(b)
	k.Put(b, 4)
	<-c
	v, ok := k.Get(b)
	require.True(t, ok)
	require.Equal(t, 4, v)
}

// Guards against lost updates when several controllers change one key.
func TestUpdateIsAtomic(t *testing.T) {
	b := New()
	k := Key[int]{Name: "count"}
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() { k.Update(b, func(old int, _ bool) (int, bool) { return old + 1, true }) })
	}
	wg.Wait()
	v, _ := k.Get(b)
	require.Equal(t, 100, v)
}

// Guards against a rejected update that still changes the value.
func TestRejectedUpdateKeepsValue(t *testing.T) {
	b := New()
	k := Key[int]{Name: "revision"}
	k.Put(b, 4)
	require.False(t, k.Update(b, func(int, bool) (int, bool) { return 3, false }))
	v, _ := k.Get(b)
	require.Equal(t, 4, v)
}
