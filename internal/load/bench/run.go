package bench

// Policy selects the policy to measure.
type Policy uint8

// The policies.
const (
	Ours  Policy = iota // the daemon's gates
	Naive               // round robin with queues and immediate retries
)

// String names the policy.
func (p Policy) String() string { return [...]string{"ours", "naive"}[p] }

// Run simulates a scenario under a policy. The same scenario and seed always give the
// same rows.
func Run(sc Scenario, p Policy, seed uint64) []Row {
	w := newWorld(sc, seed)
	if p == Naive {
		w.policy = newNaivePolicy(w)
	} else {
		w.policy = newGatePolicy(w, seed)
	}
	w.start()
	w.run(sc.End)
	w.drain()
	return w.rows(p.String())
}
