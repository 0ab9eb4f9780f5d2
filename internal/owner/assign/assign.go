// Package assign assigns the keys of one service to its backend servers. Servers own
// ranges of keys, each under a fence and for a limited time that counts from the arrival
// of the grant. This is the leader's part of ownership; package elect decides which VM is
// the leader.
//
// # One owner for each key
//
// Every change of an owner is first agreed, by a conditional update of the stored table,
// and only then carried out: the keys are released by the previous owner under the new
// fence, and granted to the next owner once the previous one has answered that no work on
// them is left. If it does not answer, the next owner waits until every grant that anybody
// may have sent has expired. Three rules guarantee that:
//
//   - A server that has released keys under a fence refuses all older grants, so a leader
//     that still renews from an older table is refused.
//   - A grant counts from its arrival, so one that is executed late has less time left,
//     never more.
//   - A leader gives orders only until its authority ends, and reads the clock right
//     before it sends. A new leader therefore knows until when the previous one may have
//     renewed grants ([Authority.OldTermEnd]).
//
// Renewing agreed grants needs no new agreement. A leader that has been replaced does no
// harm by renewing them, and the new leader continues at once.
package assign

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Timing of grants.
const (
	// GrantTTL is how long a grant lasts normally. The keys of a lost server stay without a
	// new owner for that long. A change of leader must fit into what is left of it after
	// RenewInterval.
	GrantTTL = 4 * time.Second
	// LongGrantTTL is how long a grant lasts while the store does not confirm the leader's
	// lease: no other VM can take over then, and the keys stay served until the store is
	// back. The platform allows 10 s; the rest is for servers whose clocks run slow.
	LongGrantTTL = 7 * time.Second
	// RenewInterval is the pause between two renewals of the same grant. Shorter pauses fill
	// the leader's network link with little but renewals; longer ones leave less than 2 s for
	// the next leader to take over.
	RenewInterval = 1600 * time.Millisecond
	// SlowRenewInterval is that pause while this VM is overloaded and gives long grants. It
	// halves the cost of renewing; the keys of a lost server wait for up to LongGrantTTL.
	SlowRenewInterval = 2 * RenewInterval
	// maxQueueWait is how long all grants of one server together may wait in this VM's own
	// queue. Beyond it, the VM is too weak for RenewInterval: each round of renewals would
	// start later until grants expire, and the VM would answer the other VMs too late to be
	// considered alive. At most two grants of a server wait at the same time.
	maxQueueWait = time.Second
	// overloadPeriod is how long a VM stays at SlowRenewInterval after grants waited too long.
	overloadPeriod = 10 * time.Second
	// minRenewals is how many renewals fit into a grant, however short the platform's limit.
	minRenewals = 3
	// minSlowRenewals is how many renewals fit into a long grant: one may be lost.
	minSlowRenewals = 2
	// clockSlackPerMille is how much longer than requested a grant may last on a server's
	// clock, in thousandths. The platform specifies 20.
	clockSlackPerMille = 25
	// orderMargin covers the network delay of an order and the resolution of clocks.
	orderMargin = 150 * time.Millisecond
	// retryDelay is the pause before a failed call to a server or the store is made again.
	retryDelay = 300 * time.Millisecond
	// unreadableRetryDelay is the pause before an undecodable table is read again: it has to
	// be repaired first.
	unreadableRetryDelay = 3 * time.Second
	// MaxMissedGrants is how many consecutive grants of one OrderCmd a server may leave
	// unanswered before the rest are not sent. A server that loses every second answer still
	// gets all of them.
	MaxMissedGrants = 5
	// silentProbes is how many grants are sent at once to a silent server.
	silentProbes = 3
	// lossyPeriod is how long a server that left some grants unanswered gets long grants,
	// because several renewals in a row may be lost.
	lossyPeriod = 5 * time.Second
	// SilenceTimeout is how long a server must fail to answer before its keys are assigned to
	// other servers. They become free no sooner than GrantTTL after their last renewal.
	SilenceTimeout = 700 * time.Millisecond
	// heardTimeout is how long a server that does not answer this leader keeps its keys after
	// other VMs last got answers of it: then only the leader's path is lost. VMs report each
	// third of a second, and a grant outlasts it.
	heardTimeout = time.Second
	// reviveInterval is the pause between two questions whether a silent server without keys
	// answers again. Nothing else is sent to it.
	reviveInterval = time.Second
	// settleTime is how long a leader that knew no servers waits for more after the first one is listed.
	// When a whole system starts, all its servers are listed within it.
	settleTime = time.Second
	// flushDelay is how long a completed move may wait before it is stored: the next change
	// of the table usually includes it.
	flushDelay = 2 * time.Second
)

