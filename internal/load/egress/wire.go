package egress

import "time"

// wire estimates the bytes that the kernel has accepted and the link has not carried yet. A
// socket accepts several hundred kilobytes at once, so that a completed write says nothing
// about the link.
type wire struct {
	backlog float64
	at      time.Time
}

func (w *wire) add(n int64) { w.backlog += float64(n) }

// drain subtracts what a link, in bytes a second, has carried since the last call.
func (w *wire) drain(now time.Time, link int64) {
	if passed := now.Sub(w.at); passed > 0 {
		w.backlog = max(w.backlog-passed.Seconds()*float64(link), 0)
		w.at = now
	}
}

func (w *wire) bytes() int64 { return int64(w.backlog) }

// Settings of rate.
const (
	rateWindow = 250 * time.Millisecond
	// rateMemory is how long a measured rate is used for a later congestion.
	rateMemory = 2 * time.Second
	// slowestPart bounds the measured rate from below: readers that all pause for a moment
	// would otherwise make every estimate of a wait endless.
	slowestPart = 64
)

// rate measures how fast bytes leave while requests wait. At other times few bytes leave
// because few are asked for, which says nothing.
type rate struct {
	link     float64 // bytes a second
	value    float64
	bytes    int64 // since the window began
	begin    time.Time
	lastBusy time.Time
}

func (r *rate) reset(link int64) { r.link, r.value = float64(link), float64(link) }

// start begins to measure when the first request waits.
func (r *rate) start(now time.Time) {
	if now.Sub(r.lastBusy) > rateMemory {
		r.value = r.link
	}
	r.bytes, r.begin, r.lastBusy = 0, now, now
}

func (r *rate) count(n int64) { r.bytes += n }

// perSecond returns the rate. The requests that wait make the time since the last call count.
func (r *rate) perSecond(now time.Time, waiting bool) float64 {
	if passed := now.Sub(r.begin); waiting && passed >= rateWindow {
		sample := min(max(float64(r.bytes)/passed.Seconds(), r.link/slowestPart), r.link)
		r.value = (r.value + sample) / 2
		r.bytes, r.begin, r.lastBusy = 0, now, now
	}
	return r.value
}
