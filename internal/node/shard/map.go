// Package shard holds a map whose parts are guarded by locks of their own.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shards = 32

// Map is a map from strings that may be used concurrently.
type Map[V any] struct {
	parts [shards]part[V]
}

type part[V any] struct {
	mutex  sync.Mutex
	values map[string]V
}

// New returns an empty map.
func New[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.parts {
		m.parts[i].values = map[string]V{}
	}
	return m
}

func (m *Map[V]) part(key string) *part[V] {
	return &m.parts[xxhash.Sum64String(key)%shards]
}

// Get returns the value of a key.
func (m *Map[V]) Get(key string) (V, bool) {
	p := m.part(key)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// Set stores a value.
func (m *Map[V]) Set(key string, v V) {
	p := m.part(key)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.values[key] = v
}

// Delete removes a key.
func (m *Map[V]) Delete(key string) {
	p := m.part(key)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.values, key)
}

// Len returns the number of keys.
func (m *Map[V]) Len() int {
	n := 0
	for i := range m.parts {
		m.parts[i].mutex.Lock()
		n += len(m.parts[i].values)
		m.parts[i].mutex.Unlock()
	}
	return n
}

// DeleteIf removes every entry for which f is true. One shard is locked at a
// time; f must not use the map.
func (m *Map[V]) DeleteIf(f func(key string, v V) bool) {
	for i := range m.parts {
		p := &m.parts[i]
		p.mutex.Lock()
		for k, v := range p.values {
			if f(k, v) {
				delete(p.values, k)
			}
		}
		p.mutex.Unlock()
	}
}
