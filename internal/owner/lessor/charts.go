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

// The state charts. Each file is the single source of the states that the code
// goes through.
var (
	authorityChart = chart.MustParse(authoritySrc)
	leaseChart     = chart.MustParse(leaseSrc)
	moveChart      = chart.MustParse(moveSrc)
	drainChart     = chart.MustParse(drainSrc)
	deputyChart    = chart.MustParse(deputySrc)
	standChart     = chart.MustParse(standSrc)
)

// States that the code asks for.
const (
	idle     chart.State = "idle"
	reading  chart.State = "reading"
	taking   chart.State = "taking"
	doubting chart.State = "doubting"
	barring  chart.State = "barring"
	holding  chart.State = "holding"
	closed   chart.State = "closed"

	none   chart.State = "none"
	held   chart.State = "held"
	silent chart.State = "silent"
	out    chart.State = "out"

	rest     chart.State = "rest"
	revoking chart.State = "revoking"
	settling chart.State = "settling"
	writing  chart.State = "writing"

	serving  chart.State = "serving"
	draining chart.State = "draining"
	drained  chart.State = "drained"

	home chart.State = "home"
	away chart.State = "away"

	off      chart.State = "off"
	watching chart.State = "watching"
	renewing chart.State = "renewing"
)

// fire moves a chart. A trigger that is not drawn is a fault of this code: it
// is reported, and the state stays, which is the safe side for every chart
// here.
func (t *turn) fire(c *chart.Chart, s *chart.State, on chart.Trigger) {
	next, err := c.Fire(*s, on)
	if err != nil {
		t.do(FaultCmd{Err: err})
		return
	}
	*s = next
	t.acted = true
}
