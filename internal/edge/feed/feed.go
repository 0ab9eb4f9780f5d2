// Package feed defines what a platform's adapter provides to a running entry VM: the
// rules in force, the services and backend servers, and the means to send orders for keys
// to servers. It does not depend on a platform's names or formats.
package feed

import (
	"context"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/notice"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Server is a backend server as described by its own entry in the store.
type Server struct {
	Name    ident.Server   `json:"name"`
	Service ident.Service  `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Centre  ident.Centre   `json:"centre"`
	Slots   int            `json:"slots"`
	Leaving bool           `json:"leaving,omitempty"`
	// Cold is how much longer the server will be slow after its start.
	Cold time.Duration `json:"cold,omitempty"`
	// Incarnation distinguishes successive processes of a server with the same name.
	Incarnation int64 `json:"born,omitempty"`
	// Rev is the revision of the server's entry.
	Rev uint64 `json:"rev,omitempty"`
	// Evacuated is set by the VM while the server's data centre is evacuated. It is not
	// part of the entry.
	Evacuated bool `json:"-"`
	// Capped is set by the VM while the server is cold and its service limits the requests
	// that a cold server gets. It is not part of the entry.
	Capped bool `json:"-"`
	// Shedding is set by the leader while the server wants no requests from several VMs. It is
	// not part of the entry.
	Shedding bool `json:"-"`
	// Notice is set by the VM to what the server says about itself with its answers. It is
	// not part of the entry.
	Notice notice.Notice `json:"-"`
	// InvalidFields names the fields of the entry that could not be read, for the log.
	// The server is used all the same.
	InvalidFields string `json:"-"`
}

// Process identifies the process that wrote the entry.
func (s Server) Process() ident.Process {
	return ident.Process{Server: s.Name, Incarnation: s.Incarnation}
}

// Service is a group of backend servers.
type Service struct {
	Name    ident.Service
	Divided bool // divided by key: each key has one owner
	Conns   int  // connections that each server accepts from all entry VMs together
	// ColdRate is how many requests a second a cold server tolerates from all entry VMs
	// together; zero if there is no limit.
	ColdRate float64
}

// Limits restrict what a caller may send and how long it may take. Zero means no limit. A
// negative value marks a limit that could not be read, see [Limits.WithDefaults].
type Limits struct {
	Header        int           // size of a request's headers, in bytes
	Body          int64         // size of a request's body, in bytes
	HeaderTimeout time.Duration // longest wait for a request's headers
	IdleTimeout   time.Duration // idle caller connections are closed after this time
}

// WithDefaults replaces limits that could not be read with those of before. Without a
// limit, callers could send more than servers can handle, and a guessed limit might
// refuse what was always allowed. If there is no earlier limit either, the result is no
// limit.
func (l Limits) WithDefaults(before Limits) Limits {
	return Limits{
		Header: orBefore(l.Header, before.Header), Body: orBefore(l.Body, before.Body),
		HeaderTimeout: orBefore(l.HeaderTimeout, before.HeaderTimeout), IdleTimeout: orBefore(l.IdleTimeout, before.IdleTimeout),
	}
}

func orBefore[T int | int64 | time.Duration](limit, before T) T {
	if limit < 0 {
		return before
	}
	return limit
}

// Rules are the rules in force, the services that they name, and the limits.
type Rules struct {
	Rev      ident.Revision // increases with each change
	Name     string         // the operator's name of this version, for logs
	List     []match.Rule
	Services []Service
	Limits   Limits
	Faults   match.Faults // the parts that could not be read, for logs; everything else applies
}

// Grant assigns a span of keys to a backend server for a time that starts when the grant
// arrives there. Token, if not empty, is what the previous owner returned when it
// released the keys; it lets the new owner start warm.
type Grant struct {
	ranges.Span
	Fence uint64
	TTL   time.Duration
	Token string
}

// Orders sends orders for keys to backend servers. Errors carry kind Fenced if the server
// has accepted a higher fence for one of the keys, Malformed if it does not understand
// the order, Unavailable if the order certainly did not reach it, and Ambiguous if the
// server may have obeyed it or may do so seconds later. Kind Misrouted means that another
// server now has the address and did not obey.
type Orders interface {
	// Grant grants keys or renews an earlier grant.
	Grant(ctx context.Context, to netip.AddrPort, s ident.Server, g Grant) error
	// Release takes keys back. It returns when no work on them is left, with the token
	// for the next owner.
	Release(ctx context.Context, to netip.AddrPort, s ident.Server, keys ranges.Span, fence uint64) (token string, err error)
}

// Decoder decodes the contents of a platform's store.
type Decoder interface {
	// Server decodes the entry of a server. It fails if the entry cannot be read.
	Server(name string, value []byte) (Server, error)
	// Evacuation decodes the operator's request that the backend servers of a data centre
	// get no requests. It fails if the request cannot be read.
	Evacuation(name string, value []byte) (ident.Centre, error)
	// RulesVersion returns the operator's version of the rules, which only rises, or zero if
	// they have none that is a number.
	RulesVersion(value []byte) uint64
	// Rules decodes the rules in force. It fails only if single rules cannot be told
	// apart; a fault within one rule affects that rule only.
	Rules(rev ident.Revision, value []byte) (Rules, error)
}
