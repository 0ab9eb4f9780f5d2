// Package poll is the exchange between entry VMs: each asks the leader for news,
// the question waits until there is some, and it carries what the leader needs to
// know. It costs a message each way a half second for each VM, and no list of
// members: whoever asks is one.
//
// A VM that is cut off from the store alone learns the rules, the servers and the
// owners of keys in this way within a second.
package poll

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Times and bounds of the exchange.
const (
	// PollTimeout is how long a question waits for news. Two a second keep the leader's
	// silence short, and a question is some hundred bytes.
	PollTimeout = 300 * time.Millisecond
	// PeerTimeout is how long a VM that asks no more counts as one.
	PeerTimeout = 2 * time.Second
	// keptChanges is how many changes of owners are kept, so that whoever was away
	// for a moment gets the difference and not the whole.
	keptChanges = 64
	// mostTold is how many other VMs an answer names. Whoever loses the leader asks
	// them in turn, and needs one that knows the next; with all of them in every
	// answer the exchange would grow with the square of the fleet.
	mostTold = 8
)

// Request is a question to the leader, with what its sender knows.
type Request struct {
	VM          ident.VM                           `json:"vm"`
	Addr        string                             `json:"addr"`  // where the sender is asked
	Lease       elect.Lease                        `json:"lease"` // the newest that the sender knows
	Incarnation string                             `json:"life"`  // of the leader whose numbers follow
	Seqs        map[ident.Service]uint64           `json:"seqs,omitempty"`
	RulesRev    uint64                             `json:"rules"` // newest revision that the sender knows to exist
	ServersRev  uint64                             `json:"servers"`
	CPUs        float64                            `json:"power,omitempty"` // processors that the sender may use
	Cells       map[ident.Service]CellCounts       `json:"cells,omitempty"`
	LatencySums map[ident.Server]assign.LatencySum `json:"sums,omitempty"`
	Reports     LenientList[poison.Report]         `json:"reports,omitempty"` // of requests under which servers broke off
	CaseSeq     uint64                             `json:"cases,omitempty"`   // number of the last change to such requests that the sender was told

	came time.Time // by the boot clock
}

// CellCounts counts requests by cell of the key space.
type CellCounts map[uint16]uint32

// Response is the answer.
type Response struct {
	VM          ident.VM    `json:"vm"`   // who answers
	Incarnation string      `json:"life"` // its process
	Lease       elect.Lease `json:"lease"`
	IsLeader    bool        `json:"leads"` // the one who answers is the leader
	StoreDown   bool        `json:"away"`  // the leader does not reach the store
	// ClusterFormed says that a leader has answered the one who answers, or it leads.
	ClusterFormed bool `json:"settled,omitempty"`
	// StoreUpFor is for how long the store has answered the leader without a break; zero
	// where it does not know.
	StoreUpFor time.Duration `json:"steady,omitempty"`
	// RulesFreshFor is for how long after the question came the rules of the one who answers may
	// be taken for the newest that the store holds; zero where it cannot tell.
	RulesFreshFor time.Duration            `json:"sure,omitempty"`
	RulesCursor   object.Cursor            `json:"seen,omitempty"` // place in the store's changes up to which it knows the rules
	ClaimRank     int                      `json:"rank"`           // how many go before the asker if somebody must take over
	VMCount       int                      `json:"count"`          // how many VMs ask, the asker included
	VMs           []string                 `json:"vms"`            // where some of them are asked
	Changes       map[ident.Service]Change `json:"changes,omitempty"`
	RulesRev      uint64                   `json:"newest,omitempty"` // revision of the rules that may be asked for here
	// RulesRev are what a VM of an earlier version, which names no newest revision, sends.
	Rules   *RawRules   `json:"rules,omitempty"`
	Servers *ServerList `json:"servers,omitempty"`
	Cases   *Cases      `json:"cases,omitempty"`

	// ReceivedAt is when the answer began to arrive: its news are of that time.
	ReceivedAt time.Time `json:"-"`
}

