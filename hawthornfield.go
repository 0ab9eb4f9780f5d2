// Package hawthornfield is the library beside the daemon: the coordination
// parts of the router, each usable on its own.
//
// The parts are decision modules. They open no socket, start no goroutine and
// read no clock; they are told what happened and when, and return what should
// be done. An embedder brings the effects, or runs a module in a [Loop] with a
// [Runner] that carries them out:
//
//	seat := hawthornfield.NewSeat(hawthornfield.SeatConfig{
//		Self: "vm-1", Service: "lookup", Server: "lookup-3",
//	})
//	loop := hawthornfield.NewLoop(seat, runner)
//	defer loop.Close()
//	loop.Send(hawthornfield.PlanMsg{Lead: true})
//
// A file of this package is a concept: loop.go is the heart, ownership.go says
// who owns which key, load.go who is served and where, rules.go what a request
// matches, errors.go how things fail, platform.go what the surroundings must
// offer. The types are aliases of the module's inner packages, so that this
// surface can stay still while the inside changes.
//
// The programs under examples/ each embed one part and nothing else.
package hawthornfield

import "hawthornfield.org/hawthornfield/internal/core/ident"

// The names that every part shares.
type (
	// Service names a group of interchangeable backend servers.
	Service = ident.Service
	// Server names one backend server.
	Server = ident.Server
	// VM names one entry VM, or whatever process embeds a part.
	VM = ident.VM
	// Centre names a data centre.
	Centre = ident.Centre
	// Caller names who sent a request.
	Caller = ident.Caller
	// Key is what a divided service owns exclusively.
	Key = ident.Key
	// Slice is one of the equal parts that keys hash to.
	Slice = ident.Slice
	// Epoch numbers the successive holders of one authority; it only rises.
	Epoch = ident.Epoch
	// Revision numbers accepted versions; it only rises.
	Revision = ident.Revision
	// Fence orders every grant given for one backend server.
	Fence = ident.Fence
)

// SliceOf hashes a key to one of n slices, the same on every VM and in every
// version of the program.
func SliceOf(k Key, n uint32) Slice { return ident.SliceOf(k, n) }
