// Package seeds runs property tests with a fixed seed, so that CI gives the same result
// on every run. Other seeds can be tried with a separate command:
//
//	HAWTHORN_SEED=random HAWTHORN_CHECKS=20000 go test ./internal/owner/...
package seeds

import (
	"flag"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Environment variables that override the defaults.
const (
	EnvSeed   = "HAWTHORN_SEED"   // a number, or "random"
	EnvChecks = "HAWTHORN_CHECKS" // generated cases per property
)

// Defaults, used by CI.
const (
	DefaultSeed   = "20261202"
	DefaultChecks = "200"
)

var once sync.Once

// setup sets the flags of rapid from the environment or the defaults.
func setup(t testing.TB) {
	seed := envOr(EnvSeed, DefaultSeed)
	if seed == "random" {
		seed = strconv.FormatUint(rand.Uint64()|1, 10)
	}
	for name, value := range map[string]string{
		"rapid.seed":       seed,
		"rapid.checks":     envOr(EnvChecks, DefaultChecks),
		"rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			t.Fatalf("set %s: %v", name, err)
		}
	}
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// Check runs prop with rapid.Check under the configured seed, and logs the seed and the
// number of cases.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	once.Do(func() { setup(t) })
	t.Logf("seed %s, %s histories", flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value)
	rapid.Check(t, prop)
}
