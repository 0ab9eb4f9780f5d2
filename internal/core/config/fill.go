package config

import (
	"cmp"
	"net/netip"
	"time"
)

// Defaults of the settings that may be left out.
//
// The lease figures are those of docs/design/ownership.md: a lost owner costs
// the lease plus one update of the table, which must stay below one second.
const (
	DefaultTTL            = 700 * time.Millisecond
	DefaultRenew          = 175 * time.Millisecond // four tries within one lease
	DefaultHeartbeat      = 100 * time.Millisecond
	DefaultSilenceTimeout = 300 * time.Millisecond // three beats lost
	DefaultMargin         = 20 * time.Millisecond
	DefaultTerm           = 30 * time.Minute
	DefaultDrift          = 0.01

	DefaultHeader  = 32 << 10 // as large as common HTTP servers accept
	DefaultBody    = 1 << 30  // the largest upload is a few hundred MB
	DefaultRequest = 30 * time.Second
	DefaultSlow    = 5 * time.Second
	DefaultIdle    = 90 * time.Second
	DefaultDial    = 500 * time.Millisecond // opening takes about 1 ms when all is well
	DefaultDrain   = 30 * time.Second
	DefaultQueue   = 1024

	DefaultSlices = 4096
	DefaultSlots  = 4
	DefaultConns  = 100

	DefaultTimeout = 2 * time.Second
	DefaultWatch   = 30 * time.Second

	DefaultBatch  = 2 << 20 // decisions compress to a quarter or less; a batch that does not is cut again
	DefaultRate   = 10.0    // objects a second that one VM writes
	DefaultBudget = 100.0   // objects a second of all VMs, out of the store's several hundred
	DefaultWindow = 4
	DefaultBuffer = 8 << 20 // about 50,000 decisions
	DefaultRing   = 8192
)

// Fill returns the settings with every left-out value replaced by its default.
// Load and Parse have done it already.
func (c Config) Fill() Config {
	c.Listen = c.Listen.fill()
	c.Platform = c.Platform.fill()
	c.Lease = c.Lease.fill()
	c.Limit = c.Limit.fill()
	c.Journal = c.Journal.fill()
	c.Log.Level = cmp.Or(c.Log.Level, "info")
	filled := make([]Service, len(c.Services))
	for i, s := range c.Services {
		filled[i] = s.fill(c)
	}
	c.Services = filled
	return c
}

func (l Listen) fill() Listen {
	local := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	for _, a := range []*netip.AddrPort{&l.Callers, &l.Operators, &l.Peers} {
		if !a.IsValid() {
			*a = local
		}
	}
	return l
}

func (p Platform) fill() Platform {
	if !p.VMs.IsValid() {
		p.VMs = p.Objects
	}
	p.Timeout = orSpan(p.Timeout, DefaultTimeout)
	p.Watch = orSpan(p.Watch, DefaultWatch)
	return p
}

func (s Service) fill(c Config) Service {
	if s.Divided {
		s.Slices = cmp.Or(s.Slices, DefaultSlices)
	}
	if s.Weight == (Weight{}) {
		s.Weight = Weight{Unavailable: 1, Churn: 1, Imbalance: 1}
	}
	filled := make([]Server, len(s.Servers))
	for i, v := range s.Servers {
		if !v.Control.IsValid() {
			v.Control = v.Data
		}
		v.Centre = cmp.Or(v.Centre, c.Centre)
		v.Slots = cmp.Or(v.Slots, DefaultSlots)
		v.Conns = cmp.Or(v.Conns, DefaultConns)
		filled[i] = v
	}
	s.Servers = filled
	return s
}

func (l Lease) fill() Lease {
	l.TTL = orSpan(l.TTL, DefaultTTL)
	l.Renew = orSpan(l.Renew, DefaultRenew)
	l.Heartbeat = orSpan(l.Heartbeat, DefaultHeartbeat)
	l.SilenceTimeout = orSpan(l.SilenceTimeout, DefaultSilenceTimeout)
	l.Margin = orSpan(l.Margin, DefaultMargin)
	l.Term = orSpan(l.Term, DefaultTerm)
	l.Drift = cmp.Or(l.Drift, DefaultDrift)
	return l
}

func (l Limit) fill() Limit {
	l.Header = cmp.Or(l.Header, DefaultHeader)
	l.Body = cmp.Or(l.Body, DefaultBody)
	l.Request = orSpan(l.Request, DefaultRequest)
	l.HeaderTimeout = orSpan(l.HeaderTimeout, DefaultSlow)
	l.Idle = orSpan(l.Idle, DefaultIdle)
	l.Dial = orSpan(l.Dial, DefaultDial)
	l.Drain = orSpan(l.Drain, DefaultDrain)
	l.Queue = cmp.Or(l.Queue, DefaultQueue)
	return l
}

func (j Journal) fill() Journal {
	j.Batch = cmp.Or(j.Batch, DefaultBatch)
	j.Rate = cmp.Or(j.Rate, DefaultRate)
	j.Budget = cmp.Or(j.Budget, DefaultBudget)
	j.Window = cmp.Or(j.Window, DefaultWindow)
	j.Buffer = cmp.Or(j.Buffer, DefaultBuffer)
	j.Ring = cmp.Or(j.Ring, DefaultRing)
	return j
}

func orSpan(s Span, d time.Duration) Span { return Span{cmp.Or(s.Duration, d)} }
