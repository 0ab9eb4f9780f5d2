// Package objapi is a fake platform over HTTP and JSON: the object API, with versions,
// conditional updates and watches, and the list of VMs. It keeps everything in memory.
// Tests can make it fail: outages, delay, and answers that are lost after the write
// took effect.
//
// The protocol is specific to this fake. Another platform only needs other adapters in
// place of plat/objcli and plat/vmcli.
package objapi

import (
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// maxChanges bounds the changes that a watch can resume from. A watcher that is further
// behind must list again, as on the real platform.
const maxChanges = 4096

// memory is the state of the platform, without the HTTP side.
type memory struct {
	mu           sync.Mutex
	objects      map[string]object.Object
	lastVersion  object.Version // shared by all objects; rises with every write and delete
	changes      []object.Change
	droppedUntil object.Cursor // changes up to this cursor are discarded
	changed      chan struct{} // closed and replaced at each change
	vms          map[ident.VM]vmlist.VM
	history      map[string][]Written
}

// Written is one value of an object and the time at which it was written.
type Written struct {
	object.Object
	At time.Time
}

func newMemory() *memory {
	return &memory{
		objects: map[string]object.Object{},
		changed: make(chan struct{}),
		vms:     map[ident.VM]vmlist.VM{},
		history: map[string][]Written{},
	}
}

func (m *memory) recordHistory(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.history[name] == nil {
		m.history[name] = []Written{}
	}
}

func (m *memory) historyOf(name string) []Written {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.history[name])
}

func (m *memory) get(name string) (object.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, name)
	}
	return o, nil
}

func (m *memory) put(name string, value []byte, old object.Version) (object.Version, error) {
	if len(value) > object.MaxValue {
		return 0, kinds.New(kinds.TooLarge, name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if old != object.AnyVersion && m.objects[name].Version != old {
		return 0, kinds.New(kinds.Conflict, name)
	}
	m.lastVersion++
	o := object.Object{Name: name, Version: m.lastVersion, Value: slices.Clone(value)}
	m.objects[name] = o
	if past, ok := m.history[name]; ok {
		// The time is taken before any reader can see the value, so that it is not later
		// than any action based on the value.
		m.history[name] = append(past, Written{o, time.Now()})
	}
	m.appendChange(o)
	return o.Version, nil
}

func (m *memory) del(name string, old object.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return kinds.New(kinds.NotFound, name)
	}
	if old != object.AnyVersion && o.Version != old {
		return kinds.New(kinds.Conflict, name)
	}
	m.lastVersion++
	delete(m.objects, name)
	m.appendChange(object.Object{Name: name})
	return nil
}

// appendChange appends to the changes and wakes the watches. The cursor of a change is
// the store-wide version that it created. The caller holds mu.
func (m *memory) appendChange(o object.Object) {
	m.changes = append(m.changes, object.Change{Object: o, At: object.Cursor(m.lastVersion)})
	if over := len(m.changes) - maxChanges; over > 0 {
		m.droppedUntil = m.changes[over-1].At
		m.changes = slices.Clone(m.changes[over:])
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memory) list(prefix string) ([]object.Object, object.Cursor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []object.Object
	for name, o := range m.objects {
		if strings.HasPrefix(name, prefix) {
			all = append(all, o)
		}
	}
	slices.SortFunc(all, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	return all, object.Cursor(m.lastVersion)
}

// since returns the changes under a prefix after a cursor, the cursor to continue from,
// and a channel that is closed at the next change.
func (m *memory) since(prefix string, after object.Cursor) ([]object.Change, object.Cursor, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.droppedUntil {
		return nil, 0, nil, kinds.New(kinds.NotFound, "cursor too old")
	}
	var found []object.Change
	for _, c := range m.changes {
		if c.At > after && strings.HasPrefix(c.Name, prefix) {
			found = append(found, c)
		}
	}
	return found, max(after, object.Cursor(m.lastVersion)), m.changed, nil
}

func (m *memory) setVM(vm vmlist.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[vm.ID] = vm
}

func (m *memory) listVMs() []vmlist.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]vmlist.VM, 0, len(m.vms))
	for _, vm := range m.vms {
		all = append(all, vm)
	}
	slices.SortFunc(all, func(a, b vmlist.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}
