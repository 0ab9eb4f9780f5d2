package fleet

// Settings of the estimate of places.
const (
	// crowdedLoad is the load, in slots, from which a report counts: a queue as long as the
	// slots. Lower ones say nothing about how many requests fit.
	crowdedLoad = 2
	// placesPercentile is the share of these reports that are within the places. The rest
	// count requests that the server holds without ever answering them.
	placesPercentile = 0.95
	minPlaceReports  = 60   // reports before the estimate is used
	maxPlaceReports  = 2000 // later ones come from a fleet that keeps to the estimate
	maxLoad          = 256  // higher loads count as this
)

// Places estimates how many requests one server of a service holds, running and waiting, from
// the loads that all its servers state. Full servers count the requests that they will never
// answer, so the highest load that was ever stated can be twice what they hold. The zero value
// has seen no report.
type Places struct {
	counts [maxLoad + 1]int
	n      int
}

// Add adds a load that a server with that many slots has stated.
func (p *Places) Add(load, slots int) {
	if load < crowdedLoad*max(slots, 1) || p.n >= maxPlaceReports {
		return
	}
	p.counts[min(load, maxLoad)]++
	p.n++
}

// Value returns the estimate, zero if there were too few reports.
func (p *Places) Value() int {
	if p.n < minPlaceReports {
		return 0
	}
	left := int(placesPercentile * float64(p.n))
	for load, n := range p.counts {
		if left -= n; left <= 0 {
			return load
		}
	}
	return maxLoad
}
