// Package feed holds what a platform tells an entry VM while it runs: which rules
// are in force, which services and backend servers there are, and how orders for
// keys are given to them. A platform's adapter fills it in; nothing here knows
// how that platform spells it.
package feed

import (
	"context"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/rules/match"
)

// Server is one backend server, in its own words.
type Server struct {
	Name    ident.Server   `json:"name"`
	Service ident.Service  `json:"service"`
	Addr    netip.AddrPort `json:"addr"`
	Centre  ident.Centre   `json:"centre"`
	Slots   int            `json:"slots"`
	Leaving bool           `json:"leaving,omitempty"`
	// Cold is for how much longer it is slow after its start.
	Cold time.Duration `json:"cold,omitempty"`
	// Incarnation tells one life of a server from the next under the same name.
	Incarnation int64 `json:"born,omitempty"`
	// Rev is the revision of the entry that says all this.
	Rev uint64 `json:"rev,omitempty"`
	// InvalidFields says which fields of the entry could not be read, for the log. The server
	// is good all the same.
	InvalidFields string `json:"-"`
}

// Service is one group of backend servers.
type Service struct {
	Name    ident.Service
	Divided bool // divided by key: each key has one owner
	Conns   int  // connections that each server accepts from all entry VMs together
}

// Limits bound what a caller may send, and how long it may take. Zero bounds nothing. A
// negative limit could not be read, see [Limits.WithDefaults].
type Limits struct {
	Header        int           // bytes of a request's headers
	Body          int64         // bytes of a request's body
	HeaderTimeout time.Duration // longest wait for a caller's headers
	IdleTimeout   time.Duration // idle caller connections are closed after this
}

// WithDefaults takes the limits before for those that could not be read. No limit in their place
// would let callers send what servers cannot bear, and a guessed one might turn away what
// was always allowed. Where none was known either, there is none.
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

// Rules are the rules in force, the services that they speak of, and the limits.
type Rules struct {
	Rev      ident.Revision // rises with each change
	Name     string         // the operator's own name of the version, for logs
	List     []match.Rule
	Services []Service
	Limits   Limits
	Faults   match.Faults // what could not be read, for logs; the rest holds all the same
}

// Grant gives a span of keys to a backend server for a while, counted from its
// arrival there. Token, if there is one, is what the former owner said as it gave
// the keys back; with it the next owner is not cold on them.
type Grant struct {
	ranges.Span
	Fence uint64
	TTL   time.Duration
	Token string
}

// Orders gives orders for keys to backend servers. Errors carry kind Fenced when
// the server has obeyed a higher fence on one of the keys, Malformed when it does
// not understand, Down when the order certainly did not reach it, and Ambiguous
// when it may be obeyed now or seconds later. Kind Misrouted says that another server
// has the address now, which obeyed nothing.
type Orders interface {
	// Grant gives keys or renews a grant that was given before.
	Grant(ctx context.Context, to netip.AddrPort, s ident.Server, g Grant) error
	// Release takes keys back. It returns when no work on them is left, with the
	// token for the next owner.
	Release(ctx context.Context, to netip.AddrPort, s ident.Server, keys ranges.Span, fence uint64) (token string, err error)
}

// Decoder decodes what a platform's store holds.
type Decoder interface {
	// Servers decodes the entries of servers. One that cannot be read names no
	// server and is returned among the bad.
	Server(name string, value []byte) (Server, error)
	// Rules decodes the rules in force. It fails only where no rule can be told from
	// another: what cannot be read of one concerns that one alone.
	Rules(rev ident.Revision, value []byte) (Rules, error)
}