// CaseSeq are the requests under suspicion of crashing servers that changed since the asker
// was last told, up to a number.
type Cases struct {
	Seq  uint64                      `json:"seq"`
	List LenientList[poison.Verdict] `json:"list"`
}

// CaseSource is where the leader keeps such requests.
type CaseSource interface {
	// Since lists what changed after a number.
	Since(seq uint64) Cases
}

// Hub holds what this VM knows and others may ask for. The zero value is not
// usable: see NewBoard.
type Hub struct {
	vm      ident.VM
	life    string
	mu      sync.Mutex
	lease   elect.Lease
	leads   bool
	away    bool
	rules   *payload
	came    context.Context // ends when rules newer than those come
	comes   context.CancelFunc
	sending *semaphore.Weighted // of rules to other VMs
	servers listing
	views   map[ident.Service]*history
	asked   map[ident.VM]asker
	more    chan struct{} // closed at the next change
	told    time.Time     // the leader last told its news, and reached the store
	settled bool          // a leader has told its news, or this VM has led
	touch   touch
	sure    time.Time // by the boot clock: the rules here are the newest until then
	seen    object.Cursor
	turn    context.Context
	turned  context.CancelFunc
	source  CaseSource
}

// history is who serves a service's keys, and how that came about lately.
type history struct {
	view    *ranges.View
	changes []Change
}

// NewHub makes the empty board of one process of a VM.
func NewHub(vm ident.VM, life string) *Hub {
	b := &Hub{
		vm: vm, life: life, views: map[ident.Service]*history{}, asked: map[ident.VM]asker{}, more: make(chan struct{}),
		rules: &payload{}, sending: semaphore.NewWeighted(mostSent),
	}
	b.turn, b.turned = context.WithCancel(context.Background())
	b.came, b.comes = context.WithCancel(context.Background())
	return b
}

func (b *Hub) wake() {
	close(b.more)
	b.more = make(chan struct{})
}

// SetCases sets where the requests under suspicion are kept. Its methods must not call
// the board's.
func (b *Hub) SetCases(s CaseSource) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.source = s
}

// Wake answers those who wait for news.
func (b *Hub) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

// SetLease notes who leads, and whether this VM does.
func (b *Hub) SetLease(l elect.Lease, leads bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lease.Incarnation != l.Incarnation || b.lease.Epoch != l.Epoch {
		b.views = map[ident.Service]*history{}
	}
	if b.leads != leads {
		b.turned()
		b.turn, b.turned = context.WithCancel(context.Background())
	}
	b.lease, b.leads, b.settled = l, leads, b.settled || leads
	b.wake()
}

// Incarnation returns the name of this process, which no other process has.
func (b *Hub) Incarnation() string { return b.life }

// Lease returns who leads, and whether this VM does.
func (b *Hub) Lease() (elect.Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lease, b.leads
}

// SetSynced notes that a leader which reaches the store told this VM all its news, as of
// a time.
func (b *Hub) SetSynced(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told, b.settled = at, true
}

// Synced reports whether this VM knows what the leader knows.
func (b *Hub) Synced(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.leads && !b.told.IsZero() && now.Sub(b.told) < PollTimeout+answerWait
}

// SetStoreDown notes whether this VM, which leads, does not reach the store.
func (b *Hub) SetStoreDown(away bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away != away {
		b.away = away
		b.wake()
	}
}

// LeaderContext returns a context that ends when this VM begins or ceases to lead.
func (b *Hub) LeaderContext() context.Context {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.turn
}

// SetRulesFresh notes until when, by the boot clock, the rules known here may be taken for the
// newest that the store holds, and that they are as of a place in its changes.
func (b *Hub) SetRulesFresh(until time.Time, place object.Cursor) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sure, b.seen = until, max(b.seen, place)
}

// SetRulesCursor notes that the rules known here are the newest as of a place.
func (b *Hub) SetRulesCursor(place object.Cursor) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen = max(b.seen, place)
}

// RulesCursor is up to which place in the store's changes the rules are known here.
func (b *Hub) RulesCursor() object.Cursor {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}

