// Package record takes down every routing and placement decision: what was
// decided, for whom, under whose rule and revision, and why.
//
// The load pattern it answers is a decision for every request, several thousand
// a second on one entry VM, each of which must end as a log line and, later, as
// an answer to an auditor. Writing the line on the request path would make every
// caller wait for the slowest reader of the log. Instead the request path puts a
// value of fixed size into a bounded ring (BenchmarkRecord: no allocation) and
// one duty renders and hands it on. When the ring is full the decision is
// dropped and counted, and the count itself becomes a line and a record as soon
// as there is room: a gap in the log that does not say that it is a gap would be
// worse than the gap.
package record

import (
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// Action tells what was decided.
type Action string

// The sorts of decisions.
const (
	Route  Action = "route"  // a request was answered or refused
	Accept Action = "accept" // a request is about to be forwarded, under a durable rule
	Place  Action = "place"  // a slice or a key got an owner
	Lost   Action = "lost"   // Count decisions were not recorded
	Skip   Action = "skip"   // Count decisions of a rule are not in the journal, as Keep says
)

// Decision is one decision. Fields that do not apply stay zero. The names in
// the log and in the journal are one word each.
type Decision struct {
	At           time.Time      `cbor:"at" json:"at"`
	Action       Action         `cbor:"sort" json:"sort"`
	ID           ident.Request  `cbor:"id,omitempty" json:"id,omitempty"`
	VM           ident.VM       `cbor:"vm,omitempty" json:"vm,omitempty"`
	Caller       ident.Caller   `cbor:"caller,omitempty" json:"caller,omitempty"`
	Service      ident.Service  `cbor:"service,omitempty" json:"service,omitempty"`
	Key          ident.Key      `cbor:"key,omitempty" json:"key,omitempty"`
	Slice        ident.Slice    `cbor:"slice,omitempty" json:"slice,omitempty"`
	Rule         string         `cbor:"rule,omitempty" json:"rule,omitempty"`
	Rev          ident.Revision `cbor:"rev,omitempty" json:"rev,omitempty"`       // of the rules; of the table for Place
	Newest       ident.Revision `cbor:"newest,omitempty" json:"newest,omitempty"` // revision that exists while Rev was still in force
	Server       ident.Server   `cbor:"server,omitempty" json:"server,omitempty"`
	PrevOwner    ident.Server   `cbor:"former,omitempty" json:"former,omitempty"` // owner before, for Place
	Epoch        ident.Epoch    `cbor:"epoch,omitempty" json:"epoch,omitempty"`
	Kind         string         `cbor:"kind,omitempty" json:"kind,omitempty"`     // name of a kinds.Kind; the number may differ between versions
	Ran          kinds.Ran      `cbor:"ran,omitempty" json:"ran,omitempty"`       // what the caller was promised
	Status       int            `cbor:"code,omitempty" json:"code,omitempty"`     // HTTP status that the caller got
	Reason       string         `cbor:"why,omitempty" json:"why,omitempty"`       // one sentence
	Took         time.Duration  `cbor:"took,omitempty" json:"took,omitempty"`     // arrival to answer
	PipelineWait time.Duration  `cbor:"unread,omitempty" json:"unread,omitempty"` // part of took in which it waited behind others on its connection
	Pipelined    bool           `cbor:"ahead,omitempty" json:"ahead,omitempty"`   // worked on before those before it on its connection were answered
	Wait         time.Duration  `cbor:"wait,omitempty" json:"wait,omitempty"`     // part of took in which it waited here for a place at a server
	FirstByte    time.Duration  `cbor:"first,omitempty" json:"first,omitempty"`   // from sending to the first byte of the last attempt's answer: way and server
	Remote       bool           `cbor:"far,omitempty" json:"far,omitempty"`       // the server is in another data centre
	Load         int            `cbor:"load,omitempty" json:"load,omitempty"`     // the server's own word on requests there, as known when it was chosen
	LoadAge      time.Duration  `cbor:"age,omitempty" json:"age,omitempty"`       // of that word
	Bytes        int64          `cbor:"bytes,omitempty" json:"bytes,omitempty"`   // of the bodies, both ways
	Attempts     int            `cbor:"tries,omitempty" json:"tries,omitempty"`
	Fingerprint  string         `cbor:"print,omitempty" json:"print,omitempty"` // of a request under which a server broke off, the same for each repeat
	// Of a refusal: how many requests of this VM ran and waited where it was to go, and
	// how many may run there.
	Busy  int           `cbor:"busy,omitempty" json:"busy,omitempty"`
	Limit int           `cbor:"most,omitempty" json:"most,omitempty"`
	Queue int           `cbor:"queue,omitempty" json:"queue,omitempty"`
	Count uint64        `cbor:"count,omitempty" json:"count,omitempty"` // for Lost and Skip
	Keep  retain.Policy `cbor:"keep,omitempty" json:"keep,omitempty"`   // of the rule; in the journal for Skip alone
	Skip  bool          `cbor:"-" json:"-"`                             // the rule leaves it out of the journal
}

// LogValue groups the fields that are set, so that a line stays short.
func (d *Decision) LogValue() slog.Value { return slog.GroupValue(d.attrs()...) }

func (d *Decision) attrs() []slog.Attr {
	all := make([]slog.Attr, 0, 30)
	text := func(name, v string) {
		if v != "" {
			all = append(all, slog.String(name, v))
		}
	}
	number := func(name string, v uint64) {
		if v != 0 {
			all = append(all, slog.Uint64(name, v))
		}
	}
	text("sort", string(d.Action))
	text("id", string(d.ID))
	text("vm", string(d.VM))
	text("caller", string(d.Caller))
	text("service", string(d.Service))
	text("key", string(d.Key))
	number("slice", uint64(d.Slice))
	text("rule", d.Rule)
	number("rev", uint64(d.Rev))
	number("newest", uint64(d.Newest))
	text("server", string(d.Server))
	text("former", string(d.PrevOwner))
	number("epoch", uint64(d.Epoch))
	text("kind", d.Kind)
	text("ran", string(d.Ran))
	number("code", uint64(max(d.Status, 0)))
	text("why", d.Reason)
	if d.Took != 0 {
		all = append(all, slog.Duration("took", d.Took))
	}
	span := func(name string, v time.Duration) {
		if v != 0 {
			all = append(all, slog.Duration(name, v))
		}
	}
	flag := func(name string, v bool) {
		if v {
			all = append(all, slog.Bool(name, v))
		}
	}
	span("unread", d.PipelineWait)
	flag("ahead", d.Pipelined)
	span("wait", d.Wait)
	span("first", d.FirstByte)
	flag("far", d.Remote)
	number("load", uint64(max(d.Load, 0)))
	span("age", d.LoadAge)
	number("bytes", uint64(max(d.Bytes, 0)))
	number("tries", uint64(max(d.Attempts, 0)))
	text("print", d.Fingerprint)
	number("busy", uint64(max(d.Busy, 0)))
	number("most", uint64(max(d.Limit, 0)))
	number("queue", uint64(max(d.Queue, 0)))
	number("count", d.Count)
	text("keep", string(d.Keep))
	return all
}
