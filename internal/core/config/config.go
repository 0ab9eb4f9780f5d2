// Package config reads the daemon's settings from one TOML file. The file is
// decoded strictly and checked completely before any resource is opened.
//
// A misspelt setting that is silently ignored is noticed weeks later, when the
// limit it should have set is missing. An unknown key, an invalid address or an
// impossible limit is therefore an error with its line number. Every optional
// setting has a working default.
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

// Config holds all settings of the file.
type Config struct {
	VM     ident.VM     `toml:"vm" validate:"required,max=64"`     // name of this VM; a name is never reused
	Centre ident.Centre `toml:"centre" validate:"required,max=64"` // its data centre
	Region ident.Region `toml:"region" validate:"max=64"`          // its region, a group of nearby data centres

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

// Listen holds the addresses that this VM listens on. Port 0 means any free port.
type Listen struct {
	Callers   netip.AddrPort `toml:"callers"`   // HTTP: callers' requests
	Operators netip.AddrPort `toml:"operators"` // HTTP: status, metrics and commands
	Peers     netip.AddrPort `toml:"peers"`     // QUIC: other entry VMs
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Objects netip.AddrPort `toml:"objects"` // object API
	VMs     netip.AddrPort `toml:"vms"`     // VM list; defaults to the address of the object API
	Timeout Span           `toml:"timeout"` // limit of one call, except watches
	Watch   Span           `toml:"watch"`   // limit of one watch call
}

// Service is one group of backend servers.
type Service struct {
	Name    ident.Service `toml:"name" validate:"required,max=64"`
	Divided bool          `toml:"divided"` // sharded by key: each key is owned by one server
	// Slices is the number of slices that the keys of a divided service hash
	// to. It cannot change while the service has owners.
	Slices uint32 `toml:"slices" validate:"max=65536"`
	// FenceChecks says that the backend servers refuse orders with an old fencing
	// token. The default, false, is the safe assumption: servers obey any sender.
	FenceChecks bool `toml:"checks"`
	// Standby lets another backend server own the keys of a lost one while the
	// object store is down. The backend servers must then keep a separate lease
	// for each lessor that their orders name (server.Order.Lessor).
	Standby bool     `toml:"stand"`
	Weight  Weight   `toml:"weight"`
	Servers []Server `toml:"server" validate:"dive"`
}

// Weight holds the relative costs by which the planner compares plans for moving
// keys of a service. Only the proportions matter.
type Weight struct {
	Unavailable float64 `toml:"unavailable" validate:"min=0,max=1000"` // cost of a second without an owner
	Churn       float64 `toml:"churn" validate:"min=0,max=1000"`       // cost of the fraction of keys moved
	Imbalance   float64 `toml:"imbalance" validate:"min=0,max=1000"`   // cost of load above the mean
}

// Server is one backend server.
type Server struct {
	Name    ident.Server   `toml:"name" validate:"required,max=64"`
	Data    netip.AddrPort `toml:"data"`    // receives requests
	Control netip.AddrPort `toml:"control"` // receives orders; defaults to the data address
	Centre  ident.Centre   `toml:"centre" validate:"max=64"`
	Slots   int            `toml:"slots" validate:"min=0,max=4096"`  // requests that it executes concurrently
	Conns   int            `toml:"conns" validate:"min=0,max=65536"` // connections to it
}

// Lease holds the durations of the ownership protocol, which
// docs/design/ownership.md explains.
type Lease struct {
	TTL            Span    `toml:"ttl"`                            // lease of a backend server
	Renew          Span    `toml:"renew"`                          // interval between renewals of that lease
	Heartbeat      Span    `toml:"beat"`                           // interval of heartbeats from a holder of authority to its deputy
	SilenceTimeout Span    `toml:"silent"`                         // a holder that sent no heartbeat for this long is suspected to be lost
	Margin         Span    `toml:"margin"`                         // subtracted from the remaining lease time before every action under the lease
	Term           Span    `toml:"term"`                           // term of a holder's authority record in the store
	Drift          float64 `toml:"drift" validate:"min=0,max=0.2"` // largest relative drift between two clocks, as a fraction
}

// Limit holds the limits of request handling.
type Limit struct {
	Header        int   `toml:"header" validate:"min=0,max=1048576"` // bytes of a request's headers
	Body          int64 `toml:"body" validate:"min=0"`               // bytes of a request's body
	Request       Span  `toml:"request"`                             // default deadline of a request
	HeaderTimeout Span  `toml:"slow"`                                // time limit for reading a caller's headers
	Idle          Span  `toml:"idle"`                                // caller connections idle for this long are closed
	Dial          Span  `toml:"dial"`                                // time limit for connecting to a backend server
	Drain         Span  `toml:"drain"`                               // time limit for finishing requests in flight at shutdown
	Queue         int   `toml:"queue" validate:"min=0,max=1000000"`  // queued requests per service
	Link          int64 `toml:"link" validate:"min=0"`               // bytes per second that the link to the callers carries; zero if unknown
	Memory        int64 `toml:"memory" validate:"min=0"`             // bytes of memory that this VM has; zero if unknown
}

// Certs holds this VM's certificate and key and the certificate authority that
// signs its peers' certificates, each as a path or as PEM text. Files are
// reloaded when they change.
type Certs struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Journal holds the limits of the durable journal of decisions that reports are
// made from.
type Journal struct {
	Batch  int     `toml:"batch" validate:"min=0,max=8388608"`    // bytes of entries in one object, before compression
	Rate   float64 `toml:"rate" validate:"min=0,max=100"`         // objects per second that this VM writes
	Budget float64 `toml:"budget" validate:"min=0,max=100000"`    // objects per second that all VMs write together
	Window int     `toml:"window" validate:"min=0,max=16"`        // concurrent writes
	Buffer int     `toml:"buffer" validate:"min=0,max=268435456"` // bytes buffered while the store is down
	Ring   int     `toml:"ring" validate:"min=0,max=1048576"`     // decisions queued for the log
}

// Rules says where the initial rules come from if the store has none yet.
type Rules struct {
	File string `toml:"file"` // path of a rules file
	Text string `toml:"text"` // the rules themselves, instead of a file
}

// Log controls the log, which is written as JSON lines to standard output.
type Log struct {
	Level string `toml:"level" validate:"omitempty,oneof=debug info warn error"`
	Quiet bool   `toml:"quiet"` // omit the line per routing and placement decision; the journal still keeps them
}

// Span is a duration that is written in the file as "700ms" or "30m".
type Span struct{ time.Duration }

// SpanOf returns d as a Span, for settings that are built in code.
func SpanOf(d time.Duration) Span { return Span{d} }

// UnmarshalText parses a duration in the format of [time.ParseDuration].
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	s.Duration = d
	return err
}

// MarshalText returns the duration in the format that UnmarshalText reads.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.Duration.String()), nil }
