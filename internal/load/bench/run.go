package bench

// Policy names what is measured.
type Policy uint8

// The policies.
const (
	Ours Policy = iota
	Naive
)

// String names the policy.
func (p Policy) String() string { return [...]string{"ours", "naive"}[p] }

// Run plays a scene under a policy. The same scene and seed always give the
// same rows.
func Run(sc Scenario, p Policy, seed uint64) []Row {
	w := newWorld(sc, seed)
	if p == Naive {
		w.policy = newNaive(w)
	} else {
		w.policy = newOurs(w, seed)
	}
	w.start()
	w.run(sc.Last)
	w.drain()
	return w.rows(p.String())
}
