package config

import (
	"cmp"
	"net/netip"
	"time"
)

// Defaults of the optional settings.
//
// The lease durations follow docs/design/ownership.md: the keys of a lost owner
// are unavailable for the lease TTL plus one update of the ownership table, which
// together must stay below one second.
const (
	DefaultTTL            = 700 * time.Millisecond
	DefaultRenew          = 175 * time.Millisecond // four attempts within one lease
	DefaultHeartbeat      = 100 * time.Millisecond
	DefaultSilenceTimeout = 300 * time.Millisecond // three lost heartbeats
	DefaultMargin         = 20 * time.Millisecond
	DefaultTerm           = 30 * time.Minute
	DefaultDrift          = 0.01

	DefaultHeader        = 32 << 10 // bytes; as much as common HTTP servers accept
	DefaultBody          = 1 << 30  // bytes; the largest upload is a few hundred MB
	DefaultRequest       = 30 * time.Second
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdle          = 90 * time.Second
	DefaultDial          = 500 * time.Millisecond // connecting takes about 1 ms in a healthy network
	DefaultDrain         = 30 * time.Second
	DefaultQueue         = 1024

	DefaultSlices = 4096
	DefaultSlots  = 4
	DefaultConns  = 100

	DefaultTimeout = 2 * time.Second
	DefaultWatch   = 30 * time.Second

	DefaultBatch  = 2 << 20 // bytes; decisions compress to a quarter or less, and a batch that does not is split
	DefaultRate   = 10.0    // objects per second that one VM writes
	DefaultBudget = 100.0   // objects per second of all VMs; the store accepts several hundred
	DefaultWindow = 4
	DefaultBuffer = 8 << 20 // bytes; about 50,000 decisions
	DefaultRing   = 8192
)

// Fill returns the settings with every unset value replaced by its default. Load
// and Parse do this already.
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
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	for _, a := range []*netip.AddrPort{&l.Callers, &l.Operators, &l.Peers} {
		if !a.IsValid() {
			*a = loopback
		}
	}
	return l
}

func (p Platform) fill() Platform {
	if !p.VMs.IsValid() {
		p.VMs = p.Objects
	}
	p.Timeout = spanOrDefault(p.Timeout, DefaultTimeout)
	p.Watch = spanOrDefault(p.Watch, DefaultWatch)
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
	for i, srv := range s.Servers {
		if !srv.Control.IsValid() {
			srv.Control = srv.Data
		}
		srv.Centre = cmp.Or(srv.Centre, c.Centre)
		srv.Slots = cmp.Or(srv.Slots, DefaultSlots)
		srv.Conns = cmp.Or(srv.Conns, DefaultConns)
		filled[i] = srv
	}
	s.Servers = filled
	return s
}

func (l Lease) fill() Lease {
	l.TTL = spanOrDefault(l.TTL, DefaultTTL)
	l.Renew = spanOrDefault(l.Renew, DefaultRenew)
	l.Heartbeat = spanOrDefault(l.Heartbeat, DefaultHeartbeat)
	l.SilenceTimeout = spanOrDefault(l.SilenceTimeout, DefaultSilenceTimeout)
	l.Margin = spanOrDefault(l.Margin, DefaultMargin)
	l.Term = spanOrDefault(l.Term, DefaultTerm)
	l.Drift = cmp.Or(l.Drift, DefaultDrift)
	return l
}

func (l Limit) fill() Limit {
	l.Header = cmp.Or(l.Header, DefaultHeader)
	l.Body = cmp.Or(l.Body, DefaultBody)
	l.Request = spanOrDefault(l.Request, DefaultRequest)
	l.HeaderTimeout = spanOrDefault(l.HeaderTimeout, DefaultHeaderTimeout)
	l.Idle = spanOrDefault(l.Idle, DefaultIdle)
	l.Dial = spanOrDefault(l.Dial, DefaultDial)
	l.Drain = spanOrDefault(l.Drain, DefaultDrain)
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

func spanOrDefault(s Span, d time.Duration) Span { return Span{cmp.Or(s.Duration, d)} }
