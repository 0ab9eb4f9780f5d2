package place

import "math"

// half is how far into the band moves go once they began. Without it a server
// at the edge would start moves at every plan.
const half = 0.5

// balance moves items between servers that take keys, if one is outside the
// band, until all are well inside, nothing helps any more, or the budget is
// spent. What one of the two steps moves can open a way for the other, so both
// are repeated. Each move goes from a higher ratio to one that stays below it,
// so the repetition ends.
func (p *plan) balance() {
	if p.mean <= 0 {
		return
	}
	b := p.in.Band
	for before := -1; p.spent > before; {
		before = p.spent
		if p.worst() > p.mean*(1+b.High) {
			p.relieve(p.mean * (1 + half*b.High))
		}
		if p.hosts[p.byRatio.top()].ratio() < p.mean*(1-b.Low) {
			p.fill(p.mean * (1 - half*b.Low))
		}
	}
}

func (p *plan) worst() float64 {
	worst := 0.0
	for _, h := range p.takers {
		worst = max(worst, p.hosts[h].ratio())
	}
	return worst
}

// busiest returns the server with the highest ratio that can still be helped.
func (p *plan) busiest() int {
	best := -1
	for _, h := range p.takers {
		if p.hosts[h].stuck {
			continue
		}
		if best < 0 || p.hosts[h].ratio() > p.hosts[best].ratio() {
			best = h
		}
	}
	return best
}

// relieve takes from the busiest servers until all are below the target.
func (p *plan) relieve(target float64) {
	p.unstick()
	for p.spent < p.in.Band.Budget {
		from := p.busiest()
		if from < 0 || p.hosts[from].ratio() <= target {
			return
		}
		if !p.relieveOne(from, target) {
			p.hosts[from].stuck = true
		}
	}
}

func (p *plan) unstick() {
	for h := range p.hosts {
		p.hosts[h].stuck = false
	}
}

// relieveOne moves one item away from a server. It prefers the largest one that
// brings the server to the target and the other not above it; failing that, the
// largest that leaves the other below where this server was, which still lowers
// the worst. What fits nowhere stays: a key that exceeds a server by itself is
// never moved, and everything around it is.
func (p *plan) relieveOne(from int, target float64) bool {
	h := &p.hosts[from]
	to := p.byRatio.top()
	if to == from {
		return false
	}
	o := &p.hosts[to]
	excess := h.load - target*h.capacity
	room := target*o.capacity - o.load
	i := p.largest(from, min(max(excess, p.smallest(from)), room))
	if i >= 0 {
		p.give(i, p.near(i, target, to), Excess)
		return true
	}
	if i, to = p.anyGain(from); i < 0 {
		return false
	}
	p.give(i, to, Excess)
	return true
}

// anyGain looks at every server for the item that lowers the worst of both most.
// Servers of different capacity make this necessary: what does not fit the one
// that is least loaded for its capacity may fit a larger one.
func (p *plan) anyGain(from int) (best, to int) {
	h := &p.hosts[from]
	best, least := -1, h.ratio()-tiny(h.ratio())
	for _, k := range p.takers {
		o := &p.hosts[k]
		if k == from {
			continue
		}
		i := p.largest(from, least*o.capacity-o.load)
		if i < 0 {
			continue
		}
		load := p.items[i].load
		if worse := max((o.load+load)/o.capacity, (h.load-load)/h.capacity); worse < least {
			best, to, least = i, k, worse
		}
	}
	return best, to
}

// tiny keeps rounding from making an exchange of equals look like a gain.
func tiny(load float64) float64 { return load * 1e-9 }

// smallest returns the load of the smallest item that a server has.
func (p *plan) smallest(h int) float64 {
	items := p.sortItems(h)
	for k := len(items) - 1; k >= 0; k-- {
		if x := &p.items[items[k]]; x.now == h && x.load > 0 {
			return x.load
		}
	}
	return math.Inf(1)
}

// near prefers a server in the data centre of the item's callers, if it stays
// within the target.
func (p *plan) near(i int, target float64, other int) int {
	to := p.least(p.items[i].slice)
	if to == p.items[i].now || (p.hosts[to].load+p.items[i].load)/p.hosts[to].capacity > target {
		return other
	}
	return to
}

// fill gives to the idlest servers until all are above the target. It takes from
// the busiest, never below the mean.
func (p *plan) fill(target float64) {
	p.unstick()
	for p.spent < p.in.Band.Budget {
		to := p.byRatio.top()
		from := p.busiest()
		if from < 0 || from == to || p.hosts[to].ratio() >= target || p.hosts[from].ratio() <= p.mean {
			return
		}
		need := target*p.hosts[to].capacity - p.hosts[to].load
		spare := p.hosts[from].load - p.mean*p.hosts[from].capacity
		i := p.largest(from, min(max(need, p.smallest(from)), max(spare, p.smallest(from))))
		if i < 0 || (p.hosts[to].load+p.items[i].load)/p.hosts[to].capacity >= p.hosts[from].ratio()-tiny(p.mean) {
			p.hosts[from].stuck = true
			continue
		}
		p.give(i, to, Fill)
	}
}

// give moves an item for balance.
func (p *plan) give(i, to int, why Reason) {
	x := &p.items[i]
	if x.why == "" {
		x.why = why
	}
	p.spent++
	p.put(i, to)
}
