// Package poll implements the exchange between entry VMs. Each VM polls the leader: the
// request reports what the leader needs to know and waits there until there is news. This
// costs each VM one message each way about every half second, and needs no member list,
// because every VM that polls is a member.
//
// A VM that has lost only the store learns of new rules, servers and key owners in this
// way within a second.
package poll

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/node/evac"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Timeouts and limits of the exchange.
const (
	// PollTimeout is how long a request waits for news. At about two polls per second a
	// silent leader is noticed soon, and a request has only some hundred bytes.
	PollTimeout = 300 * time.Millisecond
	// PeerTimeout is how long a VM is still counted after its last poll.
	PeerTimeout = 2 * time.Second
	// maxKeptChanges is how many changes of key owners are kept per service. A VM that
	// was briefly away gets the difference instead of all owners.
	maxKeptChanges = 64
	// maxListedPeers is how many other VMs a response names. A VM that loses the leader
	// polls them in turn to find one that knows the next leader. If each response named
	// all VMs, traffic would grow with the square of their number.
	maxListedPeers = 8
)

// CaseSource provides the suspected requests on the leader.
type CaseSource interface {
	// Since returns the cases that changed after a sequence number.
	Since(seq uint64) Cases
}

// Hub holds what this VM knows and other VMs may poll for. The zero value is not usable:
// see NewHub.
type Hub struct {
	vm              ident.VM
	incarnation     string
	mu              sync.Mutex
	lease           elect.Lease
	isLeader        bool
	storeDown       bool
	rules           *rulesPayload
	rulesCtx        context.Context // canceled when newer rules arrive
	cancelRulesCtx  context.CancelFunc
	rulesSlots      *semaphore.Weighted // limits transfers of rules to other VMs
	servers         serverHistory
	evacuated       evac.List
	histories       map[ident.Service]*history
	peers           map[ident.VM]peer
	changed         chan struct{} // closed at the next change
	syncedAt        time.Time     // time of the last news from a leader that reached the store
	clusterFormed   bool          // a leader has sent its news, or this VM has led
	contact         storeContact
	rulesFreshUntil time.Time // on the boot clock: until then the rules here are the newest
	rulesCursor     object.Cursor
	confirmedUntil  time.Time // on the boot clock: see SetConfirmed
	asOf            asOfTimes
	incompleteSince map[Topic]time.Time // see SetIncompleteSince
	peerLostAt      time.Time           // when a VM last stopped polling
	heardAt         time.Time           // on the boot clock: when a leader last answered this VM
	leaderCtx       context.Context
	cancelLeaderCtx context.CancelFunc
	caseSource      CaseSource
	noticeSource    NoticeSource
	fleetSource     FleetSource
}

// history holds the owners of a service's keys and their recent changes.
type history struct {
	view    *ranges.View
	changes []Change
}

// NewHub creates an empty hub for one process of a VM.
func NewHub(vm ident.VM, incarnation string) *Hub {
	h := &Hub{
		vm: vm, incarnation: incarnation, histories: map[ident.Service]*history{}, peers: map[ident.VM]peer{}, changed: make(chan struct{}),
		asOf:  newAsOfTimes(),
		rules: &rulesPayload{}, rulesSlots: semaphore.NewWeighted(maxRulesTransfers),
	}
	h.leaderCtx, h.cancelLeaderCtx = context.WithCancel(context.Background())
	h.rulesCtx, h.cancelRulesCtx = context.WithCancel(context.Background())
	return h
}

func (h *Hub) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// SetCases sets the source of suspected requests. Its methods must not call the hub's.
func (h *Hub) SetCases(s CaseSource) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.caseSource = s
}

// Wake answers the polls that wait for news.
func (h *Hub) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wake()
}

