// Package lessor decides for one seat: the authority over one backend server's
// leases. Every entry VM runs one [Lessor] for each backend server of a divided
// service; one of them holds the seat, another is its deputy, the rest watch.
//
// The pattern it answers: keys that one server at a time may serve, while VMs
// pause, links break, the store is down for minutes and answers get lost.
// Without an authority between store and server, a short lease for each server
// would have to be renewed through the store, which is too slow for it at fleet
// size and takes every key down with it in an outage. The rules of safety, by
// number, and the ways weighed stand in docs/design/ownership.md; comments here
// refer to them as "rule n". The grounds of the periods are in package lease.
//
// Lessor is a pure loop.Model: it is told the time, and returns effects as
// values. Its files each have one concern: take.go wins the authority, keep.go
// keeps and ends it, bar.go has the table's side of it, order.go and reply.go
// talk to the server, move.go and free.go give keys away, lost.go notices a lost
// server, stand.go and guard.go let another one stand by for it, deputy.go and
// yield.go are about the other members, leave.go hands it over.
package lessor

import (
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/lease"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Config says which seat this is and how it behaves.
type Config struct {
	Self    ident.VM
	Service ident.Service
	Server  ident.Server
	// FenceChecks says that the service's backend servers refuse an order whose
	// fence is below one that they obeyed. The default is the careful mode, for
	// servers that obey whoever asks.
	FenceChecks bool
	// Times of the service; the zero value means lease.Default().
	Times lease.Times
	// MoveDelay is how long after its lease ran out a silent server keeps its
	// keys. Zero moves them at once, for the shortest unavailable time; a
	// service that fears churn more sets what a usual stall takes.
	MoveDelay time.Duration
	// DeputyState lets another server stand by for a lost one while the store is down.
	// The service's servers must then keep one lease for each seat that grants
	// them any.
	Standby bool

	flaw flaw
}

// Lessor is the state of one seat on one VM. Make it with New; it is a value, and
// Update returns the next one.
type Lessor struct {
	cfg     Config
	born    time.Time // first message: the process's start
	armed   time.Time // when the timer that is set will fire
	tokens  int
	floor   ident.Epoch // never act under an epoch below: see yield.go
	plan    RoleMsg
	planned bool
	leaving bool
	want    bool     // take the seat when its record allows
	relieve ident.VM // and also from this holder, at the next look

	// Authority: take.go.
	auth    chart.State
	epoch   ident.Epoch // of the authority held; zero for none
	former  ident.Epoch // that we held until it, and whose bar the table names; zero for none
	until   time.Time
	rec     Record
	ver     object.Version
	recAt   time.Time // when the record was last read, for the terms of others
	put     PutRecordCmd
	putting bool
	hung    bool      // an earlier attempt at put may still take effect
	down    bool      // the store failed last time
	seen    time.Time // when the store last answered
	missed  time.Time // when it last did not
	pastEnd time.Time // when every authority of an earlier epoch has run out
	storeAt time.Time // when the pending call counts as lost, or the next try is due
	freshAt time.Time // when the term is renewed
	wonAt   time.Time

	// The agreed table: bar.go.
	tab     table.Table
	tabVer  object.Version
	tabBusy bool           // a write of the table is under way
	clashes int            // writes in a row that came second
	mine    table.Set      // what the table gives the server
	mineAt  ident.Revision // row revision of mine

	others   []other // who else may act: yield.go
	words    []word
	suspects []suspect
	askAt    time.Time // when the others are asked again
	tells    int       // how often our successor is still to be told: tell.go
	tellAt   time.Time
	helpAt   time.Time // when the deputy is asked again about a silent server

	srv   contact // order.go
	lease chart.State
	gone  bool // the platform says that the server is gone

	move     chart.State // move.go
	b        batch
	owed     table.Edit // write of a batch that was dropped before its answer came
	queue    []table.Move
	lostPlan []table.Move
	planAt   time.Time
	leaveAt  time.Time
	drain    chart.State

	// Stand-bys: stand.go and guard.go.
	stand   chart.State
	by      ident.Server // who stands by, "" for nobody
	stands  bool         // the record of our epoch allows it
	agreed  ident.Epoch  // newest epoch for which we agreed to one, as deputy
	allowed ident.Epoch  // epoch for which our deputy agreed
	twice   bool         // our deputy's process is not the one of the epoch's start
	vouch   ident.Epoch  // newest epoch of which we say that there is none
	first   ident.Epoch  // first epoch that this process held
	stoodAt ident.Epoch  // newest epoch under which we granted to one
	lent    bool         // an earlier holder may have granted to one

	beatAt   time.Time     // deputy.go
	echo     time.Duration // the deputy's clock, from its last question
	echoBorn int64
	told     time.Time
	d        deputy
}

// New makes the seat of cfg. It does nothing until its first message.
func New(cfg Config) Lessor {
	if cfg.Times == (lease.Times{}) {
		cfg.Times = lease.Default()
	}
	if cfg.flaw == flawMargin {
		cfg.Times.Drift, cfg.Times.Margin = 0, 0
	}
	return Lessor{
		cfg:   cfg,
		auth:  authorityChart.Start,
		lease: leaseChart.Start,
		move:  moveChart.Start,
		drain: drainChart.Start,
		stand: standChart.Start,
		d:     deputy{state: deputyChart.Start},
	}
}

// Holds reports whether this VM holds the seat at the time, and its epoch.
func (s Lessor) Holds(now time.Time) (ident.Epoch, bool) {
	return s.epoch, s.auth == holding && now.Before(s.until)
}

// Unresponsive reports whether this VM holds the seat and its server does not answer.
func (s Lessor) Unresponsive() bool {
	return s.auth == holding && (s.lease == silent || s.lease == out)
}

// Status is a seat's state for operators.
type Status struct {
	Authority chart.State  `json:"authority"`
	Epoch     ident.Epoch  `json:"epoch"`
	Holder    ident.VM     `json:"holder"` // as last read from the record
	Deputy    ident.VM     `json:"deputy"`
	Lease     chart.State  `json:"lease"`
	Move      chart.State  `json:"move"`
	Drain     chart.State  `json:"drain"`
	DeputyState   chart.State  `json:"stand"`        // as deputy
	By        ident.Server `json:"by,omitempty"` // who stands by for the server
	Until     time.Time    `json:"until"`
}

// Status returns the seat's state for operators.
func (s Lessor) Status() Status {
	return Status{
		Authority: s.auth, Epoch: s.epoch, Holder: s.rec.Holder, Deputy: s.rec.Deputy,
		Lease: s.lease, Move: s.move, Drain: s.drain, DeputyState: s.d.state, Until: s.until, By: s.by,
	}
}

// turn is one Update at work: the state, the time, and the effects so far.
type turn struct {
	Lessor
	now   time.Time
	cmds  []loop.Cmd
	wake  time.Time
	acted bool
}

// maxPasses bounds how often the duties are gone through in one Update. A duty
// that acts can make another one due; three in a row is the longest chain.
const maxPasses = 6

// Update takes one message. See loop.Model.
func (s Lessor) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	t := &turn{Lessor: s, now: now}
	if s.auth == closed {
		return t.answerClosed(msg)
	}
	if t.born.IsZero() {
		t.born = now
	}
	t.expire()
	t.handle(msg)
	for range maxPasses {
		t.acted, t.wake = false, time.Time{}
		t.duties()
		if !t.acted {
			break
		}
	}
	t.arm()
	return t.Lessor, t.cmds
}

