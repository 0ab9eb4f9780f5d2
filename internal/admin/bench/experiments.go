package bench

// All returns the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"costs", Costs},
		{"latency", Latency},
		{"load", Load},
		{"owner", Outages},
		{"place", Placement},
		{"peers", Peers},
		{"journal", Journal},
		{"slopes", Slopes},
		{"control", Control},
	}
}
