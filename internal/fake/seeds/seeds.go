// Package seeds runs property tests under a seed that never changes by itself,
// so that CI gives the same verdict on every run. Fresh seeds are tried by a
// command of their own:
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

// The environment variables that a run with other seeds sets.
const (
	EnvSeed   = "HAWTHORN_SEED"   // a number, or "random"
	EnvChecks = "HAWTHORN_CHECKS" // histories per property
)

// Defaults that CI uses.
const (
	DefaultSeed   = "20261202"
	DefaultChecks = "200"
)

var once sync.Once

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

// Check runs prop as rapid.Check does, under the fixed seed, and logs the seed
// and the number of histories.
func Check(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	once.Do(func() { setup(t) })
	t.Logf("seed %s, %s histories", flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value)
	rapid.Check(t, prop)
}