func (t *turn) handle(msg loop.Msg) {
	switch m := msg.(type) {
	case TickMsg:
		if m.At.Equal(t.armed) {
			t.armed = time.Time{}
		}
	case RoleMsg:
		t.onPlan(m)
	case SuspectMsg:
		t.onSuspect(m)
	case TakeOverMsg:
		t.onRelieve(m)
	case VMGoneMsg:
		t.heard(word{vm: m.VM, below: ^ident.Epoch(0), gone: true})
	case ServerGoneMsg:
		t.gone = true
	case RecordMsg:
		t.onRecord(m)
	case RecordPutMsg:
		t.onRecordPut(m)
	case TableMsg:
		t.onTable(m)
	case TablePutMsg:
		t.onTablePut(m)
	case ReplyMsg:
		t.onReply(m)
	case MoveMsg:
		t.onMove(m)
	case DrainMsg, UndrainMsg:
		t.onDrain(m)
	case LeaveMsg:
		t.leaving, t.leaveAt = true, t.now
	default:
		t.handlePeer(msg)
	}
}

func (t *turn) handlePeer(msg loop.Msg) {
	switch m := msg.(type) {
	case HeartbeatMsg:
		t.onBeat(m)
	case ClockMsg:
		t.onAsk(m)
	case PrepareMsg:
		t.onYield(m)
	case PromiseMsg:
		t.onYielded(m)
	}
}

func (t *turn) duties() {
	t.expire()
	t.retryStore()
	t.refresh()
	t.retake()
	t.seekIfWanted()
	t.askOthers()
	t.tellHeir()
	t.watchGuard()
	t.beat()
	t.tend()
	t.watchServer()
	t.startBatch()
	t.runBatch()
	t.runStand()
	t.runDrain()
	t.runDeputy()
	t.runLeave()
}

// do adds an effect.
func (t *turn) do(c loop.Cmd) {
	t.cmds = append(t.cmds, c)
	t.acted = true
}

// due reports whether a moment has come; if not, the seat wakes for it.
func (t *turn) due(at time.Time) bool {
	if !t.now.Before(at) {
		return true
	}
	if t.wake.IsZero() || at.Before(t.wake) {
		t.wake = at
	}
	return false
}

// arm asks for a timer unless one that fires early enough is set.
func (t *turn) arm() {
	if t.wake.IsZero() || t.now.Before(t.armed) && !t.wake.Before(t.armed) {
		return
	}
	t.armed = t.wake
	t.cmds = append(t.cmds, loop.AfterCmd{D: t.wake.Sub(t.now), Msg: TickMsg{At: t.armed}})
}

func (t *turn) guard() Guard { return Guard{Until: t.until} }

func (t *turn) newToken() string {
	t.tokens++
	return string(t.cfg.Self) + "/" + strconv.FormatInt(t.born.UnixNano(), 36) + "/" + strconv.Itoa(t.tokens)
}
