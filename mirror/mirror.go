// Package mirror holds a VM's copy of the platform's objects: settings, keys and
// group records. Each object is only replaced by newer versions, whatever their
// source, so the copy never reverts. The copy also records how old it may be, for
// decisions that must not be based on old data.
package mirror

import (
	"encoding/binary"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
)

// Mirror is a copy of the store's objects. The zero value is empty and ready to use.
// It is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	objects map[string]mirrored // by name
	seq     uint64              // number of objects applied so far
	digest  uint64              // see Digest
	asOf    time.Time           // see AsOf
	changed chan struct{}       // closed at the next change; nil if Changed was not called since the last one
}

// mirrored is an object of the copy.
type mirrored struct {
	object pollendoor.Object
	seq    uint64 // sequence number of this copy when the object was applied
}

// Apply stores the objects of list that are newer than the copy's and returns them.
// asOf is a time at which the source was up to date with the store. If it is not known,
// the zero time leaves AsOf unchanged.
func (m *Mirror) Apply(list []pollendoor.Object, asOf time.Time) []pollendoor.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects == nil {
		m.objects = make(map[string]mirrored)
	}
	var updated []pollendoor.Object
	for _, o := range list {
		if o.Version <= m.objects[o.Name].object.Version {
			continue
		}
		m.seq++
		m.digest ^= hash(m.objects[o.Name].object) ^ hash(o)
		m.objects[o.Name] = mirrored{object: o, seq: m.seq}
		updated = append(updated, o)
	}
	if asOf.After(m.asOf) {
		m.asOf = asOf
	}
	if len(updated) > 0 && m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	return updated
}

// AsOf returns the latest time at which the copy is known to have been up to date
// with the store, or the zero time if there is none.
func (m *Mirror) AsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// Changed returns a channel that is closed when the copy changes next.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// hash returns the hash of an object's name and version, zero if there is no object.
func hash(o pollendoor.Object) uint64 {
	if o.Version == 0 {
		return 0
	}
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(o.Name), o.Version))
}

// Digest returns a hash of the names and versions of all objects. Copies with the same
// digest have the same objects.
func (m *Mirror) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digest
}

// Missing is like Since for a copy with the given digest, which lacks nothing if it has
// the same digest as this one.
func (m *Mirror) Missing(seq, digest uint64) ([]pollendoor.Object, uint64, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if digest == m.digest {
		return nil, m.seq, m.asOf
	}
	return m.since(seq), m.seq, m.asOf
}

// Since returns the objects applied after sequence number seq, the copy's current
// sequence number, and the time returned by AsOf.
func (m *Mirror) Since(seq uint64) ([]pollendoor.Object, uint64, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since(seq), m.seq, m.asOf
}

// since returns the objects applied after sequence number seq. The caller holds mu.
func (m *Mirror) since(seq uint64) []pollendoor.Object {
	var list []pollendoor.Object
	if seq < m.seq {
		for _, e := range m.objects {
			if e.seq > seq {
				list = append(list, e.object)
			}
		}
	}
	return list
}

// Get returns the object with the given name; its version is zero if there is none.
func (m *Mirror) Get(name string) pollendoor.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[name].object
}

// WithPrefix returns the objects whose names start with prefix, sorted by name.
func (m *Mirror) WithPrefix(prefix string) []pollendoor.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []pollendoor.Object
	for n, e := range m.objects {
		if strings.HasPrefix(n, prefix) {
			list = append(list, e.object)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
