package hawthornfield

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/gate"
)

// Whom to serve, who waits, who is refused, and where work goes.
type (
	// Gate admits the requests of one service, from any goroutine. It needs no
	// network: the embedder forwards, and tells the pass what came of it.
	Gate = gate.Gate
	// GateConfig holds a gate's settings; the zero value works.
	GateConfig = gate.Config
	// Job is what the gate needs to know of a request.
	Job = gate.Job
	// Permit is a place on a backend server, held until Done.
	Permit = gate.Permit
	// Outcome is what became of an attempt.
	Outcome = gate.Outcome
	// ServerInfo describes a backend server to the gate.
	ServerInfo = gate.ServerInfo
	// KeyOwner is where a key is served and under which authority, for Gate.Follow.
	KeyOwner = gate.Owner
	// GateStats are a gate's figures for operators.
	GateStats = gate.Stats
)

// NewGate makes the gate of one service.
//
//	g := hawthornfield.NewGate(hawthornfield.GateConfig{Service: "lookup"})
//	defer g.Close()
//	g.SetServers([]hawthornfield.ServerInfo{{Name: "lookup-1", Slots: 4, Conns: 100}})
//	pass, err := g.Enter(ctx, hawthornfield.Job{Caller: "grower-7", Size: -1, Idempotent: true})
//	if err != nil {
//		return err // not run; RetryAfter(err) says when to come back
//	}
//	pass.Done(forward(pass.Server()))
func NewGate(cfg GateConfig) *Gate { return gate.New(cfg) }

// RetryAfter is when a refused caller should come back; zero for an error that
// is not a refusal.
func RetryAfter(err error) time.Duration { return gate.RetryAfter(err) }
