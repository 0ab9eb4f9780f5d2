package hawthornfield

import "hawthornfield.org/hawthornfield/internal/core/loop"

// The heart: a pure update takes a message and returns the new state and the
// effects it wants, as values. Effects only run in the loop.
type (
	// Model is a decision module.
	Model = loop.Model
	// Msg is anything that happened.
	Msg = loop.Msg
	// Cmd is an effect as a value.
	Cmd = loop.Cmd
	// Runner carries out commands and reports what came of them.
	Runner = loop.Runner
	// RunnerFunc is a function used as a Runner.
	RunnerFunc = loop.RunnerFunc
	// AfterCmd asks the loop for a timer.
	AfterCmd = loop.AfterCmd
	// Loop runs one model until it is closed.
	Loop = loop.Loop
)

// NewLoop starts a loop over a model. Close it: that stops its timers and waits
// for everything it started.
func NewLoop(m Model, r Runner) *Loop { return loop.New(m, r) }