// phase is the progress of handing a row's keys to its owner.
type phase uint8

const (
	vacant    phase = iota // no owner yet
	releasing              // the previous owner has not released the keys
	granting               // the owner may be given the keys
	granted                // the owner has the keys
)

// rowState is what this leader knows of a row beyond the stored table.
type rowState struct {
	phase      phase
	expiry     time.Time // when every grant sent to the owner has expired; zero: none was sent
	inherited  bool      // an earlier leader may have granted the row to the owner, until its term ends
	prevExpiry time.Time // like expiry, for a previous owner that has not released the keys
	// prevInherited says that an earlier leader may have granted the row to the previous owner.
	prevInherited bool
	oldTermEnd    time.Time    // until when earlier leaders may have given orders; zero: see Authority
	keepFence     uint64       // see storeReturned: the owner is renewed under it while the row waits
	keptAt        time.Time    // when the last such renewal that was accepted was sent
	token         string       // returned by the previous owner when it released the keys
	published     ident.Server // the server last published for this row
}

// backend is what this leader knows of a backend server.
type backend struct {
	Server
	listed          bool
	silentSince     time.Time // since when it has not answered; zero while it answers
	grantsPending   bool      // grants have been sent and not answered
	releasesPending bool      // releases have been sent and not answered
	renewAt         time.Time
	pausedUntil     time.Time
	lossyUntil      time.Time // until then it is assumed to lose answers
	replaced        bool      // another server has its address
	releaseAt       time.Time // when unanswered releases are retried
	reviveAt        time.Time // when it is asked again whether it answers, if it has no keys
	speed           float64   // relative to the other servers, from their latencies; zero when unknown
	heardAt         time.Time // when some VM last reported its answers to requests
	latencySum      float64   // of recent answers, in seconds
	answerCount     float64
	listedAt        time.Time
	evacuatedAt     time.Time // since when its data centre is evacuated; zero if it is not
}

// Model is the assignment of one service. Create one with New for each term as leader.
type Model struct {
	auth               Authority
	table              ranges.Table
	version            object.Version
	era                object.Era // of the store when the table was last read
	oldTermEnd         time.Time  // Authority.OldTermEnd under the epoch before
	returned           bool       // the store has returned from an older copy under this VM
	lapsed             bool       // this VM's authority has lapsed since it last wrote the table
	loaded             bool       // the table has been read
	unassigned         bool       // no table is stored yet: the key space is split once servers are known
	writtenEpoch       uint64     // last epoch under which this VM wrote the table, or may have written it
	mustReread         bool       // the stored table may differ: read it before the next write
	callPending        bool
	pendingDraft       *draft
	nextCall           time.Time
	dirtySince         time.Time // since when the table here differs from the stored one
	rows               []rowState
	backends           map[ident.Server]*backend
	loads              cellLoads
	nextPlan           time.Time
	nextBalance        time.Time // when keys may next move for balance, unless a server is far above the others
	latenciesDecayedAt time.Time // when the servers' latency sums were last decayed
	overloadedUntil    time.Time // until then this VM uses the slow renewal interval
	seq                uint64
	publishedFull      bool          // a full view has been published
	maxGrant           time.Duration // longest grant that servers accept; zero: no limit
	flaw               flaw          // always flawNone outside tests
	serversKnown       bool          // servers have been listed
	allAvoided         bool          // all servers that accept keys are better given none, as of the last plan
	idleServers        int           // accepting servers in excess of rows, as of the last plan
	logs               []LogCmd      // log entries for the next update to return
	// settledAt is when all servers that start together should be listed. Assigned earlier,
	// the whole key space would go to the first one.
	settledAt time.Time
}

// draft is a table that is being written to the store, and the initial state of its rows.
type draft struct {
	table ranges.Table
	rows  []rowState
	logs  []LogCmd
}

// Option configures a Model.
type Option func(*Model)

// WithMaxGrant limits how long a grant may last. A platform rejects every longer grant, and
// then no key would be served. Zero means no limit.
func WithMaxGrant(d time.Duration) Option { return func(m *Model) { m.maxGrant = d } }