// SetLease sets the current lease and whether this VM leads.
func (h *Hub) SetLease(l elect.Lease, isLeader bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.Incarnation != l.Incarnation || h.lease.Epoch != l.Epoch {
		h.histories = map[ident.Service]*history{}
	}
	if h.isLeader != isLeader {
		h.cancelLeaderCtx()
		h.leaderCtx, h.cancelLeaderCtx = context.WithCancel(context.Background())
	}
	h.lease, h.isLeader, h.clusterFormed = l, isLeader, h.clusterFormed || isLeader
	h.wake()
}

// Incarnation returns the identifier of this process, which no other process has.
func (h *Hub) Incarnation() string { return h.incarnation }

// Lease returns the current lease and whether this VM leads.
func (h *Hub) Lease() (elect.Lease, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease, h.isLeader
}

// SetSynced records that this VM has all the news, as of a time, of a leader that reaches
// the store.
func (h *Hub) SetSynced(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.syncedAt, h.clusterFormed = at, true
}

// Synced reports whether this VM is up to date with the leader.
func (h *Hub) Synced(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isLeader && !h.syncedAt.IsZero() && now.Sub(h.syncedAt) < PollTimeout+answerTimeout
}

// SetStoreDown sets whether this VM, which leads, cannot reach the store.
func (h *Hub) SetStoreDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.storeDown != down {
		h.storeDown = down
		h.wake()
	}
}

// LeaderContext returns a context that is canceled when this VM becomes leader or stops
// being the leader.
func (h *Hub) LeaderContext() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaderCtx
}

// SetRulesFresh sets until when, on the boot clock, the rules known here may be treated
// as the newest in the store, and the cursor in the store's changes up to which they are
// known.
func (h *Hub) SetRulesFresh(until time.Time, cursor object.Cursor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rulesFreshUntil, h.rulesCursor = until, max(h.rulesCursor, cursor)
}

// SetRulesCursor records that the rules known here are the newest up to a cursor.
func (h *Hub) SetRulesCursor(cursor object.Cursor) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rulesCursor = max(h.rulesCursor, cursor)
}

// RulesCursor returns the cursor in the store's changes up to which the rules are known
// here.
func (h *Hub) RulesCursor() object.Cursor {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rulesCursor
}

// SetRules stores rules if they are newer, and reports whether they are.
func (h *Hub) SetRules(r RawRules) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Rev <= h.rules.Rev {
		return false
	}
	h.rules = &rulesPayload{RawRules: r}
	h.cancelRulesCtx()
	h.rulesCtx, h.cancelRulesCtx = context.WithCancel(context.Background())
	h.wake()
	return true
}

// RulesContext returns a context that is canceled when rules newer than the current ones
// arrive.
func (h *Hub) RulesContext() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rulesCtx
}

// SetServers stores a server list if it is newer, or holds other servers at the same revision:
// those that are kept back after an outage are dropped with time alone. It reports whether it
// has stored the list.
func (h *Hub) SetServers(l ServerList) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.servers.current; l.Rev < current.Rev || l.Rev == current.Rev && SumOf(l.List) == current.Sum {
		return false
	}
	h.servers.set(l)
	h.wake()
	return true
}

// ServersDigest returns the digest of the servers known here.
func (h *Hub) ServersDigest() uint32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers.current.Digest
}

// SetEvacuated stores the evacuated data centres if they are known as of a newer revision.
func (h *Hub) SetEvacuated(l evac.List) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Rev > h.evacuated.Rev {
		h.evacuated = l
		h.wake()
	}
}

// EvacuatedRev returns the revision as of which the evacuated data centres are known here.
func (h *Hub) EvacuatedRev() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuated.Rev
}

// Revs returns the revisions of the rules and of the servers known here.
func (h *Hub) Revs() (rules, servers uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rules.Rev, h.servers.current.Rev
}

// Publish announces a change of a service's key owners to all VMs that poll, and returns
// the new view.
func (h *Hub) Publish(svc ident.Service, c Change) *ranges.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	hist := h.histories[svc]
	if hist == nil || c.Full {
		hist = &history{}
		h.histories[svc] = hist
	}
	hist.view = hist.view.Apply(c.Epoch, c.Seq, c.Full, c.Spans)
	hist.changes = append(hist.changes, c)
	if len(hist.changes) > maxKeptChanges {
		hist.changes = hist.changes[1:]
	}
	h.wake()
	return hist.view
}

