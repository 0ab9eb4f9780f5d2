// Package assign deals the keys of one service out to its backend servers, where
// servers take ranges of keys under fences and for a time that counts from the
// arrival of the order. It is the leader's part of ownership; see package lead
// for who that is.
//
// # One owner for each key
//
// Every change of an owner is first agreed, by a conditional update of the table,
// and only then carried out. Carrying it out is: take the keys back from the
// former owner under the new fence, and give them to the next one when the former
// has said that no work on them is left. Where it does not answer, the next owner
// waits until every grant that anybody may have sent has run out. Three things
// make that certain:
//
//   - A server that released keys under a fence refuses every older grant, so
//     whoever still renews by an older table is refused.
//   - A grant counts from its arrival, so one that is obeyed late has less time
//     left and never more.
//   - Whoever gives orders may do so only until the end of its authority, and
//     looks at the clock right before it sends. A new leader therefore knows until
//     when the one before may have renewed (Authority.Bar).
//
// Renewing what is agreed needs no agreement, so a leader that is replaced while it
// still renews does no harm, and the next one goes on at once.
package assign

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Times of grants.
const (
	// Hold is how long a grant lasts in calm times. A server that is lost keeps its
	// keys from others for as long; a change of the leader must fit into what is
	// left after Renew.
	Hold = 4 * time.Second
	// LongHold is how long a grant lasts while the store does not confirm the lead:
	// nobody can take over then, and the keys stay served until it is back. The
	// platform allows 10 s; the rest is for servers whose clocks run slow.
	LongHold = 7 * time.Second
	// Renew is the pause between two renewals of the same grant. Shorter ones fill the
	// leader's network link with hardly anything else; longer ones leave less than
	// 2 s in which the next leader may come.
	Renew = 1600 * time.Millisecond
	// RenewRare is that pause while this VM cannot keep up, with long grants: it halves
	// what renewing costs, and a lost server's keys wait for up to LongHold.
	RenewRare = 2 * Renew
	// tardy is how long all grants of one server together may wait in this VM's own
	// queue. More, and the VM is too weak for the usual pace: renewals would come later
	// with each round until they run out, and it answers the other VMs too late to be
	// taken for alive. Two of a server's grants wait at a time.
	tardy = time.Second
	// strainFor is how long a VM that was late goes on at the slower pace.
	strainFor = 10 * time.Second
	// renewals of a grant at least fit into it, however short the platform wants it.
	renewals = 3
	// rareRenewals of a long grant fit into it: one may be lost.
	rareRenewals = 2
	// slow is how much longer than asked a grant may last on a server's clock, in
	// parts of a thousand. The platform says 20.
	slow = 25
	// margin covers an order's way and the coarseness of clocks.
	margin = 150 * time.Millisecond
	// again is the pause before a server that did not answer is tried again.
	again = 300 * time.Millisecond
	// unread is the pause before a table that cannot be read is read again: somebody must
	// put it right first.
	unread = 3 * time.Second
	// MaxMissedGrants is how many grants in a row a server may leave unanswered before it counts
	// as one that does not answer. Servers that lose every second answer go on.
	MaxMissedGrants = 5
	// probes is how many grants are tried at once on such a server.
	probes = 3
	// roughFor is how long a server that left some grants unanswered gets long ones:
	// several renewals may be lost in a row.
	roughFor = 5 * time.Second
	// Silent is for how long a server must fail to answer before its keys go
	// elsewhere. They come free no sooner than Hold after their last renewal.
	Silent = 700 * time.Millisecond
	// settle is how long a leader that knows no servers yet waits for more after the
	// first. Within it the servers of a system that starts whole are listed.
	settle = time.Second
	// tidy is how long a finished move waits to be written down: the next change
	// mostly takes it along.
	tidy = 2 * time.Second
)

// phase is how far a row's owner has its keys.
type phase uint8

const (
	vacant   phase = iota // nobody owns it yet
	freeing               // the former owner has not given it back
	granting              // the owner may be given it
	granted               // the owner has it
)

// state is what this leader knows of a row beside the table.
type state struct {
	phase phase
	until time.Time // every grant to the owner has run out then; zero: none was sent
	older bool      // a leader before may have granted it to the owner too, until the bar
	free  time.Time // the same for the former owner, while it has not given the keys back
	// olderFree says that a leader before may have granted it to the former owner.
	olderFree bool
	token     string       // what the former owner said as it gave the keys back
	told      ident.Server // who serves it, as it was last said
}

// peer is what this leader knows of a server.
type peer struct {
	Server
	listed   bool
	silent   time.Time // since when it has not answered; zero when it does
	busy     bool      // grants are on their way
	freeing  bool      // releases are on their way
	renewAt  time.Time
	pauseTo  time.Time
	rough    time.Time // until then it is taken to lose answers
	gone     bool      // another server has its address
	freeAt   time.Time // releases are tried again then
	speed    float64   // relative to the others, as answers show; zero when unknown
	seconds  float64   // of recent answers
	answers  float64
	listedAt time.Time
}

