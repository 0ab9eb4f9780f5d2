package gate

import "time"

// maxSent bounds the times of sent requests that are kept for a server: more than this VM may
// have in flight there in the second for which a report is used.
const maxSent = 16

// sentTimes holds when the newest requests were sent to a server.
type sentTimes struct {
	at   [maxSent]time.Time
	next int
}

func (t *sentTimes) add(now time.Time) {
	t.at[t.next] = now
	t.next = (t.next + 1) % maxSent
}

// since returns how many requests were sent after a time, up to maxSent.
func (t *sentTimes) since(from time.Time) int {
	n := 0
	for n < maxSent && t.at[(t.next-1-n+maxSent)%maxSent].After(from) {
		n++
	}
	return n
}

// backlog estimates the number of requests of all VMs at the server: the newest report of its
// load, and what has been sent and completed since. Without a report that is recent enough, it
// is the mean of the other servers, or the number of this VM's requests there.
func (s *server) backlog(now time.Time) float64 {
	load := s.pace.usualBacklog
	if at, ok := s.fleetLoad(now); ok && !s.reportedAt.After(at) {
		load = s.fleetBacklog(now)
	} else if now.Sub(s.reportedAt) <= maxFleetAge {
		load = float64(s.reportedLoad + s.sent.since(s.reportedAt))
	}
	return max(load, float64(s.running))
}

// fleetBacklog estimates the number of requests from the fleet's entry. No answer has come
// from the server between its report and the list, so that requests were only added; since the
// list, it has completed some as well.
func (s *server) fleetBacklog(now time.Time) float64 {
	e := &s.fleet.Entry
	load := float64(e.Load) + e.Sent*e.LoadAge.Seconds()
	if e.Work > 0 {
		rate := min(load, float64(max(s.info.Slots, 1))) / e.Work.Seconds()
		load += (e.Sent - rate) * now.Sub(s.fleet.at).Seconds()
	}
	return max(load, 0) + float64(s.sent.since(s.fleet.at))
}

// backlogAge returns the age of the report that backlog uses; zero if it uses none.
func (s *server) backlogAge(now time.Time) time.Duration {
	at := s.reportedAt
	if reported, ok := s.fleetLoad(now); ok && reported.After(at) {
		at = reported
	}
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// fleetLoad returns when the server reported the load of its fleet entry, and false if there
// is no entry or it is too old. The report may be older: no answer has come since then.
func (s *server) fleetLoad(now time.Time) (reported time.Time, ok bool) {
	e, _, ok := s.fleet.fresh(now)
	if !ok || e.LoadAge <= 0 {
		return time.Time{}, false
	}
	return s.fleet.at.Add(-e.LoadAge), true
}
