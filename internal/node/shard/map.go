// Package shard provides a concurrent map that is split into shards with a
// mutex each, which reduces lock contention.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 32

// Map is a map with string keys that is safe for concurrent use. A key is
// assigned to a shard by its hash.
type Map[V any] struct {
	shards [shardCount]shard[V]
}

type shard[V any] struct {
	mutex  sync.Mutex
	values map[string]V
}

// New returns an empty map.
func New[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.shards {
		m.shards[i].values = map[string]V{}
	}
	return m
}

func (m *Map[V]) shardOf(key string) *shard[V] {
	return &m.shards[xxhash.Sum64String(key)%shardCount]
}

// Get returns the value of a key and whether the key exists.
func (m *Map[V]) Get(key string) (V, bool) {
	s := m.shardOf(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v, ok := s.values[key]
	return v, ok
}

// Set adds a key or replaces its value.
func (m *Map[V]) Set(key string, v V) {
	s := m.shardOf(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.values[key] = v
}

// Delete removes a key if it exists.
func (m *Map[V]) Delete(key string) {
	s := m.shardOf(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.values, key)
}

// Len returns the number of keys. It locks one shard after the other, so the
// result may be inexact while other goroutines change the map.
func (m *Map[V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mutex.Lock()
		n += len(m.shards[i].values)
		m.shards[i].mutex.Unlock()
	}
	return n
}

// DeleteIf removes every key for which f returns true. It locks one shard at a
// time and calls f under that lock, so f must not use the map.
func (m *Map[V]) DeleteIf(f func(key string, v V) bool) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mutex.Lock()
		for k, v := range s.values {
			if f(k, v) {
				delete(s.values, k)
			}
		}
		s.mutex.Unlock()
	}
}
