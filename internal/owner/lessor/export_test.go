package lessor

// Flaw is a broken safety rule, for the tests that check its detection.
type Flaw = flaw

// WithFlaw returns cfg with one safety rule broken.
func WithFlaw(cfg Config, f Flaw) Config {
	cfg.flaw = f
	return cfg
}

// Flaws lists every flaw by name.
var Flaws = map[string]Flaw{
	"margin": flawMargin, "wait": flawWait, "doubt": flawDoubt, "fence": flawFence,
	"bar": flawBar, "add": flawAdd, "deputy": flawDeputy, "others": flawOthers,
	"late": flawLate, "readback": flawReadback, "term": flawTerm, "yield": flawYield,
	"eager": flawEager, "agree": flawAgree, "forget": flawForget, "return": flawReturn, "gone": flawGone,
}
