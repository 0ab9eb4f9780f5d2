package bench

import (
	"context"
	"fmt"
	"time"

	"hawthornfield.org/hawthornfield/internal/node/netsim"
)

// Peers simulates the exchange of state between entry VMs and measures its traffic and
// speed for fleets of several sizes.
func Peers(ctx context.Context, o Options) (Section, error) {
	s := Section{
		Title: "Exchange between entry VMs",
		Note: "The daemon's own exchange module in up to 520 copies over a simulated clock and network; " +
			"each size once without loss, and once with 2 % loss and restarts.",
	}
	sizes := netsim.Sizes
	if o.Quick {
		sizes = sizes[:2]
	}
	t := Table{Head: []string{"VMs", "loss", "messages/s and VM", "bytes/s and VM", "busiest VM, bytes/s", "known everywhere p50", "p99", "worst", "missing", "watchers", "list reads/s, fleet", "longest without news", "age of a load row"}}
	bytes, times := Line{Name: "bytes/s and VM"}, Line{Name: "known everywhere, worst (ms)"}
	for _, r := range netsim.RunAll(sizes) {
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(r.VMs), fmt.Sprintf("%.0f %%", 100*r.Loss), fmt.Sprintf("%.1f", r.Messages), fmt.Sprintf("%.0f", r.Mean), fmt.Sprintf("%.0f", r.Max),
			r.P50.String(), r.P99.String(), r.Worst.String(), fmt.Sprint(r.Missing), fmt.Sprint(r.Watchers), fmt.Sprintf("%.1f", r.Reads),
			r.Gap.Round(time.Millisecond).String(), r.LoadAge.Round(time.Millisecond).String(),
		})
		name := fmt.Sprintf("%d VMs, %.0f %% loss: ", r.VMs, 100*r.Loss)
		s.Figures = append(s.Figures,
			Figure{Name: name + "bytes of a VM", Value: r.Mean, Unit: "a second", Better: Lower, Target: "<= 5000"},
			Figure{Name: name + "a change is known everywhere", Value: r.Worst.Seconds(), Unit: "s", Better: Lower, Target: "<= 7 s"},
		)
		if r.Loss == 0 {
			bytes.Points = append(bytes.Points, Point{float64(r.VMs), r.Mean})
			times.Points = append(times.Points, Point{float64(r.VMs), millis(r.Worst)})
		}
	}
	s.Tables = []Table{t}
	s.Plots = []Plot{
		{Name: "peers", Title: "Exchange: bytes by the number of VMs", X: "VMs", Y: "bytes/s and VM", LogX: true, Lines: []Line{bytes}},
		{Name: "spread", Title: "Exchange: time until a change is known everywhere", X: "VMs", Y: "ms", LogX: true, Lines: []Line{times}},
	}
	return s, ctx.Err()
}