// New returns a Model for one service on the leader.
func New(opts ...Option) *Model {
	m := &Model{backends: map[ident.Server]*backend{}}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// overloaded reports whether this VM recently failed to send its grants in time.
func (m *Model) overloaded(now time.Time) bool { return now.Before(m.overloadedUntil) }

// capGrant limits the duration of a grant to what servers accept.
func (m *Model) capGrant(d time.Duration) time.Duration {
	if m.maxGrant <= 0 {
		return d
	}
	return min(d, m.maxGrant)
}

// Update handles one message. The model changes in place and returns itself, because
// copying a thousand rows for each message would cost more than the decision.
func (m *Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	var out []loop.Cmd
	switch msg := msg.(type) {
	case TickMsg:
		m.setAuthority(now, msg.Authority)
	case ServersMsg:
		m.setServers(now, msg.Servers)
	case LoadMsg:
		m.loads.add(now, msg)
		m.recordLatencies(now, msg)
		return m, nil
	case ReadResultMsg:
		out = m.readDone(now, msg)
	case WriteResultMsg:
		out = m.writeDone(now, msg)
	case OrderResultMsg:
		out = m.ordersDone(now, msg)
	}
	if !now.Before(m.auth.Until) {
		return m, out
	}
	out = append(out, m.storeCalls(now)...)
	for _, n := range m.logs {
		out = append(out, n)
	}
	m.logs = nil
	if m.loaded && (m.table.Epoch == m.auth.Epoch && !m.epochTooLow() || m.flaw == flawActBeforeWrite) {
		out = append(out, m.dueOrders(now)...)
		out = append(out, m.publishChanges()...)
	}
	return m, out
}

// setAuthority updates this VM's authority. When grants become long, all are renewed at
// once, because the short ones would expire one after the other meanwhile. Under a new epoch
// the table is first written again, as by a new leader, and a full view is published: the
// other VMs take the first view of an epoch as complete.
func (m *Model) setAuthority(now time.Time, a Authority) {
	if m.loaded && a.Epoch != m.auth.Epoch {
		m.lapsed, m.oldTermEnd = m.lapsed || !now.Before(m.auth.Until), m.auth.OldTermEnd
		m.dirtySince, m.publishedFull = now.Add(-flushDelay), false
		m.nextCall = now
	}
	if a.LongGrants && !m.auth.LongGrants {
		for _, b := range m.backends {
			b.renewAt = time.Time{}
		}
	}
	m.auth = a
}

// setServers updates the servers from the platform's list.
func (m *Model) setServers(now time.Time, servers []Server) {
	if !m.serversKnown && len(servers) > 0 {
		m.serversKnown, m.settledAt = true, now.Add(settleTime)
	}
	for _, b := range m.backends {
		b.listed = false
	}
	for _, s := range servers {
		b := m.backends[s.Name]
		if b == nil {
			b = &backend{listedAt: now}
			m.backends[s.Name] = b
		}
		if b.Incarnation != s.Incarnation {
			b.silentSince, b.pausedUntil, b.replaced, b.listedAt = time.Time{}, time.Time{}, false, now
		}
		switch {
		case !s.Evacuated:
			b.evacuatedAt = time.Time{}
		case !b.Evacuated:
			b.evacuatedAt = now
		}
		b.Server, b.listed = s, true
	}
	m.nextPlan = time.Time{}
}

// accepts reports whether the server may be given keys. One that is better given none may if
// there are no others.
func (m *Model) accepts(now time.Time, b *backend) bool {
	return b.accepts(now) && (!b.avoided() || m.allAvoided)
}

// updateAllAvoided determines whether no server accepts keys but those that are better given
// none.
func (m *Model) updateAllAvoided(now time.Time) {
	m.allAvoided = true
	for _, b := range m.backends {
		if b.accepts(now) && !b.avoided() {
			m.allAvoided = false
		}
	}
}

// avoided reports whether the server takes too few requests to be given keys if another one
// can have them.
func (b *backend) avoided() bool { return b.Capped || b.Shedding }

// accepts reports whether the server may be given keys, avoided or not.
func (b *backend) accepts(now time.Time) bool {
	return b.listed && !b.replaced && !b.Leaving && !b.Evacuated && !b.isLost(now)
}

// isLost reports whether the server answers neither this leader nor requests of other VMs.
func (b *backend) isLost(now time.Time) bool {
	return !b.silentSince.IsZero() && now.Sub(b.silentSince) >= SilenceTimeout && now.Sub(b.heardAt) >= heardTimeout
}
