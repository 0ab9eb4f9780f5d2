// Package objmem is an object API in memory, for tests that run on the fake
// clock: a test decides for every single call whether it is slow, refused, or
// loses its answer after the write took effect. It knows no network, so a test
// bubble with it can become idle; fake/objapi is the stand-in over HTTP.
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

// Op names a call.
type Op string

// The calls.
const (
	Get    Op = "get"
	Put    Op = "put"
	Delete Op = "delete"
	List   Op = "list"
	Watch  Op = "watch"
)

// Fault is what happens to one call. The zero value is a call that works.
type Fault struct {
	Delay      time.Duration // before the call takes effect
	Down       bool          // refused, without effect
	LoseAnswer bool          // a write takes effect and is answered with Ambiguous
	LoseWrite  bool          // a write has no effect and is answered with Ambiguous
}

// Usage counts what callers asked for.
type Usage struct {
	Reads, Writes uint64 // calls, refused ones included
	In, Out       uint64 // bytes of values written and read
}

// Store implements [object.Store]. Make one with New.
type Store struct {
	mu      sync.Mutex
	objects map[string]object.Object
	log     []object.Change
	wake    chan struct{}
	fault   func(op Op, name string) Fault
	usage   Usage
}

var _ object.Store = (*Store)(nil)

// New makes an empty store.
func New() *Store {
	return &Store{objects: map[string]object.Object{}, wake: make(chan struct{})}
}

// SetFault decides the fault of every later call; nil means that all work.
func (s *Store) SetFault(f func(op Op, name string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
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

// enter counts the call and applies what comes before its effect.
func (s *Store) enter(ctx context.Context, op Op, name string) (Fault, error) {
	s.mu.Lock()
	if op == Put || op == Delete {
		s.usage.Writes++
	} else {
		s.usage.Reads++
	}
	var f Fault
	if s.fault != nil {
		f = s.fault(op, name)
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
	if _, err := s.enter(ctx, Get, name); err != nil {
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

// Put writes an object under the fault chosen for the call.
func (s *Store) Put(ctx context.Context, name string, value []byte, old object.Version) (object.Version, error) {
	f, err := s.enter(ctx, Put, name)
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
	s.note(o)
	return o.Version, nil
}

// Delete removes an object. Its versions start again at one afterwards, which
// the platform does not exclude.
func (s *Store) Delete(ctx context.Context, name string, old object.Version) error {
	f, err := s.enter(ctx, Delete, name)
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
	s.note(object.Object{Name: name})
	if f.LoseAnswer {
		return kinds.New(kinds.Ambiguous, "delete "+name)
	}
	return nil
}

func (s *Store) note(o object.Object) {
	s.log = append(s.log, object.Change{Object: o, At: object.Cursor(len(s.log) + 1)})
	close(s.wake)
	s.wake = make(chan struct{})
}

// List returns the objects under a prefix, in name order.
func (s *Store) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	if _, err := s.enter(ctx, List, prefix); err != nil {
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
	return all, object.Cursor(len(s.log)), nil
}

// Watch waits for a change under a prefix, or for the end of ctx.
func (s *Store) Watch(ctx context.Context, prefix string, after object.Cursor) ([]object.Change, object.Cursor, error) {
	if _, err := s.enter(ctx, Watch, prefix); err != nil {
		return nil, after, err
	}
	for {
		found, at, wake := s.since(prefix, after)
		if len(found) > 0 {
			return found, at, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, after, kinds.Wrap(kinds.Unavailable, ctx.Err(), "watch "+prefix)
		}
	}
}

func (s *Store) since(prefix string, after object.Cursor) ([]object.Change, object.Cursor, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []object.Change
	for _, c := range s.log[min(int(after), len(s.log)):] {
		if strings.HasPrefix(c.Name, prefix) {
			found = append(found, c)
		}
	}
	return found, object.Cursor(len(s.log)), s.wake
}
