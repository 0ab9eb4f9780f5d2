package host

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Guards against rules that come back older, or never come into force, because the store has
// returned from an older copy and gives its revisions out again.
func TestRulesAreOrderedByTheOperatorsVersion(t *testing.T) {
	tc := newTestCluster(t, 1)
	tc.addServer("ledger", "r1")
	tc.setRules("/lookup/")
	h := tc.startVM(0)
	tc.waitFor(waitLimit, "rules", func() bool { return h.listeners.parts.State.Rules.Current().Rev > 0 })
	rules := h.listeners.parts.Rules
	apply := func(era object.Era, rev uint64, version int) {
		value := fmt.Sprintf(`{"version":%d,"List":[{"Name":"r","When":{"Prefix":"/v%d/"},"Then":{"Service":"ledger"}}],"Services":[{"Name":"ledger","Conns":50}]}`, version, version)
		rules.applyObject(object.Object{Name: "config/main", Version: object.NewVersion(era, rev), Value: []byte(value)})
	}
	inForce := func(version int) {
		t.Helper()
		assert.Equal(t, int(h.listeners.parts.State.Rules.Current().Rev), version)
	}
	apply(1, 1_000_000, 1_000_024)
	inForce(1_000_024)
	apply(2, 60, 1_000_020) // the copy
	inForce(1_000_024)
	apply(2, 61, 1_000_024) // the operator writes again what was lost
	inForce(1_000_024)
	apply(2, 62, 1_000_028)
	inForce(1_000_028)
	apply(1, 1_000_001, 1_000_026) // a watch that lags
	inForce(1_000_028)
	status, _ := tc.get(0, "/v1000028/", "")
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, h.Close())
}

// namedStore is a store that has objects with given values, by name.
type namedStore struct {
	object.Store
	values map[string]string
}

func (s namedStore) Get(_ context.Context, name string) (object.Object, error) {
	v, ok := s.values[name]
	if !ok {
		return object.Object{}, kinds.New(kinds.NotFound, name)
	}
	return object.Object{Name: name, Value: []byte(v)}, nil
}

// Guards against leaders of two eras that write over each other, and against two leaders
// while VMs of an earlier version, which know of no eras, are running.
func TestOwnObjectsOfAnEraAreItsOwn(t *testing.T) {
	for _, c := range []struct {
		lease string // under its plain name; empty: there is none
		era   object.Era
		want  string
	}{
		{"", 0, "own/lead"},
		{`{"epoch":3,"life":"a"}`, 0, "own/lead"},
		{`{"epoch":3,"life":"a"}`, 1, "own/lead"},           // of an earlier version
		{`{"epoch":3,"life":"a","era":2}`, 1, "own/lead"},   // of this one, after it
		{`{"epoch":3,"life":"a","era":1}`, 1, "own/1.lead"}, // of the era before
		{"", 1, "own/1.lead"},
		{`{"epoch":3,"life":"a"}`, 2, "own/2.lead"},
		{`{"epoch":3,"life":"a","era":2}`, 34, "own/34.lead"},
	} {
		s := namedStore{values: map[string]string{}}
		if c.lease != "" {
			s.values["own/lead"] = c.lease
		}
		o := &ownObjects{plat: Platform{OwnPrefix: "own/", Era: func() object.Era { return c.era }, Store: s}}
		name, err := o.name(t.Context(), "lead", c.era)
		assert.NilError(t, err)
		assert.Equal(t, name, c.want)
		assert.Equal(t, o.baseName(name), "lead")
		assert.Equal(t, o.baseName("own/keys-a.2"), "keys-a.2")
		_, err = o.put(t.Context(), "lead", nil, 0, c.era+1)
		assert.Equal(t, kinds.Of(err), kinds.Conflict)
	}
}
