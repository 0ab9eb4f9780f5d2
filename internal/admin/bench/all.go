package bench

// All lists the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"costs", Costs},
		{"journal", Journal},
	}
}