// response builds the response to a request. It returns whether there is news to send
// now, and otherwise a channel to wait on.
func (h *Hub) response(now time.Time, req *Request) (resp Response, hasNews bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp = Response{Held: clock.Now().Sub(req.receivedAt), VM: h.vm, Incarnation: h.incarnation, Lease: h.lease, IsLeader: h.isLeader, StoreDown: h.isLeader && h.storeDown, ClusterFormed: h.clusterFormed}
	hasNews = h.addStored(req, &resp)
	h.addAges(&resp)
	resp.StoreUpFor = h.contact.upFor(now)
	if !h.isLeader {
		return resp, true, nil // only a leader lets requests wait
	}
	resp.RulesFreshFor, resp.RulesCursor = max(h.rulesFreshUntil.Sub(req.receivedAt), 0), h.rulesCursor
	resp.ServersDigest = h.servers.current.Digest
	resp.ConfirmedFor = max(h.confirmedUntil.Sub(req.receivedAt), 0)
	hasNews = h.addChanges(req, &resp) || hasNews
	hasNews = h.addCases(req, &resp) || hasNews
	hasNews = h.addNotices(req, &resp) || hasNews
	resp.TrialGrants, resp.Lent = req.TrialGrants, req.Lent
	hasNews = hasNews || len(resp.TrialGrants) > 0
	h.addPeers(now, req, &resp)
	return resp, hasNews, h.changed
}

// addStored adds the rules revision, the servers and the evacuations, and reports whether they are news. A
// receiver that knows of newer rules and is still fetching them needs no notice; it would
// poll again at once. This and the following methods require the caller to hold mu.
func (h *Hub) addStored(req *Request, resp *Response) bool {
	resp.RulesRev = h.rules.Rev
	if l, ok := h.serversSince(req.ServersRev); ok {
		resp.Servers = &l
	}
	if h.evacuated.Rev > req.EvacRev {
		l := h.evacuated.WithKnown(time.Now())
		resp.Evacuated = &l
	}
	return resp.RulesRev > req.RulesRev || resp.Servers != nil || resp.Evacuated != nil
}

// addCases adds the suspected requests that changed, and reports whether there are any.
func (h *Hub) addCases(req *Request, resp *Response) bool {
	if h.caseSource == nil {
		return false
	}
	seq := req.CaseSeq
	if req.Incarnation != h.incarnation {
		seq = 0
	}
	if c := h.caseSource.Since(seq); len(c.List) > 0 {
		resp.Cases = &c
	}
	return resp.Cases != nil
}

// addChanges adds the changed key owners, and reports whether there are any.
func (h *Hub) addChanges(req *Request, resp *Response) bool {
	for svc, hist := range h.histories {
		c, ok := hist.since(req, svc, h.lease.Incarnation)
		if !ok {
			continue
		}
		if resp.Changes == nil {
			resp.Changes = map[ident.Service]Change{}
		}
		resp.Changes[svc] = c
	}
	return resp.Changes != nil
}

// since merges the changes after those that the sender of a request knows.
func (h *history) since(req *Request, svc ident.Service, incarnation string) (Change, bool) {
	known := req.Seqs[svc]
	if req.Incarnation == incarnation && known == h.view.Seq {
		return Change{}, false
	}
	out := Change{Epoch: h.view.Epoch, Seq: h.view.Seq}
	if req.Incarnation != incarnation || known < h.changes[0].Seq {
		out.Full, out.Spans = true, h.view.Spans()
		return out, true
	}
	for _, c := range h.changes {
		if c.Seq > known {
			out.Full = out.Full || c.Full
			out.Spans = append(out.Spans, c.Spans...)
		}
	}
	return out, true
}
