package ledger

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Throughput is what a journal asks of the store, as [Simulate] finds it.
type Throughput struct {
	Writes  float64       // objects a second
	Bytes   float64       // bytes a second
	Lost    uint64        // entries dropped
	Longest time.Duration // longest time from an entry to its confirmed write
}

// Simulate runs the model of one VM's journal among vms ones, with perSecond
// entries as next makes them, over a simulated span against a store that
// answers at once. It is the slope behind the figures in docs/CAPACITY.md.
func Simulate(vms, perSecond int, span time.Duration, next func(now time.Time) record.Decision) (Throughput, error) {
	d := drive{now: time.Unix(0, 0), model: NewModel("log/x", "tok", Limits{})}
	d.send(FleetMsg{vms})
	start := d.now
	gap := time.Second / time.Duration(perSecond)
	left, told := leavings{}, d.now
	for end := start.Add(span); d.now.Before(end); d.now = d.now.Add(gap) {
		for len(d.timers) > 0 && !d.now.Before(d.timers[0]) {
			d.timers = d.timers[1:]
			d.send(TickMsg{})
		}
		if oldest := d.model.Status.Oldest; !oldest.IsZero() {
			d.pace.Longest = max(d.pace.Longest, d.now.Sub(oldest))
		}
		if d.now.Sub(told) >= skipEvery {
			if err := d.add(left.decisions()...); err != nil {
				return d.pace, err
			}
			left, told = leavings{}, d.now
		}
		entry := next(d.now)
		if entry.Skip {
			left.add(&entry)
			continue
		}
		entry.Keep = ""
		if err := d.add(entry); err != nil {
			return d.pace, err
		}
	}
	d.pace.Writes /= span.Seconds()
	d.pace.Bytes /= span.Seconds()
	d.pace.Lost = d.model.Status.Lost
	return d.pace, nil
}

type drive struct {
	now    time.Time
	model  Model
	timers []time.Time // in order: the model keeps one at a time, or an earlier one
	pace   Throughput
}

func (d *drive) add(all ...record.Decision) error {
	for i := range all {
		data, err := wire.Encode(&all[i])
		if err != nil {
			return err
		}
		d.send(AddMsg{Data: data, At: d.now})
	}
	return nil
}

// send hands the model a message and answers its calls at once.
func (d *drive) send(msg loop.Msg) {
	for queue := []loop.Msg{msg}; len(queue) > 0; queue = queue[1:] {
		next, cmds := d.model.Update(d.now, queue[0])
		d.model = next.(Model)
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case TailCmd:
				queue = append(queue, TailMsg{Kind: kinds.None, Next: cmd.From})
			case PutCmd:
				d.pace.Writes++
				d.pace.Bytes += float64(len(cmd.Value))
				queue = append(queue, PutMsg{N: cmd.N})
			case loop.AfterCmd:
				d.timers = append(d.timers, d.now.Add(cmd.D))
			}
		}
	}
}
