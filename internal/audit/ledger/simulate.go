package ledger

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Throughput is the load of a journal on the store, as found by [Simulate].
type Throughput struct {
	Writes  float64       // objects a second
	Bytes   float64       // bytes a second
	Lost    uint64        // entries dropped
	Longest time.Duration // longest time from an entry to its confirmed write
}

// Simulate runs the model of the journal of one VM among vms VMs over a simulated span,
// with perSecond entries a second from next, against a store that answers at once.
// The capacity figures in docs/CAPACITY.md are computed with it.
func Simulate(vms, perSecond int, span time.Duration, next func(now time.Time) record.Decision) (Throughput, error) {
	s := simulation{now: time.Unix(0, 0), model: NewModel("log/x", "tok", Limits{})}
	s.send(VMCountMsg{vms})
	start := s.now
	gap := time.Second / time.Duration(perSecond)
	counts, countsSince := skipCounts{}, s.now
	for end := start.Add(span); s.now.Before(end); s.now = s.now.Add(gap) {
		for len(s.timers) > 0 && !s.now.Before(s.timers[0]) {
			s.timers = s.timers[1:]
			s.send(TickMsg{})
		}
		if oldest := s.model.Status.Oldest; !oldest.IsZero() {
			s.result.Longest = max(s.result.Longest, s.now.Sub(oldest))
		}
		if s.now.Sub(countsSince) >= skipInterval {
			if err := s.add(counts.decisions()...); err != nil {
				return s.result, err
			}
			counts, countsSince = skipCounts{}, s.now
		}
		entry := next(s.now)
		if entry.Skip {
			counts.add(&entry)
			continue
		}
		entry.Keep = ""
		if err := s.add(entry); err != nil {
			return s.result, err
		}
	}
	s.result.Writes /= span.Seconds()
	s.result.Bytes /= span.Seconds()
	s.result.Lost = s.model.Status.Lost
	return s.result, nil
}

// simulation runs a model on simulated time.
type simulation struct {
	now    time.Time
	model  Model
	timers []time.Time // in order: the model sets a second timer only if it is due earlier
	result Throughput
}

func (s *simulation) add(all ...record.Decision) error {
	for i := range all {
		data, err := wire.Encode(&all[i])
		if err != nil {
			return err
		}
		s.send(AddMsg{Data: data, At: s.now})
	}
	return nil
}

// send passes a message to the model and answers the resulting store calls at once.
func (s *simulation) send(msg loop.Msg) {
	for queue := []loop.Msg{msg}; len(queue) > 0; queue = queue[1:] {
		next, cmds := s.model.Update(s.now, queue[0])
		s.model = next.(Model)
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case TailCmd:
				queue = append(queue, TailMsg{Kind: kinds.None, NextAddress: cmd.From})
			case PutCmd:
				s.result.Writes++
				s.result.Bytes += float64(len(cmd.Value))
				queue = append(queue, PutMsg{Address: cmd.Address})
			case loop.AfterCmd:
				s.timers = append(s.timers, s.now.Add(cmd.D))
			}
		}
	}
}
