package host

import (
	"context"
	"strconv"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

const (
	// firstEra is the last era whose own objects have plain names: in it the store has not
	// returned from a copy that has any of them.
	firstEra object.Era = 1
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

// ownName returns the name of one of this system's own objects. Each era has objects of its
// own, so that a VM which has not heard of the store's return cannot write over those of the
// VMs that have: the store may have given out again the version that it knows.
func (p Platform) ownName(base string, era object.Era) string {
	if era <= firstEra {
		return p.OwnPrefix + base
	}
	return p.OwnPrefix + strconv.FormatUint(uint64(era), 10) + "." + base
}

// getOwn reads one of this system's own objects, and returns the era to which the result
// belongs.
func (p Platform) getOwn(ctx context.Context, base string) (object.Object, object.Era, error) {
	for n := 1; ; n++ {
		era := p.era()
		o, err := p.Store.Get(ctx, p.ownName(base, era))
		now := p.era()
		if era == now || n == maxEraReads || p.ownName(base, era) == p.ownName(base, now) {
			return o, now, err
		}
	}
}

// putOwn writes one of this system's own objects in an era. In another era it is a conflict.
func (p Platform) putOwn(ctx context.Context, base string, value []byte, old object.Version, era object.Era) (object.Version, error) {
	if era != p.era() {
		return 0, kinds.New(kinds.Conflict, "the store has returned from an older copy")
	}
	v, err := p.Store.Put(ctx, p.ownName(base, era), value, old)
	if err == nil && v.Era() != era {
		return 0, kinds.New(kinds.Conflict, "the store has returned from an older copy")
	}
	return v, err
}

// listOwn returns all eras' objects with a base name. It returns none if the store does not
// answer.
func (p Platform) listOwn(ctx context.Context, base string) []object.Object {
	all, _, err := p.Store.List(ctx, p.OwnPrefix)
	if err != nil {
		return nil
	}
	var found []object.Object
	for _, o := range all {
		if p.baseName(o.Name) == base {
			found = append(found, o)
		}
	}
	return found
}

// baseName returns the name of one of this system's own objects without its era.
func (p Platform) baseName(name string) string {
	name = strings.TrimPrefix(name, p.OwnPrefix)
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
	if kind != kinds.Unavailable && kind != kinds.Ambiguous {
		c.noteEra() // before the outage counts as over
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case kind != kinds.Unavailable && kind != kinds.Ambiguous:
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
