package host

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

const (
	// maxEraReads bounds how often an object is read under the name of another era, because
	// the answer told that the store has returned.
	maxEraReads = 3
	// maxSilentLeader is how long before the store was lost the leader may last have been
	// heard for a VM to know who served each key when it ended.
	maxSilentLeader = 3 * time.Second
)

func (p Platform) era() object.Era {
	if p.Era == nil {
		return 0
	}
	return p.Era()
}

// ownObjects reads and writes this system's own objects. Each era of the store has objects of
// its own, so that a VM which has not heard of the store's return cannot write over those of
// the VMs that have: the store may have given out again the version that it knows.
type ownObjects struct {
	plat Platform
	mu   sync.Mutex
	// plainInFirst says whether the first era's objects have plain names, nil if unknown.
	plainInFirst *bool
}

// firstEra is the era in which VMs of an earlier version, which know of none, may be running.
// The store tells it from its start, or after a first return.
const firstEra object.Era = 1

// name returns the name of an object in an era. Without eras it is plain. So it is in the first
// era if the lease is there under its plain name, written in that era or by an earlier
// version: with names of their own, two versions would have two leaders.
func (o *ownObjects) name(ctx context.Context, base string, era object.Era) (string, error) {
	plain := o.plat.OwnPrefix + base
	switch era {
	case 0:
		return plain, nil
	case firstEra:
		if isPlain, err := o.isPlainInFirst(ctx); err != nil || isPlain {
			return plain, err
		}
	}
	return o.plat.OwnPrefix + strconv.FormatUint(uint64(era), 10) + "." + base, nil
}

func (o *ownObjects) isPlainInFirst(ctx context.Context) (bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.plainInFirst != nil {
		return *o.plainInFirst, nil
	}
	stored, err := o.plat.Store.Get(ctx, o.plat.OwnPrefix+leaseObject)
	if err != nil && kinds.Of(err) != kinds.NotFound {
		return false, err
	}
	var l elect.Lease
	isPlain := err == nil && (json.Unmarshal(stored.Value, &l) != nil || l.Era.Is(firstEra))
	o.plainInFirst = &isPlain
	return isPlain, nil
}

// get reads an object, and returns the era to which the result belongs.
func (o *ownObjects) get(ctx context.Context, base string) (object.Object, object.Era, error) {
	for n := 1; ; n++ {
		era := o.plat.era()
		name, err := o.name(ctx, base, era)
		if err != nil {
			return object.Object{}, era, err
		}
		found, err := o.plat.Store.Get(ctx, name)
		if now := o.plat.era(); now == era || n == maxEraReads {
			return found, now, err
		}
	}
}

// put writes an object of an era. In another era of the store it is a conflict.
func (o *ownObjects) put(ctx context.Context, base string, value []byte, old object.Version, era object.Era) (object.Version, error) {
	name, err := o.name(ctx, base, era)
	if err != nil {
		return 0, err
	}
	if era != o.plat.era() {
		return 0, errReturned
	}
	v, err := o.plat.Store.Put(ctx, name, value, old)
	if err == nil && v.Era() != era {
		return 0, errReturned
	}
	return v, err
}

var errReturned = kinds.New(kinds.Conflict, "the store has returned from an older copy")

// list returns all eras' objects with a base name. It returns none if the store does not
// answer.
func (o *ownObjects) list(ctx context.Context, base string) []object.Object {
	all, _, err := o.plat.Store.List(ctx, o.plat.OwnPrefix)
	if err != nil {
		return nil
	}
	var found []object.Object
	for _, it := range all {
		if o.baseName(it.Name) == base {
			found = append(found, it)
		}
	}
	return found
}

// baseName returns the name of an object without its era.
func (o *ownObjects) baseName(name string) string {
	name = strings.TrimPrefix(name, o.plat.OwnPrefix)
	if era, base, ok := strings.Cut(name, "."); ok && strings.Trim(era, "0123456789") == "" {
		return base
	}
	return name
}

// storeEra returns the latest era of the store that this VM knows, from the store or from
// other VMs.
func (c *coordinator) storeEra() object.Era {
	_, servers := c.hub.Revs()
	return max(c.plat.era(), object.Version(servers).Era(), c.model().Era())
}

// noteEra logs that the store has returned from an older copy.
func (c *coordinator) noteEra() {
	era := c.storeEra()
	if c.recordEra(era) {
		c.election.Send(elect.EraMsg{Era: era})
	}
}

// recordEra records the era if it is later than all before, and reports whether it is.
func (c *coordinator) recordEra(era object.Era) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era <= c.era {
		return false
	}
	if c.era != 0 {
		c.log.Warn("store returned from an older copy", "era", era, "before", c.era)
	} else {
		c.log.Info("era of the store", "era", era)
	}
	c.era = era
	if c.lostAt = c.failingAt; c.lostAt.IsZero() {
		c.lostAt = clock.Now()
	}
	return true
}

// noteStoreCall records whether the store answered a call that was sent at a time.
func (c *coordinator) noteStoreCall(asked time.Time, kind kinds.Kind) {
	answered := kind != kinds.Unavailable && kind != kinds.Ambiguous
	if answered {
		c.hub.SetStoreContact(time.Now())
		c.noteEra() // before the outage counts as over
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case answered:
		c.failingAt = time.Time{}
	case c.failingAt.IsZero():
		c.failingAt = asked
	}
}

// servedBefore returns which servers served a service's keys when the leader before last
// told. It returns nothing if this VM had not heard from it shortly before the store was
// lost, or led before that: there may be later moves then.
func (c *coordinator) servedBefore(svc ident.Service) []ranges.Assignment {
	c.mu.Lock()
	lostAt := c.lostAt
	c.mu.Unlock()
	s, ok := c.state.Service(svc)
	heard := c.hub.HeardAt()
	if !ok || heard.IsZero() || heard.Before(lostAt.Add(-maxSilentLeader)) || c.model().LeadingSince().Before(lostAt) {
		return nil
	}
	view, _ := s.Finder().(*ranges.View)
	if view == nil {
		return nil
	}
	return view.Spans()
}
