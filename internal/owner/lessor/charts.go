package lessor

import (
	_ "embed"

	"hawthornfield.org/hawthornfield/internal/core/chart"
)

//go:embed charts/authority.toml
var authoritySrc []byte

//go:embed charts/lease.toml
var leaseSrc []byte

//go:embed charts/move.toml
var moveSrc []byte

//go:embed charts/drain.toml
var drainSrc []byte

//go:embed charts/deputy.toml
var deputySrc []byte

//go:embed charts/stand.toml
var standSrc []byte

// The state charts. Each file is the only definition of the states and
// transitions that the code uses.
var (
	authorityChart = chart.MustParse(authoritySrc)
	leaseChart     = chart.MustParse(leaseSrc)
	moveChart      = chart.MustParse(moveSrc)
	drainChart     = chart.MustParse(drainSrc)
	deputyChart    = chart.MustParse(deputySrc)
	standChart     = chart.MustParse(standSrc)
)

// States of the charts, by chart.
const (
	// authority.toml: whether this VM holds the authority.
	authIdle    chart.State = "idle"
	authReading chart.State = "reading"
	authWriting chart.State = "taking"
	authUnsure  chart.State = "doubting"
	authFencing chart.State = "barring"
	authHolding chart.State = "holding"
	authClosed  chart.State = "closed"

	// lease.toml: what the holder knows of the server's lease.
	leaseNone    chart.State = "none"
	leaseHeld    chart.State = "held"
	leaseSilent  chart.State = "silent"
	leaseExpired chart.State = "out"

	// move.toml: progress of a batch of moving keys.
	moveIdle     chart.State = "rest"
	moveRevoking chart.State = "revoking"
	moveSettling chart.State = "settling"
	moveWriting  chart.State = "writing"

	// drain.toml: whether the server is being drained.
	drainOff    chart.State = "serving"
	drainActive chart.State = "draining"
	drainDone   chart.State = "drained"

	// stand.toml: whether a standby is granted the keys.
	standbyInactive chart.State = "home"
	standbyActive   chart.State = "away"

	// deputy.toml: whether this VM is the deputy, and renews the lease as such.
	deputyOff      chart.State = "off"
	deputyWatching chart.State = "watching"
	deputyRenewing chart.State = "renewing"
)

// fire makes a chart's transition. A trigger that the chart does not allow in
// this state is a programming error: it is reported and the state stays, which
// is the safe side for every chart here.
func (t *turn) fire(c *chart.Chart, s *chart.State, on chart.Trigger) {
	next, err := c.Fire(*s, on)
	if err != nil {
		t.emit(FaultCmd{Err: err})
		return
	}
	*s = next
	t.changed = true
}
