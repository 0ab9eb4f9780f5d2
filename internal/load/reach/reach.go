// Package reach judges which backend servers this VM reaches over its own network path.
//
// The load pattern: some VMs lose their path to all backend servers while callers, the
// store and the other VMs still reach them. Connections to servers hang, are reset, or
// live on while new ones are refused. A slow or overloaded server looks the same from a
// single request, so the judgement rests on the network alone: whether connections open,
// and whether anything arrives. A silent server is probed with a new connection, which its
// kernel accepts however busy the server is.
//
// The module has no clock and opens no connections. Its methods take the time, and
// [Monitor.Probes] returns the servers to probe.
package reach

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Timing of the judgement.
const (
	// VMSilence is the shortest time without any arrival from any server, while requests wait
	// at several of them, before some of them are probed.
	VMSilence = 250 * time.Millisecond
	// maxVMSilence is the longest such time, for a VM with few requests.
	maxVMSilence = 1500 * time.Millisecond
	// silenceGaps is how many mean gaps between two answers such a time lasts at least. Answers
	// that arrive at random are that far apart once in four hundred times.
	silenceGaps = 6
	// gapSmoothing is the weight of a new gap in the mean.
	gapSmoothing = 1.0 / 16
	// ServerSilence is how long nothing may arrive from one server with waiting requests
	// before it is probed. Most answers begin sooner, also in an overload.
	ServerSilence = time.Second
	// ProbeInterval is the pause between two probes of the same server.
	ProbeInterval = time.Second
	// ProbeTimeout bounds a probe. Within a region a connection takes a few milliseconds.
	ProbeTimeout = 250 * time.Millisecond
	// useWindow is how long after its last use a lost path is still probed.
	useWindow = 5 * time.Second
	// maxProbes bounds the probes that start at once. Each costs its server a connection.
	maxProbes = 2
	// minProbePause is the pause after a probe of a silent server. It doubles up to
	// maxProbePause while such probes succeed: in an overload servers are silent for long, and
	// each probe costs them a connection.
	minProbePause = 500 * time.Millisecond
	maxProbePause = 15 * time.Second
	// minFailedPaths is the number of paths that must fail, with no sign of life from any
	// server, before this VM counts as cut off. A single one may be a server that ended.
	minFailedPaths = 2
)

// path is the state of the path to one server.
type path struct {
	failedAt    time.Time // last failure to connect; zero after a success
	lostSince   time.Time // first failure in a row; zero if the path is open
	usedAt      time.Time // last attempt to connect, or request sent
	probedAt    time.Time
	waiting     int       // connections on which a request waits for its answer
	silentSince time.Time // last arrival, or start of the wait while none was waiting
}

// Monitor judges the paths of one VM to all backend servers. The zero value is ready to use.
// It is not safe for concurrent use.
type Monitor struct {
	paths       map[netip.AddrPort]*path
	lastContact time.Time // last arrival or connection from any server
	waiting     int       // paths with waiting requests
	quietSince  time.Time // last contact, or when requests began to wait at any server
	cutOff      bool
	meanGap     time.Duration // between two answers, while requests wait
	// silenceProbeNotBefore is when silent servers may be probed again, and probePause the
	// last pause.
	silenceProbeNotBefore time.Time
	probePause            time.Duration
}

func (m *Monitor) path(to netip.AddrPort) *path {
	p := m.paths[to]
	if p == nil {
		if m.paths == nil {
			m.paths = map[netip.AddrPort]*path{}
		}
		p = &path{}
		m.paths[to] = p
	}
	return p
}

// Connected records that a connection to a server was opened.
func (m *Monitor) Connected(now time.Time, to netip.AddrPort) {
	p := m.path(to)
	p.failedAt, p.lostSince = time.Time{}, time.Time{}
	p.usedAt, p.silentSince = now, now
	m.contact(now)
}

// ConnectFailed records that a connection to a server could not be opened.
func (m *Monitor) ConnectFailed(now time.Time, to netip.AddrPort) {
	p := m.path(to)
	p.failedAt = now
	if p.lostSince.IsZero() {
		p.lostSince = now
	}
	m.silenceProbeNotBefore, m.probePause = time.Time{}, 0 // others may have the same cause
	m.updateCutOff(now)
}

// Used records that a connection to a server is wanted.
func (m *Monitor) Used(now time.Time, to netip.AddrPort) { m.path(to).usedAt = now }

// Sent records that a request begins to wait for its answer on a connection.
func (m *Monitor) Sent(now time.Time, to netip.AddrPort) {
	p := m.path(to)
	p.usedAt = now
	p.waiting++
	if p.waiting > 1 {
		return
	}
	p.silentSince = now
	m.waiting++
	if m.waiting == 1 {
		m.quietSince = now
	}
}

// Received records that data arrived from a server.
func (m *Monitor) Received(now time.Time, to netip.AddrPort) {
	m.path(to).silentSince = now
	m.contact(now)
}

