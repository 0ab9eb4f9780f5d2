// Package hawthornfield exports the coordination parts of the router as a library.
// Each part can be embedded without the daemon and without the others.
//
// The parts are state machines that open no sockets. A [Model] also starts no
// goroutines and reads no clock: its Update receives the time and a message and
// returns commands. The embedder executes the commands itself, or runs the model in a
// [Loop] with a [Runner] that executes them:
//
//	lessor := hawthornfield.NewLessor(hawthornfield.LessorConfig{
//		Self: "vm-1", Service: "lookup", Server: "lookup-3",
//	})
//	loop := hawthornfield.NewLoop(lessor, runner)
//	defer loop.Close()
//	loop.Send(hawthornfield.RoleMsg{Preferred: true})
//
// Each file holds one part:
//
//   - loop.go: the loop that runs a state machine
//   - ownership.go: which backend server owns which key
//   - load.go: admission control and choice of a backend server
//   - rules.go: matching of requests to rules
//   - errors.go: the kinds of errors
//   - platform.go: the interfaces to the platform
//
// The types are aliases of types in internal packages, so that this API can stay
// stable while the implementation changes.
//
// Each program under examples/ that imports this package embeds one part.
package hawthornfield

import "hawthornfield.org/hawthornfield/internal/core/ident"

// Names and numbers that all parts share.
type (
	// Service names a group of interchangeable backend servers.
	Service = ident.Service
	// Server names one backend server.
	Server = ident.Server
	// VM names one entry VM, or another process that embeds a part.
	VM = ident.VM
	// Centre names a data centre.
	Centre = ident.Centre
	// Caller names the customer who sent a request.
	Caller = ident.Caller
	// Key is the unit of ownership in a service that is divided by key: at any time,
	// at most one backend server owns it.
	Key = ident.Key
	// Slice numbers one of the equal parts of the key space, to which keys are hashed.
	Slice = ident.Slice
	// Epoch numbers the successive holders of one authority. It only increases.
	Epoch = ident.Epoch
	// Revision numbers accepted versions. It only increases.
	Revision = ident.Revision
	// Fence orders all grants for one backend server, so that outdated ones can be
	// rejected.
	Fence = ident.Fence
)

// SliceOf hashes a key to one of n slices, the same on every VM and in every
// version of the program.
func SliceOf(k Key, n uint32) Slice { return ident.SliceOf(k, n) }
