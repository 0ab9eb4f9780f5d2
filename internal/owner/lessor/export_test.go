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
	"margin": flawNoMargin, "wait": flawNoWait, "doubt": flawAssumeWritten, "fence": flawSameFence,
	"bar": flawMinEpoch, "add": flawRenewGrants, "deputy": flawDeputyGrants, "others": flawIgnoreMembers,
	"late": flawLateGrant, "readback": flawNoReadBack, "term": flawPastTerm, "yield": flawBreakPromise,
	"eager": flawEarlyStandby, "agree": flawNoAgreement, "forget": flawIgnoreStandby, "return": flawStandbyNoRevoke, "gone": flawStandbyGone,
}
