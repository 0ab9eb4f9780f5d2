package hawthornfield

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/load/gate"
)

// Admission control and choice of a backend server.
type (
	// Gate admits, queues or refuses the requests of one service and chooses their
	// backend servers. It is safe for concurrent use and does no network I/O: the
	// embedder forwards the request and reports the outcome to the [Permit].
	Gate = gate.Gate
	// GateConfig holds a gate's settings. The zero value works.
	GateConfig = gate.Config
	// Job describes a request to the gate.
	Job = gate.Job
	// Permit is the right to send one request to a backend server. It is held until
	// Done is called.
	Permit = gate.Permit
	// Outcome is the result of an attempt.
	Outcome = gate.Outcome
	// ServerInfo describes a backend server to the gate.
	ServerInfo = gate.ServerInfo
	// KeyOwner names the server that serves a key and the authority under which it
	// does. It is the argument of Gate.Follow.
	KeyOwner = gate.Owner
	// GateStats are a gate's figures for operators.
	GateStats = gate.Stats
)

// NewGate returns the gate of one service.
//
//	g := hawthornfield.NewGate(hawthornfield.GateConfig{Service: "lookup"})
//	defer g.Close()
//	g.SetServers([]hawthornfield.ServerInfo{{Name: "lookup-1", Slots: 4, Conns: 100}})
//	permit, err := g.Enter(ctx, hawthornfield.Job{Caller: "grower-7", Size: -1, Idempotent: true})
//	if err != nil {
//		return err // the request did not run; RetryAfter(err) says when to retry
//	}
//	permit.Done(forward(permit.Server()))
func NewGate(cfg GateConfig) *Gate { return gate.New(cfg) }

// RetryAfter returns how long a refused caller should wait before a retry, and zero for
// an error that is not a refusal.
func RetryAfter(err error) time.Duration { return gate.RetryAfter(err) }