// SetRules notes newer rules and reports whether they are.
func (b *Hub) SetRules(r RawRules) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Rev <= b.rules.Rev {
		return false
	}
	b.rules = &payload{RawRules: r}
	b.comes()
	b.came, b.comes = context.WithCancel(context.Background())
	b.wake()
	return true
}

// RulesContext returns a context that ends when newer rules are known than now.
func (b *Hub) RulesContext() context.Context {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.came
}

// SetServers notes a newer list of servers and reports whether it is.
func (b *Hub) SetServers(l ServerList) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Rev <= b.servers.now.Rev {
		return false
	}
	b.servers.set(l)
	b.wake()
	return true
}

// Revs returns the revisions of the rules and of the servers known here.
func (b *Hub) Revs() (rules, servers uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rules.Rev, b.servers.now.Rev
}

// Publish tells all who ask what changed in who serves a service, and returns the
// view after it.
func (b *Hub) Publish(svc ident.Service, c Change) *ranges.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.views[svc]
	if h == nil || c.Full {
		h = &history{}
		b.views[svc] = h
	}
	h.view = h.view.Apply(c.Epoch, c.Seq, c.Full, c.Spans)
	h.changes = append(h.changes, c)
	if len(h.changes) > keptChanges {
		h.changes = h.changes[1:]
	}
	b.wake()
	return h.view
}

// look returns the news for an asker, whether they are worth an answer now, and what
// to wait for otherwise.
func (b *Hub) look(now time.Time, a *Request) (n Response, worth bool, more <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = Response{VM: b.vm, Incarnation: b.life, Lease: b.lease, IsLeader: b.leads, StoreDown: b.leads && b.away, ClusterFormed: b.settled}
	worth = b.stored(a, &n)
	if !b.leads {
		return n, true, nil // it has nothing to wait for here
	}
	n.StoreUpFor = b.touch.steady(now)
	n.RulesFreshFor, n.RulesCursor = max(b.sure.Sub(a.came), 0), b.seen
	worth = b.owners(a, &n) || worth
	worth = b.cases(a, &n) || worth
	b.others(now, a, &n)
	return n, worth, b.more
}

// stored adds what the store holds, and reports whether the asker does not know it yet.
// One that knows newer rules to exist and still fetches them has nothing to be told, and
// would ask again at once. The caller holds mu, here and below.
func (b *Hub) stored(a *Request, n *Response) bool {
	n.RulesRev = b.rules.Rev
	if b.servers.now.Rev > a.ServersRev {
		l := b.servers.since(a.ServersRev)
		n.Servers = &l
	}
	return n.RulesRev > a.RulesRev || n.Servers != nil
}

// cases adds the requests under suspicion that the asker was not told of.
func (b *Hub) cases(a *Request, n *Response) bool {
	if b.source == nil {
		return false
	}
	seq := a.CaseSeq
	if a.Incarnation != b.life {
		seq = 0
	}
	if c := b.source.Since(seq); len(c.List) > 0 {
		n.Cases = &c
	}
	return n.Cases != nil
}

// owners adds what changed in who serves what.
func (b *Hub) owners(a *Request, n *Response) bool {
	for svc, h := range b.views {
		c, ok := h.since(a, svc, b.lease.Incarnation)
		if !ok {
			continue
		}
		if n.Changes == nil {
			n.Changes = map[ident.Service]Change{}
		}
		n.Changes[svc] = c
	}
	return n.Changes != nil
}

// since joins what changed after what an asker knows.
func (h *history) since(a *Request, svc ident.Service, life string) (Change, bool) {
	have := a.Seqs[svc]
	if a.Incarnation == life && have == h.view.Seq {
		return Change{}, false
	}
	out := Change{Epoch: h.view.Epoch, Seq: h.view.Seq}
	if a.Incarnation != life || have < h.changes[0].Seq {
		out.Full, out.Spans = true, h.view.Spans()
		return out, true
	}
	for _, c := range h.changes {
		if c.Seq > have {
			out.Full = out.Full || c.Full
			out.Spans = append(out.Spans, c.Spans...)
		}
	}
	return out, true
}
