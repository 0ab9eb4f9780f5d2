// Package fair gives every caller, and every key, its share of a busy service.
//
// The load pattern is one caller that sends half of all requests, or one key
// that gets a third of them. In order of arrival, everybody then waits behind
// the hot one: the others' p99 grows with a backlog that is not theirs.
//
// The method is start-time fair queueing. A flow (a caller, a key) has a finish
// tag, which rises by the cost of each of its requests; a request is ordered by
// its start tag, the flow's finish tag or the virtual time, whichever is later.
// A flow that asks for little always starts at the virtual time, hence before
// the backlog of a hot one, and a flow alone still gets everything: nothing is
// reserved, so no capacity is lost.
//
// Grounds for the memory bound: a flow whose tag is not above the virtual time
// owes nothing and can be forgotten without changing any later decision. Only
// flows with something waiting or just served are remembered, so a million
// callers cost no more than the queue is long.
package fair

// Flow is the hash of a caller or a key. Zero is "none", which is never charged.
type Flow uint64

// Tag is a point in virtual time, in units of request cost.
type Tag float64

// DefaultFlows is how many flows a Book remembers. It is four times the longest
// queue of the gate: every waiting request may have its own caller, and the
// rest are flows served moments ago.
const DefaultFlows = 1024

// sweep is how many remembered flows are looked at for each new one. Two is
// enough to forget faster than flows arrive.
const sweep = 2

// Book keeps the finish tags of the flows of one queue. The zero value is ready
// to use and remembers DefaultFlows flows.
type Book struct {
	Max int // most flows remembered; zero is DefaultFlows

	finish  map[Flow]Tag
	order   []Flow // ring of remembered flows in the order they came
	head, n int
	now     Tag
}

// Start returns the start tag that a request of this flow would get, without
// charging it.
func (b *Book) Start(f Flow) Tag {
	if f == 0 {
		return b.now
	}
	return max(b.now, b.finish[f])
}

// Charge adds a request of the given cost to the flow and returns its start
// tag.
func (b *Book) Charge(f Flow, cost float64) Tag {
	start := b.Start(f)
	end := start + Tag(cost)
	if f == 0 {
		return start
	}
	b.remember(f)
	b.finish[f] = end
	return start
}

// Refund takes back a charge whose request was refused or abandoned before it
// was served.
func (b *Book) Refund(f Flow, cost float64) {
	if end, ok := b.finish[f]; ok && f != 0 {
		b.finish[f] = end - Tag(cost)
	}
}

// Serve moves the virtual time on for a request that is started: to its start
// tag, and by its part of one round over the active flows.
//
// With the first step alone a request could wait for ever: as long as new flows
// keep arriving, each starts at the virtual time, is served before whoever is
// one request ahead of it, and leaves the virtual time where it was. One would
// notice refusals at the deadline, of callers with two requests in a row.
func (b *Book) Serve(start Tag, cost float64, active int) {
	b.now = max(b.now, start) + Tag(cost)/Tag(max(active, 1))
}

// Now returns the virtual time.
func (b *Book) Now() Tag { return b.now }

// Len is the number of flows remembered.
func (b *Book) Len() int { return b.n }

func (b *Book) remember(f Flow) {
	if b.finish == nil {
		if b.Max <= 0 {
			b.Max = DefaultFlows
		}
		b.finish = make(map[Flow]Tag, b.Max)
		b.order = make([]Flow, b.Max)
	}
	if _, ok := b.finish[f]; ok {
		return
	}
	b.forget()
	b.order[(b.head+b.n)%b.Max] = f
	b.n++
}

// forget drops flows that owe nothing. When all owe something and the book is
// full it drops the oldest, which then starts afresh: a bounded unfairness in
// place of unbounded memory.
func (b *Book) forget() {
	for range sweep {
		if b.n == 0 {
			return
		}
		f := b.order[b.head]
		b.head = (b.head + 1) % b.Max
		b.n--
		if b.finish[f] <= b.now {
			delete(b.finish, f)
			continue
		}
		b.order[(b.head+b.n)%b.Max] = f
		b.n++
	}
	if b.n < b.Max {
		return
	}
	delete(b.finish, b.order[b.head])
	b.head = (b.head + 1) % b.Max
	b.n--
}
