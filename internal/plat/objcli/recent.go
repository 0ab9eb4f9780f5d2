package objcli

import (
	"slices"
	"sync"

	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Some objects are read again and again only to see that they are the same: the
// rules twice a second by each VM that watches the store, half a megabyte each
// time with some thousand rules. They are read with the platform's tag of what is
// known, and answered in a line while it stands.
const (
	keptObjects = 4  // kept for that, a megabyte each at most
	namesKnown  = 16 // read lately; only a name that is read again is kept
)

// recent are the objects that are read again and again. The zero value is empty.
type recent struct {
	mu    sync.Mutex
	names []string // the latest last
	kept  []tagged // the latest last
}

type tagged struct {
	object.Object
	tag string
}

// of returns what is known of a name.
func (r *recent) of(name string) (tagged, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.kept {
		if x.Name == name {
			return x, true
		}
	}
	return tagged{}, false
}

// note takes an object that was read in full.
func (r *recent) note(name, tag string, o object.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := slices.Contains(r.names, name)
	r.names = latest(r.names, namesKnown, name, func(s string) bool { return s == name })
	r.kept = slices.DeleteFunc(r.kept, func(x tagged) bool { return x.Name == name })
	if !again || tag == "" || o.Name != name || len(o.Value) > object.MaxValue {
		return
	}
	o.Value = slices.Clone(o.Value)
	r.kept = latest(r.kept, keptObjects, tagged{o, tag}, func(tagged) bool { return false })
}

// latest puts an item at the end, once, and drops the oldest beyond most.
func latest[T any](all []T, most int, x T, same func(T) bool) []T {
	all = append(slices.DeleteFunc(all, same), x)
	return slices.Delete(all, 0, max(len(all)-most, 0))
}
