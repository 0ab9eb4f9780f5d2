package poison

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// tieModel simulates a crashing request and a harmless one that share their crashes, while
// polls are lost, leaders change and VMs restart.
type tieModel struct {
	*fleet
	t        rapid.TB
	restarts [fleetVMs]int // a VM that restarts reports nothing of what it ran before
	running  []modelAttempt
	sent     int // crashing requests sent since the tie
	served   int
	calm     bool
}

type modelAttempt struct {
	path    string
	vm      int
	restart int
	end     time.Time
}

func newTieModel(t rapid.TB) *tieModel {
	m := &tieModel{fleet: newFleet(870 * time.Millisecond), t: t}
	for i := range CrashThreshold {
		m.attempt(i, "/beside")
		m.advance(attemptInterval)
	}
	return m
}

// send sends a request at a VM. Only the answer to a request that needs no trial comes at
// once.
func (m *tieModel) send(vm int, path string, runTime time.Duration) {
	left, trial := m.vms[vm].StartAttempt(m.now, m.fingerprint(vm, path))
	if left > 0 {
		m.vms[vm].AskTrial(m.now, m.fingerprint(vm, path))
		return
	}
	if path == "/crash" {
		m.sent++
	}
	a := modelAttempt{path: path, vm: vm, restart: m.restarts[vm], end: m.now.Add(runTime)}
	m.note("VM %d sends %s for %v, as a trial %v", vm, path, runTime, trial != nil)
	if trial == nil {
		m.finish(a)
		return
	}
	if len(m.running) > 0 {
		m.t.Fatalf("two trials at once\n%s", m.history.String())
	}
	m.running = append(m.running, a)
}

func (m *tieModel) finish(a modelAttempt) {
	fp := m.fingerprint(a.vm, a.path)
	if a.path != "/crash" {
		m.served++
	}
	if m.restarts[a.vm] != a.restart {
		return
	}
	if a.path != "/crash" {
		m.vms[a.vm].Clear(m.now, fp)
		return
	}
	s := ident.Server("s" + strconv.Itoa(len(m.gone)))
	m.gone[s] = m.now.Add(m.entryLife)
	m.note("VM %d sees %s crash", a.vm, s)
	m.vms[a.vm].RecordCrash(m.now, fp, first(s))
}

// step lets time pass and finishes what has run for its time.
func (m *tieModel) step(d time.Duration) {
	m.advance(d)
	running := m.running
	m.running = nil
	for _, a := range running {
		if m.now.Before(a.end) {
			m.running = append(m.running, a)
			continue
		}
		m.finish(a)
	}
}

func (m *tieModel) restartVM(i int) {
	m.restarts[i]++
	m.restart(i)
}

// Guards against an order of lost polls, changes of leader and restarts in which trials
// overlap, a crashing request is tried too often, or its harmless neighbour is never served.
func TestTrialsShowWhichOfTwoRequestsCrashesServers(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		m := newTieModel(r)
		m.loses = func(int) loss {
			if m.calm {
				return lossNone
			}
			return loss(max(0, rapid.IntRange(-8, 2).Draw(r, "lost")))
		}
		for range 60 {
			switch rapid.IntRange(0, 30).Draw(r, "event") {
			case 0:
				m.lead(rapid.IntRange(0, fleetVMs-1).Draw(r, "leader"))
			case 1:
				m.restartVM(rapid.IntRange(0, fleetVMs-1).Draw(r, "restarted"))
			}
			runTime := time.Duration(rapid.IntRange(0, 15).Draw(r, "run time")) * pollTime
			m.send(rapid.IntRange(0, fleetVMs-1).Draw(r, "vm"), "/crash", runTime)
			m.send(rapid.IntRange(0, fleetVMs-1).Draw(r, "neighbour's vm"), "/beside", runTime)
			m.step(2 * pollTime)
		}
		assert.Assert(r, m.sent <= maxLateRuns, fmt.Sprintf("sent %d times\n%s", m.sent, m.history.String()))
		m.calm, m.served = true, 0
		m.calls(20 * time.Second)
		if m.served == 0 { // trials that showed nothing are repeated after the quarantine
			m.now = m.now.Add(quarantineTimes[0])
			m.calls(time.Minute)
		}
		assert.Assert(r, m.served > 0, m.history.String())
	})
}

// calls sends both requests twice a second at each VM.
func (m *tieModel) calls(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.step(2 * pollTime) {
		for vm := range fleetVMs {
			m.send(vm, "/crash", pollTime)
			m.send(vm, "/beside", pollTime)
		}
	}
}
