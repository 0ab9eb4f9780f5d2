package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// The fleet runs for settleTime before it is measured for controlTime.
const (
	settleTime       = 16 * time.Second // by then the authorities over servers are spread evenly over the VMs
	controlTime      = 20 * time.Second
	controlTimeQuick = 3 * time.Second // for both, in a quick run
)

// Control measures the cost of entry VMs without requests: traffic, processor time and
// memory. It runs complete daemons at the size of today's fleet in one process, together
// with a fake platform and fake backend servers.
func Control(ctx context.Context, o Options) (Section, error) {
	settle, span := settleTime, controlTime
	if o.Quick {
		settle, span = controlTimeQuick, controlTimeQuick
	}
	s := Section{
		Title: "Control traffic of idle entry VMs",
		Note: fmt.Sprintf("%d whole entry VMs and %d backend servers (%d in the divided service) with the stand-ins in one process, "+
			"without requests, for %v. Peer packets count with 28 bytes for IP and UDP, sent and received; connections to the other "+
			"sides count the bytes of HTTP, both ways. Processor time and memory are those of the process by VM, stand-ins "+
			"included, so they are upper bounds.",
			controlVMs, controlDivided+controlPlain, controlDivided, span),
	}
	f, err := newFleet(ctx)
	defer f.close()
	if err != nil {
		return s, err
	}
	f.wait(ctx, settle)
	for _, vm := range f.vms {
		if err := vm.daemon.Ready(); err != nil {
			return s, err
		}
	}
	s.addControl(measureFleet(ctx, f, span))
	return s, ctx.Err()
}

// fleetCost is what the fleet used during one measurement.
type fleetCost struct {
	span       time.Duration
	cpu        time.Duration
	heap       float64
	goroutines int
	links      []linkTraffic
}

// linkTraffic is the traffic of the VMs on one kind of link.
type linkTraffic struct {
	name            string
	messages, bytes float64 // per second and VM
	busiest         float64 // bytes per second of the busiest VM
}

func measureFleet(ctx context.Context, f *fleet, span time.Duration) fleetCost {
	before, cpu, start := f.readMeters(), cpuTime(), time.Now()
	f.wait(ctx, span)
	after := f.readMeters()
	took := time.Since(start)
	cost := fleetCost{span: took, cpu: cpuTime() - cpu, goroutines: runtime.NumGoroutine()}
	cost.heap = liveMemory()
	for i, name := range linkNames {
		link := linkTraffic{name: name}
		for vm := range after {
			d := after[vm][i].minus(before[vm][i])
			link.messages += float64(d.messages) / took.Seconds() / controlVMs
			link.bytes += float64(d.bytes) / took.Seconds() / controlVMs
			link.busiest = max(link.busiest, float64(d.bytes)/took.Seconds())
		}
		cost.links = append(cost.links, link)
	}
	return cost
}

func (s *Section) addControl(cost fleetCost) {
	t := Table{Head: []string{"link", "messages/s and VM", "bytes/s and VM", "busiest VM, bytes/s"}}
	var sum float64
	for _, link := range cost.links {
		t.Rows = append(t.Rows, []string{link.name, round(link.messages), round(link.bytes), round(link.busiest)})
		s.Figures = append(s.Figures,
			Figure{Name: link.name + ", messages of a VM", Value: link.messages, Unit: "a second", Better: Lower},
			Figure{Name: link.name + ", bytes of a VM", Value: link.bytes, Unit: "a second", Better: Lower},
		)
		sum += link.bytes
	}
	s.Tables = append(s.Tables, t)
	s.Figures = append(s.Figures,
		Figure{Name: "all links, bytes of a VM", Value: sum, Unit: "a second", Better: Lower, Target: "<= 5000"},
		Figure{Name: "processor time of a VM, upper bound", Value: 100 * cost.cpu.Seconds() / cost.span.Seconds() / controlVMs, Unit: "% of a core", Better: Lower, Target: "<= 2.5"},
		Figure{Name: "heap of a VM, upper bound", Value: cost.heap / controlVMs / (1 << 20), Unit: "MB", Better: Lower, Target: "<= 64"},
		Figure{Name: "goroutines of a VM, upper bound", Value: float64(cost.goroutines) / controlVMs, Unit: "goroutines", Better: Lower},
	)
}

// cpuTime returns the processor time that this process has used, and 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// wait lets the fleet run for d or until ctx is done.
func (f *fleet) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// close stops everything that newFleet started. The entry VMs shut down concurrently.
func (f *fleet) close() {
	var g group.Group
	for _, vm := range f.vms {
		g.Go(func(context.Context) error { return vm.daemon.Close() })
	}
	_ = g.Wait()
	for _, o := range f.origins {
		_ = o.Close()
	}
	_ = f.group.Close()
}
