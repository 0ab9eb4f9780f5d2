package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// How long the fleet settles before the measurement, and is measured.
const (
	controlSettle = 16 * time.Second // after the seats are even
	controlSpan   = 20 * time.Second
	controlQuick  = 3 * time.Second
)

// Control measures what entry VMs cost that have no requests: whole daemons at
// today's size, with their surroundings, in one process.
func Control(ctx context.Context, o Options) (Section, error) {
	settle, span := controlSettle, controlSpan
	if o.Quick {
		settle, span = controlQuick, controlQuick
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
	s.control(measured(ctx, f, span))
	return s, ctx.Err()
}

// spent is what one span cost.
type spent struct {
	span  time.Duration
	cpu   time.Duration
	heap  float64
	tasks int
	sides []side
}

// side is the traffic of all VMs on one kind of link.
type side struct {
	name            string
	messages, bytes float64 // a second and VM
	most            float64 // bytes a second of the busiest VM
}

func measured(ctx context.Context, f *fleet, span time.Duration) spent {
	before, cpu, start := f.read(), processTime(), time.Now()
	f.wait(ctx, span)
	after := f.read()
	took := time.Since(start)
	r := spent{span: took, cpu: processTime() - cpu, tasks: runtime.NumGoroutine()}
	r.heap = live()
	for i, name := range meterNames {
		x := side{name: name}
		for vm := range after {
			d := after[vm][i].less(before[vm][i])
			x.messages += float64(d.messages) / took.Seconds() / controlVMs
			x.bytes += float64(d.bytes) / took.Seconds() / controlVMs
			x.most = max(x.most, float64(d.bytes)/took.Seconds())
		}
		r.sides = append(r.sides, x)
	}
	return r
}

func (s *Section) control(r spent) {
	t := Table{Head: []string{"link", "messages/s and VM", "bytes/s and VM", "busiest VM, bytes/s"}}
	var sum float64
	for _, x := range r.sides {
		t.Rows = append(t.Rows, []string{x.name, round(x.messages), round(x.bytes), round(x.most)})
		s.Figures = append(s.Figures,
			Figure{Name: x.name + ", messages of a VM", Value: x.messages, Unit: "a second", Better: Lower},
			Figure{Name: x.name + ", bytes of a VM", Value: x.bytes, Unit: "a second", Better: Lower},
		)
		sum += x.bytes
	}
	s.Tables = append(s.Tables, t)
	s.Figures = append(s.Figures,
		Figure{Name: "all links, bytes of a VM", Value: sum, Unit: "a second", Better: Lower, Target: "<= 5000"},
		Figure{Name: "processor time of a VM, upper bound", Value: 100 * r.cpu.Seconds() / r.span.Seconds() / controlVMs, Unit: "% of a core", Better: Lower, Target: "<= 2.5"},
		Figure{Name: "heap of a VM, upper bound", Value: r.heap / controlVMs / (1 << 20), Unit: "MB", Better: Lower, Target: "<= 64"},
		Figure{Name: "goroutines of a VM, upper bound", Value: float64(r.tasks) / controlVMs, Unit: "goroutines", Better: Lower},
	)
}

// processTime is the processor time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// wait lets the fleet run.
func (f *fleet) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// close ends what newFleet started, the entry VMs side by side.
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
