package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Bounds of the lease settings.
const (
	MinTTL  = 50 * time.Millisecond
	MaxTTL  = time.Minute
	MaxTerm = 24 * time.Hour
	MinTerm = time.Second
)

// checker collects faults, so that an operator sees all of them at once.
type checker struct{ faults Faults }

func (k *checker) require(ok bool, path, text string) {
	if !ok {
		k.faults = append(k.faults, Fault{Path: path, Text: text})
	}
}

// check validates the settings that depend on each other or that a struct tag
// cannot express.
func (c Config) check() Faults {
	var k checker
	c.checkAddresses(&k)
	c.Lease.check(&k)
	c.Limit.check(&k)
	c.Journal.check(&k)
	c.Certs.check(&k)
	c.checkServices(&k)
	k.require(c.Rules.File == "" || c.Rules.Text == "", "rules", "give a file or the text, not both")
	return k.faults
}

func (c Config) checkAddresses(k *checker) {
	k.require(dialable(c.Platform.Objects), "platform.objects", "must be an address with a port, such as 10.0.0.5:9000")
	k.require(c.Platform.VMs == c.Platform.Objects || dialable(c.Platform.VMs), "platform.vms", "must be an address with a port, such as 10.0.0.5:9000")
	k.require(c.Platform.Timeout.Duration > 0, "platform.timeout", "must be above zero")
	k.require(c.Platform.Watch.Duration > 0, "platform.watch", "must be above zero")
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		path string
		addr netip.AddrPort
	}{{"listen.callers", c.Listen.Callers}, {"listen.operators", c.Listen.Operators}} {
		if l.addr.Port() == 0 {
			continue
		}
		other, duplicate := seen[l.addr]
		k.require(!duplicate, l.path, "is the same address as "+other)
		seen[l.addr] = l.path
	}
}

// dialable reports whether a can be dialled. Port 0 and an unspecified address
// can be listened on but not connected to.
func dialable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func (l Lease) check(k *checker) {
	k.require(l.TTL.Duration >= MinTTL && l.TTL.Duration <= MaxTTL, "lease.ttl", "must be from 50ms to 1m")
	k.require(l.Renew.Duration > 0 && l.Renew.Duration*2 <= l.TTL.Duration, "lease.renew",
		"must be at most half of lease.ttl, or one lost renewal ends the lease")
	k.require(l.Heartbeat.Duration > 0, "lease.beat", "must be above zero")
	k.require(l.SilenceTimeout.Duration >= 2*l.Heartbeat.Duration, "lease.silent",
		"must be at least twice lease.beat, or one missed heartbeat makes a holder look lost")
	k.require(l.SilenceTimeout.Duration < l.TTL.Duration, "lease.silent",
		"must be below lease.ttl, or the servers of a lost holder lose their leases")
	k.require(l.Margin.Duration > 0 && l.Margin.Duration*4 <= l.TTL.Duration, "lease.margin",
		"must be above zero and at most a quarter of lease.ttl")
	k.require(l.Term.Duration >= MinTerm && l.Term.Duration <= MaxTerm, "lease.term", "must be from 1s to 24h")
	k.require(l.Term.Duration > 2*l.TTL.Duration, "lease.term", "must be above twice lease.ttl")
}

func (l Limit) check(k *checker) {
	const minHeader = 1 << 10
	k.require(l.Header >= minHeader, "limit.header", "must be at least 1024 bytes")
	for path, d := range map[string]Span{
		"limit.request": l.Request, "limit.slow": l.HeaderTimeout, "limit.idle": l.Idle,
		"limit.dial": l.Dial, "limit.drain": l.Drain,
	} {
		k.require(d.Duration > 0, path, "must be above zero")
	}
	k.require(l.Dial.Duration <= l.Request.Duration, "limit.dial", "must not exceed limit.request")
}

func (j Journal) check(k *checker) {
	const minBatch = 1 << 10
	k.require(j.Batch >= minBatch, "journal.batch", "must be at least 1024 bytes")
	k.require(j.Buffer >= j.Batch, "journal.buffer", "must hold at least one journal.batch")
}

func (c Certs) check(k *checker) {
	anySet := c.Cert != "" || c.Key != "" || c.CA != ""
	allSet := c.Cert != "" && c.Key != "" && c.CA != ""
	k.require(!anySet || allSet, "certs", "needs cert, key and ca together")
}

func (c Config) checkServices(k *checker) {
	names := map[string]bool{}
	servers := map[string]bool{}
	data := map[netip.AddrPort]bool{}
	for i, s := range c.Services {
		path := fmt.Sprintf("service[%d]", i)
		k.require(!names[string(s.Name)], path+".name", "is used by another service")
		names[string(s.Name)] = true
		k.require(s.Divided || s.Slices == 0, path+".slices", "needs divided = true")
		k.require(s.Divided || !s.Standby, path+".stand", "needs divided = true")
		for n, srv := range s.Servers {
			srvPath := fmt.Sprintf("%s.server[%d]", path, n)
			k.require(!servers[string(srv.Name)], srvPath+".name", "is used by another server")
			servers[string(srv.Name)] = true
			k.require(dialable(srv.Data), srvPath+".data", "must be an address with a port, such as 10.0.0.5:8000")
			k.require(!data[srv.Data], srvPath+".data", "is used by another server")
			data[srv.Data] = true
			k.require(srv.Control == srv.Data || dialable(srv.Control), srvPath+".control", "must be an address with a port, such as 10.0.0.5:8001")
			k.require(srv.Conns >= srv.Slots, srvPath+".conns", "must be at least slots: a slot without a connection is never used")
		}
	}
}
