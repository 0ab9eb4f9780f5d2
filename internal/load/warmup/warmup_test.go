package warmup

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func TestAllowanceLeavesRoomForTheVMBefore(t *testing.T) {
	assert.Equal(t, Allowance(5, 1.5, 8), 7)
	assert.Equal(t, Allowance(5, 1.5, 0), 3)
	assert.Equal(t, Allowance(5, 0, 8), 5)
	assert.Equal(t, Allowance(0.5, 1, 0), 0)
	assert.Equal(t, Allowance(-1, 1, 0), 0)
}

func TestStartsCountInASlidingWindow(t *testing.T) {
	var s Starts
	now := time.Unix(100, 0)
	for range 2 {
		assert.Equal(t, s.Next(now, 2), time.Duration(0))
		s.Add(now)
		now = now.Add(100 * time.Millisecond)
	}
	assert.Equal(t, s.Next(now, 2), Window-200*time.Millisecond)
	assert.Equal(t, s.Next(now.Add(Window-200*time.Millisecond), 2), time.Duration(0))
	assert.Assert(t, s.Next(now, 0) > 0)
}

// Guards against one VM that borrows all cold servers because it polls first.
func TestColdServersSpreadOverTheVMsOfTheirDataCentre(t *testing.T) {
	var l Leases
	var vms []Borrower
	var cold []Server
	for i := range 20 {
		vms = append(vms, Borrower{VM: ident.VM(fmt.Sprint("vm-", i)), Centre: ident.Centre(fmt.Sprint(i % 2))})
	}
	for i := range 100 {
		cold = append(cold, Server{Name: ident.Server(fmt.Sprint("s", i)), Centre: "0"})
	}
	now, lent, most := time.Unix(100, 0), 0, 0
	for _, vm := range vms {
		n := len(l.Lend(now, vm.VM, vms, cold))
		assert.Assert(t, n == 0 || vm.Centre == "0")
		lent, most = lent+n, max(most, n)
	}
	assert.Equal(t, lent, len(cold))
	assert.Assert(t, most <= 25, "%d of 100 at one of ten VMs", most)
}

// fleet is a set of VMs that send as many requests to one cold server as they may.
type fleet struct {
	now     time.Time
	leases  []*Leases // by leader; one that was replaced goes on until its term ends
	termEnd []time.Time
	vms     []*fleetVM
	arrived []time.Time
}

type fleetVM struct {
	Borrower
	until  time.Time
	starts Starts
}

const fleetAllowance = 7

// poll lets a VM ask one of the leaders; the response takes a while.
func (f *fleet) poll(vm *fleetVM, leader int, known []Borrower, delay time.Duration) {
	if !f.now.Before(f.termEnd[leader]) {
		return
	}
	lent := f.leases[leader].Lend(f.now, vm.VM, known, []Server{{Name: "cold"}})
	if len(lent) > 0 {
		asked := f.now.Add(-delay)
		vm.until = asked.Add(LoanTime)
	}
}

func (f *fleet) send(vm *fleetVM) {
	for f.now.Before(vm.until) && vm.starts.Next(f.now, fleetAllowance) == 0 {
		vm.starts.Add(f.now)
		f.arrived = append(f.arrived, f.now)
	}
}

// most returns the most requests that arrived in any one second.
func (f *fleet) most() int {
	most := 0
	for i := range f.arrived {
		n, _ := slices.BinarySearchFunc(f.arrived[i:], f.arrived[i].Add(time.Second), time.Time.Compare)
		most = max(most, n)
	}
	return most
}

// Guards against VMs that together overrun a cold server while VMs come, go, are cut off or disagree on how many they are, and leaders change.
func TestTheFleetKeepsToTheAllowanceOfAColdServer(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(100, 0), leases: []*Leases{{}}, termEnd: []time.Time{time.Unix(1000, 0)}}
		for i := range rapid.IntRange(1, 70).Draw(t, "VMs") {
			f.vms = append(f.vms, &fleetVM{Borrower: Borrower{VM: ident.VM(fmt.Sprint("vm-", i))}})
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			vm := rapid.SampledFrom(f.vms).Draw(t, "VM")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0: // a new leader, while the one before may go on for a moment
				f.termEnd[len(f.termEnd)-1] = f.now
				f.leases, f.termEnd = append(f.leases, &Leases{}), append(f.termEnd, time.Unix(1000, 0))
				f.leases[len(f.leases)-1].BeginTerm(f.now)
			default: // the leader knows some of the VMs
				var known []Borrower
				for _, other := range f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "unknown"):] {
					known = append(known, other.Borrower)
				}
				f.poll(vm, len(f.leases)-1, known, time.Duration(rapid.IntRange(0, 900).Draw(t, "delay"))*time.Millisecond)
			}
			for _, vm := range f.vms {
				f.send(vm)
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
		}
		assert.Assert(t, f.most() <= fleetAllowance, "%d requests in one second", f.most())
	})
}

// Guards against a cold server that nobody may use although its borrower is gone.
func TestAColdServerIsLentAgainAfterItsBorrowerWasLost(t *testing.T) {
	var l Leases
	now := time.Unix(100, 0)
	vms := []Borrower{{VM: "a"}, {VM: "b"}}
	first := choose(Server{Name: "s"}, vms)
	other := vms[0].VM
	if first == other {
		other = vms[1].VM
	}
	cold := []Server{{Name: "s"}}
	assert.Equal(t, len(l.Lend(now, first, vms, cold)), 1)
	left := []Borrower{{VM: other}}
	assert.Equal(t, len(l.Lend(now.Add(LoanTime), other, left, cold)), 0)
	assert.Equal(t, len(l.Lend(now.Add(LoanTime+Window), other, left, cold)), 1)
}
