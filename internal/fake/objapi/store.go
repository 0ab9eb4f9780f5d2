// Package objapi is a small stand-in for the platform: the object API over HTTP
// and JSON, with versions, conditional updates and watches, and the list of
// VMs. It lives in memory and is made to misbehave on demand: outages, delay,
// and answers that are lost after the write took effect.
//
// The protocol is the stand-in's own. Another platform needs another adapter in
// place of plat/objcli and plat/vmcli, nothing more.
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

// keptChanges bounds the history that a watch can resume from. A watcher that
// fell further behind must list again, as on the real platform.
const keptChanges = 4096

// memory is the state of the store, apart from how it is served.
type memory struct {
	mu      sync.Mutex
	objects map[string]object.Object
	last    object.Version // versions rise over all objects, also after a delete
	log     []object.Change
	dropped object.Cursor // changes up to here are forgotten
	wake    chan struct{} // closed and replaced at each change
	vms     map[ident.VM]vmlist.VM
	kept    map[string][]Written
}

// Written is one value that an object had, and since when.
type Written struct {
	object.Object
	At time.Time
}

func newMemory() *memory {
	return &memory{
		objects: map[string]object.Object{},
		wake:    make(chan struct{}),
		vms:     map[ident.VM]vmlist.VM{},
		kept:    map[string][]Written{},
	}
}

func (m *memory) keep(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.kept[name] == nil {
		m.kept[name] = []Written{}
	}
}

func (m *memory) written(name string) []Written {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.kept[name])
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
	m.last++
	o := object.Object{Name: name, Version: m.last, Value: slices.Clone(value)}
	m.objects[name] = o
	if past, ok := m.kept[name]; ok {
		// Before any reader can see the value: whoever acts on it does so later.
		m.kept[name] = append(past, Written{o, time.Now()})
	}
	m.note(o)
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
	m.last++
	delete(m.objects, name)
	m.note(object.Object{Name: name})
	return nil
}

// note appends to the history and wakes the watches. The caller holds mu. The
// cursor of a change is the store-wide version that it made.
func (m *memory) note(o object.Object) {
	m.log = append(m.log, object.Change{Object: o, At: object.Cursor(m.last)})
	if over := len(m.log) - keptChanges; over > 0 {
		m.dropped = m.log[over-1].At
		m.log = slices.Clone(m.log[over:])
	}
	close(m.wake)
	m.wake = make(chan struct{})
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
	return all, object.Cursor(m.last)
}

// since returns the changes after a cursor and a channel that closes at the
// next change.
func (m *memory) since(prefix string, after object.Cursor) ([]object.Change, object.Cursor, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.dropped {
		return nil, 0, nil, kinds.New(kinds.NotFound, "cursor too old")
	}
	var found []object.Change
	for _, c := range m.log {
		if c.At > after && strings.HasPrefix(c.Name, prefix) {
			found = append(found, c)
		}
	}
	return found, max(after, object.Cursor(m.last)), m.wake, nil
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
