package place

import "math"

// targetShare is the share of the band to which moves bring a server's load once they have
// begun. Without it, a server at the edge of the band would cause moves in every plan.
const targetShare = 0.5

// balance moves items between accepting servers if one is outside the band, until all are
// well inside it, no move helps, or the budget is spent. A move of one step can enable
// moves of the other, so both are repeated. Each move goes from a higher load ratio to one
// that stays below it, so the loop ends.
func (p *plan) balance() {
	if p.meanRatio <= 0 {
		return
	}
	b := p.in.Band
	for before := -1; p.balanceMoves > before; {
		before = p.balanceMoves
		if p.maxRatio() > p.meanRatio*(1+b.High) {
			p.relieve(p.meanRatio * (1 + targetShare*b.High))
		}
		if p.hosts[p.byRatio.top()].ratio() < p.meanRatio*(1-b.Low) {
			p.fill(p.meanRatio * (1 - targetShare*b.Low))
		}
	}
}

func (p *plan) maxRatio() float64 {
	worst := 0.0
	for _, h := range p.accepting {
		worst = max(worst, p.hosts[h].ratio())
	}
	return worst
}

// busiest returns the server with the highest load ratio that is not stuck, or -1.
func (p *plan) busiest() int {
	best := -1
	for _, h := range p.accepting {
		if p.hosts[h].stuck {
			continue
		}
		if best < 0 || p.hosts[h].ratio() > p.hosts[best].ratio() {
			best = h
		}
	}
	return best
}

// relieve moves items away from the busiest servers until all are at or below the target.
func (p *plan) relieve(target float64) {
	p.clearStuck()
	for p.balanceMoves < p.in.Band.Budget {
		from := p.busiest()
		if from < 0 || p.hosts[from].ratio() <= target {
			return
		}
		if !p.relieveOne(from, target) {
			p.hosts[from].stuck = true
		}
	}
}

func (p *plan) clearStuck() {
	for h := range p.hosts {
		p.hosts[h].stuck = false
	}
}

// relieveOne moves one item away from a server. It prefers the largest one that brings the
// server to the target without raising the other above it; failing that, the largest that
// leaves the other below this server's ratio, which still lowers the maximum. An item that
// fits nowhere stays: a key that exceeds a server by itself is never moved, but the items
// around it are.
func (p *plan) relieveOne(from int, target float64) bool {
	h := &p.hosts[from]
	to := p.byRatio.top()
	if to == from {
		return false
	}
	o := &p.hosts[to]
	excess := h.load - target*h.capacity
	room := target*o.capacity - o.load
	i := p.largestItem(from, min(max(excess, p.smallestLoad(from)), room))
	if i >= 0 {
		p.moveForBalance(i, p.preferHome(i, target, to), Excess)
		return true
	}
	if i, to = p.bestImprovement(from); i < 0 {
		return false
	}
	p.moveForBalance(i, to, Excess)
	return true
}

// bestImprovement returns the item and the server that give the lowest maximum of both
// ratios. Servers of different capacity require trying all of them: an item that does not
// fit the server with the lowest ratio may fit a larger one.
func (p *plan) bestImprovement(from int) (best, to int) {
	h := &p.hosts[from]
	best, lowest := -1, h.ratio()-roundingSlack(h.ratio())
	for _, k := range p.accepting {
		o := &p.hosts[k]
		if k == from {
			continue
		}
		i := p.largestItem(from, lowest*o.capacity-o.load)
		if i < 0 {
			continue
		}
		load := p.items[i].load
		if worse := max((o.load+load)/o.capacity, (h.load-load)/h.capacity); worse < lowest {
			best, to, lowest = i, k, worse
		}
	}
	return best, to
}

// roundingSlack keeps a rounding error from making an exchange of equal items look useful.
func roundingSlack(load float64) float64 { return load * 1e-9 }

// smallestLoad returns the load of the smallest item of a server, or infinity.
func (p *plan) smallestLoad(h int) float64 {
	items := p.sortItems(h)
	for k := len(items) - 1; k >= 0; k-- {
		if x := &p.items[items[k]]; x.host == h && x.load > 0 {
			return x.load
		}
	}
	return math.Inf(1)
}

// preferHome returns a server in the data centre of the item's callers if it stays within
// the target, and other if not.
func (p *plan) preferHome(i int, target float64, other int) int {
	to := p.leastLoaded(p.items[i].slice)
	if to == p.items[i].host || (p.hosts[to].load+p.items[i].load)/p.hosts[to].capacity > target {
		return other
	}
	return to
}

// fill moves items to the least loaded servers until all are at or above the target. It
// takes them from the busiest servers, never bringing one below the mean by more than its
// smallest item.
func (p *plan) fill(target float64) {
	p.clearStuck()
	for p.balanceMoves < p.in.Band.Budget {
		to := p.byRatio.top()
		from := p.busiest()
		if from < 0 || from == to || p.hosts[to].ratio() >= target || p.hosts[from].ratio() <= p.meanRatio {
			return
		}
		need := target*p.hosts[to].capacity - p.hosts[to].load
		spare := p.hosts[from].load - p.meanRatio*p.hosts[from].capacity
		i := p.largestItem(from, min(max(need, p.smallestLoad(from)), max(spare, p.smallestLoad(from))))
		if i < 0 || (p.hosts[to].load+p.items[i].load)/p.hosts[to].capacity >= p.hosts[from].ratio()-roundingSlack(p.meanRatio) {
			p.hosts[from].stuck = true
			continue
		}
		p.moveForBalance(i, to, Fill)
	}
}

// moveForBalance moves an item and counts it against the budget.
func (p *plan) moveForBalance(i, to int, reason Reason) {
	x := &p.items[i]
	if x.reason == "" {
		x.reason = reason
	}
	p.balanceMoves++
	p.assign(i, to)
}