// Answered records that the first data of an answer arrived from a server.
func (m *Monitor) Answered(now time.Time, to netip.AddrPort) {
	gap := min(now.Sub(m.quietSince), maxVMSilence)
	m.meanGap += time.Duration(gapSmoothing * float64(gap-m.meanGap))
	m.Received(now, to)
}

// Ended records that a request no longer waits for its answer.
func (m *Monitor) Ended(to netip.AddrPort) {
	p := m.path(to)
	p.waiting--
	if p.waiting == 0 {
		m.waiting--
	}
}

func (m *Monitor) contact(now time.Time) {
	m.lastContact, m.quietSince, m.cutOff = now, now, false
}

// updateCutOff takes this VM as cut off if several paths have failed since the last sign of
// life of any server, and that was VMSilence ago.
func (m *Monitor) updateCutOff(now time.Time) {
	if m.cutOff || now.Sub(m.lastContact) < VMSilence {
		return
	}
	n := 0
	for _, p := range m.paths {
		if p.failedAt.After(m.lastContact) {
			n++
		}
	}
	m.cutOff = n >= minFailedPaths
}

// CutOff reports whether this VM reaches no server: several paths failed, and nothing has
// arrived from any server since.
func (m *Monitor) CutOff() bool { return m.cutOff }

// Lost reports whether the path to a server is lost: the last connection could not be
// opened, or this VM is cut off from all servers.
func (m *Monitor) Lost(to netip.AddrPort) bool {
	if m.cutOff {
		return true
	}
	p := m.paths[to]
	return p != nil && !p.lostSince.IsZero()
}

// LostPaths returns the servers whose path is lost, in order of their addresses.
func (m *Monitor) LostPaths() []netip.AddrPort {
	var all []netip.AddrPort
	for to, p := range m.paths {
		if !p.lostSince.IsZero() {
			all = append(all, to)
		}
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// Retain forgets all servers but those at the given addresses and those with waiting
// requests.
func (m *Monitor) Retain(listed func(netip.AddrPort) bool) {
	for to, p := range m.paths {
		if p.waiting == 0 && !listed(to) {
			delete(m.paths, to)
		}
	}
}

// Probes returns the servers to which a connection should be tried now, and takes them as
// probed: silent ones with waiting requests, and lost ones that are still wanted.
func (m *Monitor) Probes(now time.Time) []netip.AddrPort {
	m.updateCutOff(now)
	var due []netip.AddrPort
	for to, p := range m.paths {
		if now.Sub(p.probedAt) >= ProbeInterval && m.probeDue(now, p) {
			due = append(due, to)
		}
	}
	slices.SortFunc(due, func(a, b netip.AddrPort) int {
		return cmp.Or(m.paths[a].probedAt.Compare(m.paths[b].probedAt), a.Compare(b))
	})
	due = due[:min(len(due), maxProbes)]
	vmSilent := m.isVMSilent(now)
	var probes []netip.AddrPort
	for _, to := range due {
		p := m.paths[to]
		if p.lostSince.IsZero() && !vmSilent && now.Before(m.silenceProbeNotBefore) {
			continue // one silent server at a time, if others answer
		}
		p.probedAt = now
		probes = append(probes, to)
		if p.lostSince.IsZero() {
			m.pauseProbes(now)
		}
	}
	return probes
}

// pauseProbes delays the next probe of a silent server.
func (m *Monitor) pauseProbes(now time.Time) {
	if now.Before(m.silenceProbeNotBefore) {
		return
	}
	m.probePause = min(max(2*m.probePause, minProbePause), maxProbePause)
	m.silenceProbeNotBefore = now.Add(m.probePause)
}

func (m *Monitor) probeDue(now time.Time, p *path) bool {
	if !p.lostSince.IsZero() {
		return now.Sub(p.failedAt) >= ProbeInterval && now.Sub(p.usedAt) < useWindow
	}
	if p.waiting == 0 || !m.mayProbeSilence(now) {
		return false
	}
	return m.isVMSilent(now) || now.Sub(p.silentSince) >= ServerSilence
}

// mayProbeSilence reports whether silent servers may be probed: after the pause, or sooner if
// nothing arrives from any server for long.
func (m *Monitor) mayProbeSilence(now time.Time) bool {
	longSilence := m.waiting >= minFailedPaths && now.Sub(m.quietSince) >= maxVMSilence
	if longSilence {
		return !now.Before(m.silenceProbeNotBefore.Add(minProbePause - m.probePause))
	}
	return !now.Before(m.silenceProbeNotBefore)
}

// isVMSilent reports whether requests wait at several servers and nothing arrives from any.
func (m *Monitor) isVMSilent(now time.Time) bool {
	limit := min(max(silenceGaps*m.meanGap, VMSilence), maxVMSilence)
	return m.waiting >= minFailedPaths && now.Sub(m.quietSince) >= limit
}
