package config

import (
	"fmt"
	"net/netip"
	"time"
)

// Bounds that the checks hold settings to.
const (
	MinTTL  = 50 * time.Millisecond
	MaxTTL  = time.Minute
	MaxTerm = 24 * time.Hour
	MinTerm = time.Second
)

// checker gathers faults, so that an operator sees all of them at once.
type checker struct{ faults Faults }

func (k *checker) must(ok bool, path, text string) {
	if !ok {
		k.faults = append(k.faults, Fault{Path: path, Text: text})
	}
}

// check holds together what single fields cannot say.
func (c Config) check() Faults {
	var k checker
	c.checkPlaces(&k)
	c.Lease.check(&k)
	c.Limit.check(&k)
	c.Journal.check(&k)
	c.Certs.check(&k)
	c.checkServices(&k)
	k.must(c.Rules.File == "" || c.Rules.Text == "", "rules", "give a file or the text, not both")
	return k.faults
}

func (c Config) checkPlaces(k *checker) {
	k.must(endpoint(c.Platform.Objects), "platform.objects", "must be an address with a port, such as 10.0.0.5:9000")
	k.must(c.Platform.VMs == c.Platform.Objects || endpoint(c.Platform.VMs), "platform.vms", "must be an address with a port, such as 10.0.0.5:9000")
	k.must(c.Platform.Timeout.Duration > 0, "platform.timeout", "must be above zero")
	k.must(c.Platform.Watch.Duration > 0, "platform.watch", "must be above zero")
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		path string
		addr netip.AddrPort
	}{{"listen.callers", c.Listen.Callers}, {"listen.operators", c.Listen.Operators}} {
		if l.addr.Port() == 0 {
			continue
		}
		other, twice := seen[l.addr]
		k.must(!twice, l.path, "is the same address as "+other)
		seen[l.addr] = l.path
	}
}

// endpoint reports whether a can be dialled. Port 0 or an unspecified address
// can be listened on, but names nobody.
func endpoint(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func (l Lease) check(k *checker) {
	k.must(l.TTL.Duration >= MinTTL && l.TTL.Duration <= MaxTTL, "lease.ttl", "must be from 50ms to 1m")
	k.must(l.Renew.Duration > 0 && l.Renew.Duration*2 <= l.TTL.Duration, "lease.renew",
		"must be at most half of lease.ttl, or one lost renewal ends the lease")
	k.must(l.Heartbeat.Duration > 0, "lease.beat", "must be above zero")
	k.must(l.SilenceTimeout.Duration >= 2*l.Heartbeat.Duration, "lease.silent",
		"must be at least twice lease.beat, or one lost beat makes a holder silent")
	k.must(l.SilenceTimeout.Duration < l.TTL.Duration, "lease.silent",
		"must be below lease.ttl, or a lost holder costs its servers their leases")
	k.must(l.Margin.Duration > 0 && l.Margin.Duration*4 <= l.TTL.Duration, "lease.margin",
		"must be above zero and at most a quarter of lease.ttl")
	k.must(l.Term.Duration >= MinTerm && l.Term.Duration <= MaxTerm, "lease.term", "must be from 1s to 24h")
	k.must(l.Term.Duration > 2*l.TTL.Duration, "lease.term", "must be above twice lease.ttl")
}

func (l Limit) check(k *checker) {
	const minHeader = 1 << 10
	k.must(l.Header >= minHeader, "limit.header", "must be at least 1024 bytes")
	for path, d := range map[string]Span{
		"limit.request": l.Request, "limit.slow": l.HeaderTimeout, "limit.idle": l.Idle,
		"limit.dial": l.Dial, "limit.drain": l.Drain,
	} {
		k.must(d.Duration > 0, path, "must be above zero")
	}
	k.must(l.Dial.Duration <= l.Request.Duration, "limit.dial", "must not exceed limit.request")
}

func (j Journal) check(k *checker) {
	const minBatch = 1 << 10
	k.must(j.Batch >= minBatch, "journal.batch", "must be at least 1024 bytes")
	k.must(j.Buffer >= j.Batch, "journal.buffer", "must hold at least one journal.batch")
}

func (c Certs) check(k *checker) {
	some := c.Cert != "" || c.Key != "" || c.CA != ""
	all := c.Cert != "" && c.Key != "" && c.CA != ""
	k.must(!some || all, "certs", "needs cert, key and ca together")
}

func (c Config) checkServices(k *checker) {
	names := map[string]bool{}
	servers := map[string]bool{}
	data := map[netip.AddrPort]bool{}
	for i, s := range c.Services {
		path := fmt.Sprintf("service[%d]", i)
		k.must(!names[string(s.Name)], path+".name", "is used by another service")
		names[string(s.Name)] = true
		k.must(s.Divided || s.Slices == 0, path+".slices", "needs divided = true")
		k.must(s.Divided || !s.Standby, path+".stand", "needs divided = true")
		for n, v := range s.Servers {
			at := fmt.Sprintf("%s.server[%d]", path, n)
			k.must(!servers[string(v.Name)], at+".name", "is used by another server")
			servers[string(v.Name)] = true
			k.must(endpoint(v.Data), at+".data", "must be an address with a port, such as 10.0.0.5:8000")
			k.must(!data[v.Data], at+".data", "is used by another server")
			data[v.Data] = true
			k.must(v.Control == v.Data || endpoint(v.Control), at+".control", "must be an address with a port, such as 10.0.0.5:8001")
			k.must(v.Conns >= v.Slots, at+".conns", "must be at least slots: a slot without a connection is never used")
		}
	}
}
