// Package chart runs state machines that are defined in TOML files, which are
// embedded beside the code that uses them. The file is the only definition: the
// code fires triggers and reads the state, and the library (qmuntal/stateless)
// rejects every transition that the file does not list.
//
// A chart file names the start state, the final states and the transitions:
//
//	name = "lease"
//	start = "none"
//	final = ["closed"]
//
//	[[move]]
//	from = "none"
//	on = "grant"
//	to = "held"
package chart

import (
	"context"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/qmuntal/stateless"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// State names a state of a chart.
type State string

// Trigger names the event that causes a transition.
type Trigger string

// Transition is one transition of a chart.
type Transition struct {
	From State   `toml:"from"`
	On   Trigger `toml:"on"`
	To   State   `toml:"to"`
}

// Chart is a parsed chart. It holds no current state, which each caller of Fire
// keeps itself, so one Chart serves any number of users.
type Chart struct {
	Name        string       `toml:"name"`
	Start       State        `toml:"start"`
	Final       []State      `toml:"final"`
	Transitions []Transition `toml:"move"`

	machine *stateless.StateMachine
}

// stateKey is the context key of the pointer to the caller's current state.
type stateKey struct{}

// Parse reads a chart and checks that it is complete: see [Chart.Check].
func Parse(src []byte) (*Chart, error) {
	var c Chart
	if err := toml.Unmarshal(src, &c); err != nil {
		return nil, kinds.Wrap(kinds.Malformed, err, "parse state chart")
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	c.buildMachine()
	return &c, nil
}

// MustParse is like [Parse] for embedded charts and panics on an invalid one.
func MustParse(src []byte) *Chart {
	c, err := Parse(src)
	if err != nil {
		panic(err)
	}
	return c
}

// buildMachine makes one library machine for all users of the chart. The
// current state is kept by the caller, so a thousand leases cost a thousand
// strings and not a thousand machines.
func (c *Chart) buildMachine() {
	get := func(ctx context.Context) (stateless.State, error) {
		return *ctx.Value(stateKey{}).(*State), nil
	}
	set := func(ctx context.Context, s stateless.State) error {
		*ctx.Value(stateKey{}).(*State) = s.(State)
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(get, set, stateless.FiringImmediate)
	for _, s := range c.States() {
		m.Configure(s)
	}
	for _, tr := range c.Transitions {
		if tr.From == tr.To {
			m.Configure(tr.From).PermitReentry(tr.On)
			continue
		}
		m.Configure(tr.From).Permit(tr.On, tr.To)
	}
	c.machine = m
}

// Fire applies the trigger to state s and returns the new state. A transition
// that is not in the chart returns s and an error of kind Internal.
func (c *Chart) Fire(s State, on Trigger) (State, error) {
	next := s
	ctx := context.WithValue(context.Background(), stateKey{}, &next)
	if err := c.machine.FireCtx(ctx, on); err != nil {
		return s, kinds.Wrap(kinds.Internal, err, "chart "+c.Name)
	}
	return next, nil
}

// Can reports whether the chart has a transition from s for the trigger.
func (c *Chart) Can(s State, on Trigger) bool {
	return slices.ContainsFunc(c.Transitions, func(tr Transition) bool { return tr.From == s && tr.On == on })
}

// States returns every state once, the start state first.
func (c *Chart) States() []State {
	all := []State{c.Start}
	add := func(s State) {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	for _, tr := range c.Transitions {
		add(tr.From)
		add(tr.To)
	}
	for _, s := range c.Final {
		add(s)
	}
	return all
}

// Check reports an error of kind Malformed unless the chart has a name and a
// start state, every state can be reached from the start, every state that is
// not final has a transition to leave it, no final state has one, and no state
// has two transitions for the same trigger.
func (c *Chart) Check() error {
	if c.Name == "" || c.Start == "" {
		return kinds.New(kinds.Malformed, "state chart without name or start")
	}
	for _, s := range c.States() {
		if err := c.checkState(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *Chart) checkState(s State) error {
	seen := map[Trigger]bool{}
	for _, tr := range c.Transitions {
		if tr.From != s {
			continue
		}
		if seen[tr.On] {
			return kinds.New(kinds.Malformed, "chart "+c.Name+": more than one transition for trigger "+string(tr.On)+" in state "+string(s))
		}
		seen[tr.On] = true
	}
	final := slices.Contains(c.Final, s)
	switch {
	case final && len(seen) > 0:
		return kinds.New(kinds.Malformed, "chart "+c.Name+": transition from final state "+string(s))
	case !final && len(seen) == 0:
		return kinds.New(kinds.Malformed, "chart "+c.Name+": no transition from non-final state "+string(s))
	case !slices.Contains(c.reachable(), s):
		return kinds.New(kinds.Malformed, "chart "+c.Name+": unreachable state "+string(s))
	}
	return nil
}

// reachable returns the states that can be reached from the start state.
func (c *Chart) reachable() []State {
	found := []State{c.Start}
	for i := 0; i < len(found); i++ {
		for _, tr := range c.Transitions {
			if tr.From == found[i] && !slices.Contains(found, tr.To) {
				found = append(found, tr.To)
			}
		}
	}
	return found
}
