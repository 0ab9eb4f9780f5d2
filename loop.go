package hawthornfield

import "hawthornfield.org/hawthornfield/internal/core/loop"

// The loop that runs a pure state machine. The state machine's Update takes a message
// and returns the new state and the requested effects as values; only the loop executes
// effects.
type (
	// Model is a pure state machine.
	Model = loop.Model
	// Msg is an event that a Model handles, such as an answer or an expired timer.
	Msg = loop.Msg
	// Cmd is an effect that a Model requests.
	Cmd = loop.Cmd
	// Runner executes commands and reports their results as messages.
	Runner = loop.Runner
	// RunnerFunc is a function used as a Runner.
	RunnerFunc = loop.RunnerFunc
	// AfterCmd asks the loop to deliver a message after a delay.
	AfterCmd = loop.AfterCmd
	// Loop runs one Model until it is closed.
	Loop = loop.Loop
)

// NewLoop starts a loop that runs m. The caller must close it; Close stops its timers
// and waits for everything that it started.
func NewLoop(m Model, r Runner) *Loop { return loop.New(m, r) }
