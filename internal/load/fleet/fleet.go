// Package fleet holds what all entry VMs together know of the load of each backend server.
//
// The load pattern: sixty VMs share seventy servers, so each VM sends one request to a
// server every few seconds. What it has seen itself of a server's load is then older than
// the queue there, and all VMs together overfill a server that none of them has crowded.
// So each VM reports what it saw to the leader, which sends all VMs the same list.
package fleet

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Sample is what one VM observed of one server since its last report.
type Sample struct {
	Server      ident.Server  `json:"s"`
	Incarnation int64         `json:"b,omitempty"` // see [ident.Process]
	Sent        int           `json:"n,omitempty"` // requests sent
	Offered     int           `json:"o,omitempty"` // requests sent, plus those the gate refused for lack of capacity there
	Answered    int           `json:"a,omitempty"` // requests answered
	Work        time.Duration `json:"w,omitempty"` // sum of the estimated service times of the answered requests
	Load        int           `json:"l,omitempty"` // running and waiting, as last reported by the server
	LoadAge     time.Duration `json:"t,omitempty"` // age of Load; zero if the server reported none
	ServedAge   time.Duration `json:"d,omitempty"` // since the newest of the answered requests was sent; zero if none was answered
	Refused     int           `json:"r,omitempty"` // refusals by the server because it was full
	Silent      int           `json:"x,omitempty"` // attempts unanswered at their deadline, with evidence
}

// Process returns the process that the sample is of.
func (s *Sample) Process() ident.Process {
	return ident.Process{Server: s.Server, Incarnation: s.Incarnation}
}

// Entry is the fleet-wide view of one server. Ages are as of when the list was sent.
type Entry struct {
	Server      ident.Server
	Incarnation int64
	Load        int           // newest report: running and waiting
	LoadAge     time.Duration // zero if there was no report
	ServedAge   time.Duration // since the newest answered request was sent; zero if unknown
	Sent        float64       // requests per second sent by all VMs
	Offered     float64       // requests per second offered by all VMs
	Work        time.Duration // mean service time there, which reflects the server's speed
}

// Process returns the process that the entry is of.
func (e *Entry) Process() ident.Process {
	return ident.Process{Server: e.Server, Incarnation: e.Incarnation}
}
