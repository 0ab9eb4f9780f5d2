// Package chart executes state charts that are written in TOML files embedded
// beside the code they rule. The file is the single source: the code fires
// triggers and asks for the state, the library (qmuntal/stateless) refuses
// every transition that the file does not draw.
//
// A chart file lists its states and transitions:
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

// Trigger names what makes a chart move.
type Trigger string

// Move is one arrow of a chart.
type Move struct {
	From State   `toml:"from"`
	On   Trigger `toml:"on"`
	To   State   `toml:"to"`
}

// Chart is a parsed chart. Share it: machines made from it keep their own state.
type Chart struct {
	Name  string  `toml:"name"`
	Start State   `toml:"start"`
	Final []State `toml:"final"`
	Transitions []Move  `toml:"move"`

	machine *stateless.StateMachine
}

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
	c.build()
	return &c, nil
}

// MustParse is Parse for embedded charts: a bad one is a fault of the build.
func MustParse(src []byte) *Chart {
	c, err := Parse(src)
	if err != nil {
		panic(err)
	}
	return c
}

// build makes one library machine for all users of the chart. The state lives
// with the caller, so a thousand leases cost a thousand strings, not a thousand
// machines.
func (c *Chart) build() {
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
	for _, mv := range c.Transitions {
		if mv.From == mv.To {
			m.Configure(mv.From).PermitReentry(mv.On)
			continue
		}
		m.Configure(mv.From).Permit(mv.On, mv.To)
	}
	c.machine = m
}

// Fire moves from s by the trigger and returns the new state. A transition that
// the chart does not draw fails with kind Internal and leaves s as it was.
func (c *Chart) Fire(s State, on Trigger) (State, error) {
	next := s
	ctx := context.WithValue(context.Background(), stateKey{}, &next)
	if err := c.machine.FireCtx(ctx, on); err != nil {
		return s, kinds.Wrap(kinds.Internal, err, "chart "+c.Name)
	}
	return next, nil
}

// Can reports whether the chart draws an arrow for the trigger from s.
func (c *Chart) Can(s State, on Trigger) bool {
	return slices.ContainsFunc(c.Transitions, func(m Move) bool { return m.From == s && m.On == on })
}

// States lists every state once, the start first.
func (c *Chart) States() []State {
	all := []State{c.Start}
	add := func(s State) {
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	for _, m := range c.Transitions {
		add(m.From)
		add(m.To)
	}
	for _, s := range c.Final {
		add(s)
	}
	return all
}

// Check holds the chart complete: every state can be reached from the start,
// every state that is not final has a way out, no final state has one, and no
// state answers a trigger in two ways.
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
	for _, m := range c.Transitions {
		if m.From != s {
			continue
		}
		if seen[m.On] {
			return kinds.New(kinds.Malformed, "chart "+c.Name+": two answers to "+string(m.On)+" in "+string(s))
		}
		seen[m.On] = true
	}
	final := slices.Contains(c.Final, s)
	switch {
	case final && len(seen) > 0:
		return kinds.New(kinds.Malformed, "chart "+c.Name+": a way out of the final state "+string(s))
	case !final && len(seen) == 0:
		return kinds.New(kinds.Malformed, "chart "+c.Name+": dead end "+string(s))
	case !slices.Contains(c.reached(), s):
		return kinds.New(kinds.Malformed, "chart "+c.Name+": no way to "+string(s))
	}
	return nil
}

func (c *Chart) reached() []State {
	found := []State{c.Start}
	for i := 0; i < len(found); i++ {
		for _, m := range c.Transitions {
			if m.From == found[i] && !slices.Contains(found, m.To) {
				found = append(found, m.To)
			}
		}
	}
	return found
}
