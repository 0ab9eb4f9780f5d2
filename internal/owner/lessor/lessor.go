// Package lessor decides, for one backend server, which entry VM may grant that
// server its leases. Every entry VM runs one [Lessor] for each backend server
// of a sharded service. One of them is the holder of the authority, another is
// its deputy, and the rest only watch.
//
// Keys may be served by one server at a time, while VMs pause, links break, the
// store is down for minutes and answers get lost. Without an authority between
// store and server, each server's short lease would have to be renewed through
// the store, which is too slow for short leases at fleet size and makes every
// key unavailable during a store outage. The numbered safety rules and the
// alternatives are in docs/design/ownership.md; comments here refer to them as
// "rule n". The reasons for the periods are in package lease.
//
// Lessor is a pure loop.Model: Update receives the time and a message, and
// returns effects as values. lessor.go holds the state and the dispatch of
// messages, messages.go and commands.go the inputs and outputs, charts.go the
// state charts, and record.go the stored record.
// acquire.go takes the authority, term.go renews and ends it, and table.go
// raises the minimum epoch in the ownership table. server.go talks to the
// backend server, batch.go and release.go move keys away from it, and
// silent_server.go detects that it stopped answering. standby.go and
// earlier_standby.go let another server stand in for a lost one during a store
// outage. deputy.go, promise.go and successor.go handle the other members.
// drain_leave.go drains the server and hands the authority over at shutdown.
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

// Config names the backend server that a Lessor grants leases to, and sets its
// behaviour.
type Config struct {
	Self    ident.VM
	Service ident.Service
	Server  ident.Server
	// FenceChecks says that the service's backend servers refuse an order whose
	// fence is below one that they obeyed. The default (false) is the careful
	// mode, for servers that obey any order.
	FenceChecks bool
	// Times are the periods of the service; the zero value means
	// lease.Default().
	Times lease.Times
	// MoveDelay is how long a silent server keeps its keys after its lease has
	// expired. Zero moves them at once, for the shortest unavailable time. A
	// service for which moving keys is expensive sets the duration of a usual
	// stall.
	MoveDelay time.Duration
	// Standby lets another server serve the keys of a lost one while the store
	// is down. The service's servers must then keep a separate lease for each
	// lessor that grants them one.
	Standby bool

	flaw flaw
}

// Lessor is the state for one backend server on one VM. Make it with New; it is
// a value, and Update returns the next one.
type Lessor struct {
	cfg           Config
	startedAt     time.Time // time of the first message, taken as the start of the process
	timerAt       time.Time // when the pending timer fires
	tokens        int
	promisedBelow ident.Epoch // never act under an epoch below this one: promise.go
	role          RoleMsg
	hasRole       bool
	leaving       bool
	checkRecord   bool     // read the record and take over if it allows
	replaceHolder ident.VM // take over from this holder too, at the next read of the record

	// Authority: acquire.go and term.go.
	auth                chart.State
	epoch               ident.Epoch // of the authority held; zero: none held
	prevEpoch           ident.Epoch // our own previous epoch, if the table's minimum epoch still names it; zero: none
	termEnd             time.Time
	record              Record
	recordVer           object.Version
	recordReadAt        time.Time // when the record was last read; bounds the terms of other members
	pendingPut          PutRecordCmd
	putPending          bool
	earlierPutUncertain bool      // an earlier attempt of pendingPut may still take effect
	storeDown           bool      // the last call to the store failed
	storeAnsweredAt     time.Time // when the store last answered
	storeFailedAt       time.Time // when a read of the table last failed
	priorTermsEnd       time.Time // when the authorities of all earlier epochs have expired
	storeRetryAt        time.Time // when the pending call counts as lost, or the next attempt is due
	termRenewAt         time.Time // when the term is to be renewed
	epochStartedAt      time.Time

	// The ownership table: table.go.
	table             table.Table
	tableVer          object.Version
	tableWritePending bool           // a write of the table is in progress
	tableConflicts    int            // consecutive table writes that lost to another writer
	cachedSet         table.Set      // what the table gives the server
	cachedSetRev      ident.Revision // row revision of cachedSet

	others               []otherMember // members that may still act: promise.go
	endNotices           []endNotice
	suspicions           []suspicion
	prepareAt            time.Time // when the other members are asked again for their promise
	successorNoticesLeft int       // messages to our successor still to be sent: successor.go
	successorNoticeAt    time.Time
	deputyAskAt          time.Time // when the deputy is asked again about a silent server

	srv          serverState // server.go
	lease        chart.State
	platformGone bool // the platform lists the server as gone

	move           chart.State // batch.go
	batch          batch
	unreportedEdit table.Edit // write of an abandoned batch whose answer has not arrived
	moveQueue      []table.Move
	lostPlan       []table.Move
	planRequestAt  time.Time
	leaveStartedAt time.Time
	drain          chart.State

	// Standbys: standby.go and earlier_standby.go.
	standbyState      chart.State
	standby           ident.Server // the standby that the keys are granted to; "": none
	standbyAllowed    bool         // the record of our epoch allows a standby
	agreedEpoch       ident.Epoch  // newest epoch for which we, as deputy, agreed to a standby
	deputyAgreedEpoch ident.Epoch  // epoch for which our deputy agreed to a standby
	deputyRestarted   bool         // our deputy's process has restarted since the epoch began
	noStandbyEpoch    ident.Epoch  // newest epoch for which we declare that there is no standby
	firstEpoch        ident.Epoch  // first epoch that this process held
	lastStandbyEpoch  ident.Epoch  // newest epoch under which we granted to a standby
	earlierStandby    bool         // an earlier holder's standby may still hold the keys

	heartbeatAt       time.Time     // when the next heartbeat is due: deputy.go
	deputyClock       time.Duration // reading of the deputy's clock in its last ClockMsg
	deputyIncarnation int64
	deputyTermEnd     time.Time
	deputy            deputy
}

