// Package config reads the daemon's settings: one TOML file, decoded strictly
// and checked whole before anything is opened.
//
// A setting that is misspelt and silently ignored is noticed weeks later, when
// the limit it should have set is missing. So an unknown key, a bad address or
// a limit that cannot be met is an error that names its line, and every value
// that is left out has a default that works.
//
//	cfg, err := config.Load("vm-1.toml")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // vm-1.toml:12: lease.ttl: must be at least 50ms
//	}
package config

import (
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Config is the whole file.
type Config struct {
	VM     ident.VM     `toml:"vm" validate:"required,max=64"`     // name of this VM, never used twice
	Centre ident.Centre `toml:"centre" validate:"required,max=64"` // its data centre
	Region ident.Region `toml:"region" validate:"max=64"`          // its region; data centres in it are near

	Listen   Listen    `toml:"listen"`
	Platform Platform  `toml:"platform"`
	Services []Service `toml:"service" validate:"dive"`
	Lease    Lease     `toml:"lease"`
	Limit    Limit     `toml:"limit"`
	Certs    Certs     `toml:"certs"`
	Journal  Journal   `toml:"journal"`
	Rules    Rules     `toml:"rules"`
	Log      Log       `toml:"log"`
}

// Listen holds the addresses that this VM opens. Port 0 takes any free port.
type Listen struct {
	Callers   netip.AddrPort `toml:"callers"`   // HTTP, requests
	Operators netip.AddrPort `toml:"operators"` // HTTP, status, metrics and commands
	Peers     netip.AddrPort `toml:"peers"`     // QUIC, other entry VMs
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Objects netip.AddrPort `toml:"objects"` // object API
	VMs     netip.AddrPort `toml:"vms"`     // VM list; the object API's address when left out
	Timeout Span           `toml:"timeout"` // longest wait for one call, watches apart
	Watch   Span           `toml:"watch"`   // longest wait of one watch
}

// Service is one group of backend servers.
type Service struct {
	Name    ident.Service `toml:"name" validate:"required,max=64"`
	Divided bool          `toml:"divided"` // divided by key: each key has one owner
	// Slices is how many parts a divided service's keys hash to. It cannot
	// change while the service has owners.
	Slices uint32 `toml:"slices" validate:"max=65536"`
	// FenceChecks says that the backend servers refuse orders with an old fence.
	// False is the careful default: they obey whoever asks.
	FenceChecks bool `toml:"checks"`
	// Standby lets another backend server have a lost one's keys while the store is
	// down. The backend servers must keep a lease for each seat that orders name.
	Standby bool     `toml:"stand"`
	Weight  Weight   `toml:"weight"`
	Servers []Server `toml:"server" validate:"dive"`
}

// Weight says what a service's users mind most; the planner compares moves by
// it. The scale does not matter, only the proportions.
type Weight struct {
	Unavailable float64 `toml:"unavailable" validate:"min=0,max=1000"` // a second without an owner
	Churn       float64 `toml:"churn" validate:"min=0,max=1000"`       // a share of keys moved
	Imbalance   float64 `toml:"imbalance" validate:"min=0,max=1000"`   // load above the mean
}

// Server is one backend server.
type Server struct {
	Name    ident.Server   `toml:"name" validate:"required,max=64"`
	Data    netip.AddrPort `toml:"data"`    // takes requests
	Control netip.AddrPort `toml:"control"` // takes orders; the data address when left out
	Centre  ident.Centre   `toml:"centre" validate:"max=64"`
	Slots   int            `toml:"slots" validate:"min=0,max=4096"` // requests it works on at once
	Conns   int            `toml:"conns" validate:"min=0,max=65536"`
}

// Lease holds the times of ownership; docs/design/ownership.md has the grounds.
type Lease struct {
	TTL            Span    `toml:"ttl"`    // a backend server's own lease
	Renew          Span    `toml:"renew"`  // between renewals
	Heartbeat      Span    `toml:"beat"`   // holder to deputy
	SilenceTimeout Span    `toml:"silent"` // a holder unheard for this long is silent
	Margin         Span    `toml:"margin"` // subtracted before every effect
	Term           Span    `toml:"term"`   // a seat's term in the store
	Drift          float64 `toml:"drift" validate:"min=0,max=0.2"`
}

// Limit holds the bounds of the request path.
type Limit struct {
	Header        int   `toml:"header" validate:"min=0,max=1048576"` // bytes of a request's headers
	Body          int64 `toml:"body" validate:"min=0"`               // bytes of a request's body
	Request       Span  `toml:"request"`                             // default deadline of a request
	HeaderTimeout Span  `toml:"slow"`                                // longest wait for a caller's headers
	Idle          Span  `toml:"idle"`                                // idle caller connections are closed
	Dial          Span  `toml:"dial"`                                // opening a connection to a backend server
	Drain         Span  `toml:"drain"`                               // longest wait for requests in flight at shutdown
	Queue         int   `toml:"queue" validate:"min=0,max=1000000"`  // requests waiting, per service
}

// Certs names this VM's key and certificate and the authority that signs its
// peers' ones, each as a path or as PEM text. Files are read again when they
// change.
type Certs struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Journal bounds the durable record behind reports.
type Journal struct {
	Batch  int     `toml:"batch" validate:"min=0,max=8388608"`    // bytes of one object's entries, before they are compressed
	Rate   float64 `toml:"rate" validate:"min=0,max=100"`         // objects a second
	Budget float64 `toml:"budget" validate:"min=0,max=100000"`    // objects a second of all VMs together
	Window int     `toml:"window" validate:"min=0,max=16"`        // writes in flight
	Buffer int     `toml:"buffer" validate:"min=0,max=268435456"` // bytes held while the store is down
	Ring   int     `toml:"ring" validate:"min=0,max=1048576"`     // decisions waiting to be logged
}

// Rules says where the first rules come from, when the store has none yet.
type Rules struct {
	File string `toml:"file"` // path of a rules file
	Text string `toml:"text"` // or the rules themselves
}

// Log chooses what is logged, as JSON lines on standard output.
type Log struct {
	Level string `toml:"level" validate:"omitempty,oneof=debug info warn error"`
	Quiet bool   `toml:"quiet"` // no line for each routing and placement decision; the journal keeps them all the same
}

// Span is a duration that the file writes as "700ms" or "30m". It embeds
// [time.Duration], which is what the code hands on.
type Span struct{ time.Duration }

// SpanOf makes a Span of d, for settings that are built in code.
func SpanOf(d time.Duration) Span { return Span{d} }

// UnmarshalText parses the form of [time.ParseDuration].
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	s.Duration = d
	return err
}

// MarshalText renders the form that UnmarshalText reads.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.Duration.String()), nil }
