package fleet

import (
	"maps"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// How many unanswered attempts show that the full servers of a service are silent. Faults
// of one server, such as a hung process, show at that server only.
const (
	minSilentAttempts = 3
	minSilentServers  = 2
)

// evidenceMemory is how long an unanswered attempt counts. Bursts are seconds long and
// leave hundreds of them; single ones hours apart have other causes.
const evidenceMemory = 10 * time.Minute

// Evidence counts the unanswered attempts of all VMs by service, on the leader. The zero
// value has seen none.
type Evidence struct {
	services map[ident.Service]map[ident.Server]silentCount
}

type silentCount struct {
	n  int
	at time.Time // of the newest
}

// Add counts unanswered attempts at a server, and reports whether they show, together with
// those before, that the service's full servers are silent.
func (e *Evidence) Add(now time.Time, svc ident.Service, s ident.Server, n int) bool {
	if n <= 0 {
		return false
	}
	if e.services == nil {
		e.services = map[ident.Service]map[ident.Server]silentCount{}
	}
	if e.services[svc] == nil {
		e.services[svc] = map[ident.Server]silentCount{}
	}
	counts := e.services[svc]
	maps.DeleteFunc(counts, func(_ ident.Server, c silentCount) bool { return now.Sub(c.at) > evidenceMemory })
	counts[s] = silentCount{n: counts[s].n + n, at: now}
	total := 0
	for _, c := range counts {
		total += c.n
	}
	return total >= minSilentAttempts && len(counts) >= minSilentServers
}
