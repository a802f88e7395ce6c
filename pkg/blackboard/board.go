package blackboard

import (
	"hash/maphash"
	"sync"
)

const shardCount = 16

var seed = maphash.MakeSeed()

// Board is a sharded map through which the controllers of an instance share values.
type Board struct {
	shards [shardCount]shard
}

type shard struct {
	mu      sync.RWMutex
	values  map[string]any
	waiters map[string]chan struct{}
}

// New returns an empty board.
func New() *Board {
	b := &Board{}
	for i := range b.shards {
		b.shards[i].values = map[string]any{}
		b.shards[i].waiters = map[string]chan struct{}{}
	}
	return b
}

func (b *Board) shard(name string) *shard {
	return &b.shards[maphash.String(seed, name)%shardCount]
}

// Key identifies a value of type T on a board.
type Key[T any] struct{ Name string }

// Get returns the value stored under the key and whether there is one.
func (k Key[T]) Get(b *Board) (T, bool) {
	s := b.shard(k.Name)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.values[k.Name].(T)
	return v, ok
}

// Put stores a value, which must not be modified afterwards, and wakes the goroutines that wait for a change.
func (k Key[T]) Put(b *Board, v T) {
	k.Update(b, func(T, bool) (T, bool) { return v, true })
}

// Update atomically replaces the value by the result of f, unless f returns false, and reports whether it did.
func (k Key[T]) Update(b *Board, f func(old T, ok bool) (T, bool)) bool {
	s := b.shard(k.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.values[k.Name].(T)
	v, changed := f(old, ok)
	if !changed {
		return false
	}
	s.values[k.Name] = v
	if c := s.waiters[k.Name]; c != nil {
		close(c)
		delete(s.waiters, k.Name)
	}
	return true
}

// Changed returns a channel that is closed at the next change of the value.
func (k Key[T]) Changed(b *Board) <-chan struct{} {
	s := b.shard(k.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.waiters[k.Name]
	if c == nil {
		c = make(chan struct{})
		s.waiters[k.Name] = c
	}
	return c
}
