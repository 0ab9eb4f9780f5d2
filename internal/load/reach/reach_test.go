package reach

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func server(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

var start = time.Unix(1000, 0)

// probeAll runs the monitor for d without any arrival, and lets every probe fail or succeed.
func probeAll(m *Monitor, from time.Time, d time.Duration, reachable bool) (probes int) {
	const tick = 50 * time.Millisecond
	for now := from; now.Before(from.Add(d)); now = now.Add(tick) {
		for _, to := range m.Probes(now) {
			probes++
			if reachable {
				m.Connected(now.Add(5*time.Millisecond), to)
				continue
			}
			m.ConnectFailed(now.Add(ProbeTimeout), to)
		}
	}
	return probes
}

// Guards against requests that hang until their deadline on a VM that has lost its paths silently.
func TestSilenceOfAllServersShowsThatTheVMIsCutOff(t *testing.T) {
	var m Monitor
	for n := range byte(4) {
		m.Connected(start, server(n))
		m.Sent(start, server(n))
	}
	probeAll(&m, start, 600*time.Millisecond, false)
	assert.Assert(t, m.CutOff())
	assert.Assert(t, m.Lost(server(9)), "a server that was not probed is not reached either")
	m.Connected(start.Add(2*time.Second), server(1))
	assert.Assert(t, !m.CutOff())
	assert.Assert(t, !m.Lost(server(1)) && !m.Lost(server(9)))
}

// Guards against taking an overload, in which all answers are late, for a lost path.
func TestSlowServersAreReached(t *testing.T) {
	var m Monitor
	for n := range byte(4) {
		m.Connected(start, server(n))
		m.Sent(start, server(n))
	}
	probes := probeAll(&m, start, 10*time.Second, true)
	assert.Assert(t, !m.CutOff())
	assert.Equal(t, len(m.LostPaths()), 0)
	assert.Assert(t, probes < 50, "%d connections were spent on probes", probes)
}

// Guards against connections that are spent on probes because some answers are late, on each of hundreds of VMs.
func TestAFewRequestsBesideLateAnswersCostFewProbes(t *testing.T) {
	var m Monitor
	rng := rand.New(rand.NewPCG(1, 2))
	for n := range byte(8) {
		m.Connected(start, server(n))
		m.Sent(start, server(n)) // one that is answered late, or never
	}
	const seconds, rate = 90, 5.0
	probes := 0
	next := start
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(50 * time.Millisecond) {
		for !next.After(now) {
			m.Answered(next, server(byte(rng.IntN(4))))
			next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		for _, to := range m.Probes(now) {
			probes++
			m.Connected(now, to)
		}
	}
	assert.Assert(t, probes <= seconds/2, "%d probes in %d s", probes, seconds)
}

// Guards against a cut that is noticed late because probes were paused in an overload before it.
func TestACutAfterAnOverloadIsNoticedInTime(t *testing.T) {
	var m Monitor
	for n := range byte(4) {
		m.Connected(start, server(n))
		m.Sent(start, server(n))
	}
	probeAll(&m, start, 30*time.Second, true)
	cut := start.Add(30 * time.Second)
	m.Received(cut, server(0))
	probeAll(&m, cut, 2500*time.Millisecond, false)
	assert.Assert(t, m.CutOff())
}

// Guards against a VM that gives up all paths because two servers ended.
func TestServersThatEndedDoNotCutOffTheVM(t *testing.T) {
	var m Monitor
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(20 * time.Millisecond) {
		m.Received(now, server(3))
		m.ConnectFailed(now, server(1))
		m.ConnectFailed(now, server(2))
		assert.Equal(t, len(m.Probes(now)), 0)
		assert.Assert(t, !m.CutOff())
	}
	assert.Assert(t, m.Lost(server(1)) && m.Lost(server(2)))
	assert.Assert(t, !m.Lost(server(3)))
}

// Guards against paths that stay lost where connections live on while new ones are refused.
func TestALostPathIsProbedUntilItIsOpen(t *testing.T) {
	var m Monitor
	m.ConnectFailed(start, server(1))
	m.Received(start, server(1))
	assert.Assert(t, m.Lost(server(1)), "what arrives on old connections opens no new ones")
	m.Used(start.Add(time.Second), server(1))
	assert.Assert(t, slices.Equal(m.Probes(start.Add(ProbeInterval)), []netip.AddrPort{server(1)}))
	m.Connected(start.Add(ProbeInterval), server(1))
	assert.Assert(t, !m.Lost(server(1)))
}

// Guards against probes of servers that nobody asks for any more.
func TestAnUnusedPathIsNotProbed(t *testing.T) {
	var m Monitor
	m.ConnectFailed(start, server(1))
	assert.Equal(t, len(m.Probes(start.Add(useWindow+time.Second))), 0)
	m.Retain(func(netip.AddrPort) bool { return false })
	assert.Equal(t, len(m.LostPaths()), 0)
}

func TestASilentServerIsProbedBesideOthersThatAnswer(t *testing.T) {
	var m Monitor
	m.Connected(start, server(1))
	m.Sent(start, server(1))
	var probed []netip.AddrPort
	for now := start; now.Before(start.Add(ServerSilence + 100*time.Millisecond)); now = now.Add(50 * time.Millisecond) {
		m.Received(now, server(2))
		probed = append(probed, m.Probes(now)...)
	}
	assert.Assert(t, slices.Equal(probed, []netip.AddrPort{server(1)}))
	m.Ended(server(1))
	assert.Equal(t, len(m.Probes(start.Add(time.Minute))), 0)
}