// Model is the decision. Make one with New for each time that this VM leads.
type Model struct {
	auth    Authority
	table   ranges.Table
	version object.Version
	loaded  bool   // the table is known
	fresh   bool   // nobody has had any key: the table is cut once servers are known
	wroteAs uint64 // the last epoch under which this VM wrote the table, or may have
	stale   bool   // the stored one may be another: it is read before the next write
	calling bool
	writing *draft
	callAt  time.Time
	dirty   time.Time // since when the table here differs from the stored one
	rows    []state
	peers   map[ident.Server]*peer
	loads   loads
	planAt  time.Time
	evenAt  time.Time // keys may move for balance again, if no server is far above the others
	learnAt time.Time
	strain  time.Time // until then this VM counts as too weak for the usual pace
	seq     uint64
	told    bool          // a full view was given
	most    time.Duration // longest grant that servers accept; zero: all that are sent here
	flaw    flaw          // always flawNone outside tests
	known   bool          // servers are known
	idle    int           // servers more than stripes, as of the last plan
	notes   []LogCmd      // what the next update says beside its commands
	// settleAt is when servers that start together are all listed: dealt out before,
	// the whole key space would go to the first.
	settleAt time.Time
}

// draft is a table on its way to the store, and what its rows begin with.
type draft struct {
	table ranges.Table
	rows  []state
	notes []LogCmd
}

// Option changes how a Model works.
type Option func(*Model)

// WithMaxGrant bounds how long a grant may last. A platform refuses longer ones, all of
// them, and no key would be served. Zero bounds nothing.
func WithMaxGrant(d time.Duration) Option { return func(m *Model) { m.most = d } }

// New makes the deal of one service for a leader.
func New(opts ...Option) *Model {
	m := &Model{peers: map[ident.Server]*peer{}}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// strained reports whether this VM could not send its grants in time lately.
func (m *Model) strained(now time.Time) bool { return now.Before(m.strain) }

// bounded returns how long a grant may last that should last so long.
func (m *Model) bounded(d time.Duration) time.Duration {
	if m.most <= 0 {
		return d
	}
	return min(d, m.most)
}

// Update takes in a message. The model changes in place and returns itself: a copy
// of a thousand rows for each message would cost more than the decision.
func (m *Model) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	var out []loop.Cmd
	switch msg := msg.(type) {
	case TickMsg:
		m.authorize(now, msg.Authority)
	case ServersMsg:
		m.list(now, msg.Servers)
	case LoadMsg:
		m.loads.add(now, msg)
		m.learn(now, msg)
		return m, nil
	case ReadResultMsg:
		out = m.read(now, msg)
	case WriteResultMsg:
		out = m.wrote(now, msg)
	case OrderResultMsg:
		out = m.ordered(now, msg)
	}
	if !now.Before(m.auth.Until) {
		return m, out
	}
	out = append(out, m.store(now)...)
	for _, n := range m.notes {
		out = append(out, n)
	}
	m.notes = nil
	if m.loaded && (m.table.Epoch == m.auth.Epoch && !m.behind() || m.flaw == flawStale) {
		out = append(out, m.orders(now)...)
		out = append(out, m.served()...)
	}
	return m, out
}

// authorize takes in what this VM may do. When grants become long, all are renewed
// at once: the short ones would run out one after the other meanwhile. Under another
// epoch the table is written once more before anything else, as by a new leader, and who
// serves what is told as a whole: others take an epoch's first word for all of it.
func (m *Model) authorize(now time.Time, a Authority) {
	if m.loaded && a.Epoch != m.auth.Epoch {
		m.dirty, m.told = now.Add(-tidy), false
		m.callAt = now
	}
	if a.LongGrants && !m.auth.LongGrants {
		for _, p := range m.peers {
			p.renewAt = time.Time{}
		}
	}
	m.auth = a
}

// list takes in the servers that the platform lists.
func (m *Model) list(now time.Time, hosts []Server) {
	if !m.known && len(hosts) > 0 {
		m.known, m.settleAt = true, now.Add(settle)
	}
	for _, p := range m.peers {
		p.listed = false
	}
	for _, h := range hosts {
		p := m.peers[h.Name]
		if p == nil {
			p = &peer{listedAt: now}
			m.peers[h.Name] = p
		}
		if p.Incarnation != h.Incarnation {
			p.silent, p.pauseTo, p.gone = time.Time{}, time.Time{}, false
		}
		p.Server, p.listed = h, true
	}
	m.planAt = time.Time{}
}

// takes reports whether a server may be given keys.
func (p *peer) takes(now time.Time) bool {
	return p.listed && !p.gone && !p.Leaving && (p.silent.IsZero() || now.Sub(p.silent) < Silent)
}