// New returns the Lessor of cfg. It does nothing until its first message.
func New(cfg Config) Lessor {
	if cfg.Times == (lease.Times{}) {
		cfg.Times = lease.Default()
	}
	if cfg.flaw == flawNoMargin {
		cfg.Times.Drift, cfg.Times.Margin = 0, 0
	}
	return Lessor{
		cfg:          cfg,
		auth:         authorityChart.Start,
		lease:        leaseChart.Start,
		move:         moveChart.Start,
		drain:        drainChart.Start,
		standbyState: standChart.Start,
		deputy:       deputy{state: deputyChart.Start},
	}
}

// Holds reports whether this VM holds the authority at the time, and its epoch.
func (l Lessor) Holds(now time.Time) (ident.Epoch, bool) {
	return l.epoch, l.auth == authHolding && now.Before(l.termEnd)
}

// Unresponsive reports whether this VM holds the authority and the server does
// not answer.
func (l Lessor) Unresponsive() bool {
	return l.auth == authHolding && (l.lease == leaseSilent || l.lease == leaseExpired)
}

// Status is the state of a Lessor, for operators.
type Status struct {
	Authority     chart.State  `json:"authority"`
	Epoch         ident.Epoch  `json:"epoch"`
	Holder        ident.VM     `json:"holder"` // as last read from the record
	Deputy        ident.VM     `json:"deputy"`
	Lease         chart.State  `json:"lease"`
	Move          chart.State  `json:"move"`
	Drain         chart.State  `json:"drain"`
	DeputyState   chart.State  `json:"stand"`        // state of this VM as deputy
	StandbyServer ident.Server `json:"by,omitempty"` // the standby that serves for the server
	Until         time.Time    `json:"until"`
}

// Status returns the state for operators.
func (l Lessor) Status() Status {
	return Status{
		Authority: l.auth, Epoch: l.epoch, Holder: l.record.Holder, Deputy: l.record.Deputy,
		Lease: l.lease, Move: l.move, Drain: l.drain, DeputyState: l.deputy.state, Until: l.termEnd, StandbyServer: l.standby,
	}
}

// turn is the working state of one Update call: the Lessor, the time, and the
// effects so far.
type turn struct {
	Lessor
	now     time.Time
	cmds    []loop.Cmd
	wakeAt  time.Time
	changed bool
}

// maxPasses bounds how often one Update runs all duties. A duty that acts can
// make another one due; the longest chain is three in a row.
const maxPasses = 6

// Update handles one message. See loop.Model.
func (l Lessor) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	t := &turn{Lessor: l, now: now}
	if l.auth == authClosed {
		return t.answerClosed(msg)
	}
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	t.expireTerm()
	t.handle(msg)
	for range maxPasses {
		t.changed, t.wakeAt = false, time.Time{}
		t.runDuties()
		if !t.changed {
			break
		}
	}
	t.setTimer()
	return t.Lessor, t.cmds
}

func (t *turn) handle(msg loop.Msg) {
	switch m := msg.(type) {
	case TickMsg:
		if m.At.Equal(t.timerAt) {
			t.timerAt = time.Time{}
		}
	case RoleMsg:
		t.onRole(m)
	case SuspectMsg:
		t.onSuspect(m)
	case TakeOverMsg:
		t.onTakeOver(m)
	case VMGoneMsg:
		t.noteEnd(endNotice{vm: m.VM, belowEpoch: ^ident.Epoch(0), gone: true})
	case ServerGoneMsg:
		t.platformGone = true
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
		t.leaving, t.leaveStartedAt = true, t.now
	default:
		t.handlePeer(msg)
	}
}

func (t *turn) handlePeer(msg loop.Msg) {
	switch m := msg.(type) {
	case HeartbeatMsg:
		t.onHeartbeat(m)
	case ClockMsg:
		t.onClock(m)
	case PrepareMsg:
		t.onPrepare(m)
	case PromiseMsg:
		t.onPromise(m)
	}
}

func (t *turn) runDuties() {
	t.expireTerm()
	t.retryStore()
	t.renewTerm()
	t.startNextEpoch()
	t.startTakeOver()
	t.sendPrepares()
	t.notifySuccessor()
	t.checkEarlierStandbys()
	t.sendHeartbeat()
	t.contactServer()
	t.watchServer()
	t.startBatch()
	t.runBatch()
	t.runStandby()
	t.runDrain()
	t.runDeputy()
	t.runLeave()
}

// emit adds a command to the effects of this Update.
func (t *turn) emit(c loop.Cmd) {
	t.cmds = append(t.cmds, c)
	t.changed = true
}

// due reports whether the time at has come; if not, the timer is set for it.
func (t *turn) due(at time.Time) bool {
	if !t.now.Before(at) {
		return true
	}
	if t.wakeAt.IsZero() || at.Before(t.wakeAt) {
		t.wakeAt = at
	}
	return false
}

// setTimer requests a timer unless a pending one fires early enough.
func (t *turn) setTimer() {
	if t.wakeAt.IsZero() || t.now.Before(t.timerAt) && !t.wakeAt.Before(t.timerAt) {
		return
	}
	t.timerAt = t.wakeAt
	t.cmds = append(t.cmds, loop.AfterCmd{D: t.wakeAt.Sub(t.now), Msg: TickMsg{At: t.timerAt}})
}

func (t *turn) guard() Guard { return Guard{Until: t.termEnd} }

func (t *turn) newToken() string {
	t.tokens++
	return string(t.cfg.Self) + "/" + strconv.FormatInt(t.startedAt.UnixNano(), 36) + "/" + strconv.Itoa(t.tokens)
}
