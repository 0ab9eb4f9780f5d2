package bench

// All lists the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"costs", Costs},
		{"latency", Latency},
		{"load", Load},
		{"owner", Owner},
		{"place", Place},
		{"peers", Peers},
		{"journal", Journal},
		{"slopes", Slopes},
		{"control", Control},
	}
}
