// Package objmem is an object store in memory, for tests that run under
// testing/synctest: a test decides for every single call whether it is slow, refused,
// or loses its answer after the write took effect. It uses no network, so the
// goroutines of a synctest bubble can become idle; fake/objapi is the fake over HTTP.
package objmem

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Op is the kind of a call.
type Op string

// The kinds of calls.
const (
	Get    Op = "get"
	Put    Op = "put"
	Delete Op = "delete"
	List   Op = "list"
	Watch  Op = "watch"
)

// Fault describes how one call fails. The zero value is a call that succeeds.
type Fault struct {
	Delay      time.Duration // before the call takes effect
	Down       bool          // refused, without effect
	LoseAnswer bool          // a write takes effect and is answered with Ambiguous
	LoseWrite  bool          // a write has no effect and is answered with Ambiguous
}

// Usage counts calls and bytes.
type Usage struct {
	Reads, Writes uint64 // calls, including refused ones
	In, Out       uint64 // bytes of values written and read
}

// Store implements [object.Store]. Create one with New.
type Store struct {
	mu       sync.Mutex
	objects  map[string]object.Object
	changes  []object.Change
	changed  chan struct{}
	faultFor func(op Op, name string) Fault
	usage    Usage
}

var _ object.Store = (*Store)(nil)

// New creates an empty store.
func New() *Store {
	return &Store{objects: map[string]object.Object{}, changed: make(chan struct{})}
}

// SetFault sets the function that chooses the fault of every later call; with nil all
// calls succeed.
func (s *Store) SetFault(f func(op Op, name string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = f
}

// SetDown begins or ends an outage.
func (s *Store) SetDown(down bool) {
	if !down {
		s.SetFault(nil)
		return
	}
	s.SetFault(func(Op, string) Fault { return Fault{Down: true} })
}

// Usage returns the counts so far.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

// begin counts a call, chooses its fault, and applies the delay and the refusal.
func (s *Store) begin(ctx context.Context, op Op, name string) (Fault, error) {
	s.mu.Lock()
	if op == Put || op == Delete {
		s.usage.Writes++
	} else {
		s.usage.Reads++
	}
	var f Fault
	if s.faultFor != nil {
		f = s.faultFor(op, name)
	}
	s.mu.Unlock()
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return f, kinds.Wrap(kinds.Ambiguous, ctx.Err(), string(op)+" "+name)
		}
	}
	if f.Down {
		return f, kinds.New(kinds.Unavailable, string(op)+" "+name)
	}
	return f, nil
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, name string) (object.Object, error) {
	if _, err := s.begin(ctx, Get, name); err != nil {
		return object.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, name)
	}
	s.usage.Out += uint64(len(o.Value))
	return o, nil
}

// Put writes an object, subject to the fault chosen for the call.
func (s *Store) Put(ctx context.Context, name string, value []byte, old object.Version) (object.Version, error) {
	f, err := s.begin(ctx, Put, name)
	if err != nil {
		return 0, err
	}
	if f.LoseWrite {
		return 0, kinds.New(kinds.Ambiguous, "put "+name)
	}
	v, err := s.put(name, value, old)
	if f.LoseAnswer {
		return 0, kinds.New(kinds.Ambiguous, "put "+name)
	}
	return v, err
}

func (s *Store) put(name string, value []byte, old object.Version) (object.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.In += uint64(len(value))
	if len(value) > object.MaxValue {
		return 0, kinds.New(kinds.TooLarge, name)
	}
	now := s.objects[name]
	if old != object.AnyVersion && now.Version != old {
		return 0, kinds.New(kinds.Conflict, name)
	}
	o := object.Object{Name: name, Version: now.Version + 1, Value: slices.Clone(value)}
	s.objects[name] = o
	s.appendChange(o)
	return o.Version, nil
}

// Delete removes an object. If it is written again, its versions start at 1, which the
// platform allows.
func (s *Store) Delete(ctx context.Context, name string, old object.Version) error {
	f, err := s.begin(ctx, Delete, name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	switch {
	case f.LoseWrite:
		return kinds.New(kinds.Ambiguous, "delete "+name)
	case !ok:
		return kinds.New(kinds.NotFound, name)
	case old != object.AnyVersion && o.Version != old:
		return kinds.New(kinds.Conflict, name)
	}
	delete(s.objects, name)
	s.appendChange(object.Object{Name: name})
	if f.LoseAnswer {
		return kinds.New(kinds.Ambiguous, "delete "+name)
	}
	return nil
}

// appendChange appends to the changes and wakes the watches. The caller holds mu.
func (s *Store) appendChange(o object.Object) {
	s.changes = append(s.changes, object.Change{Object: o, At: object.Cursor(len(s.changes) + 1)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the objects under a prefix, in name order.
func (s *Store) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	if _, err := s.begin(ctx, List, prefix); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []object.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			all = append(all, o)
			s.usage.Out += uint64(len(o.Value))
		}
	}
	slices.SortFunc(all, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	return all, object.Cursor(len(s.changes)), nil
}

// Watch waits for changes under a prefix after a cursor, or for the end of ctx.
func (s *Store) Watch(ctx context.Context, prefix string, after object.Cursor) ([]object.Change, object.Cursor, error) {
	if _, err := s.begin(ctx, Watch, prefix); err != nil {
		return nil, after, err
	}
	for {
		found, at, changed := s.since(prefix, after)
		if len(found) > 0 {
			return found, at, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, kinds.Wrap(kinds.Unavailable, ctx.Err(), "watch "+prefix)
		}
	}
}

func (s *Store) since(prefix string, after object.Cursor) ([]object.Change, object.Cursor, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []object.Change
	for _, c := range s.changes[min(int(after), len(s.changes)):] {
		if strings.HasPrefix(c.Name, prefix) {
			found = append(found, c)
		}
	}
	return found, object.Cursor(len(s.changes)), s.changed
}
