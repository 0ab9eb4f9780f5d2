// Package record records every routing and placement decision: what was decided,
// for which caller, under which rule and rules revision, and why.
//
// Every request yields a decision, several thousand a second on one entry VM, and
// each decision must be logged and stay available to an auditor. Logging on the
// request path would make every caller wait for a slow reader of the log. Instead
// the request path puts a value of fixed size into a bounded ring (BenchmarkRecord:
// no allocation), and one goroutine logs it and passes it to the sinks. When the
// ring is full the decision is dropped and counted. The count is logged and recorded
// as soon as there is room, so that a reader can see that decisions are missing.
package record

import (
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// Action is the type of a decision.
type Action string

// Types of decisions.
const (
	Route  Action = "route"  // a request was answered or refused
	Accept Action = "accept" // a request is about to be forwarded, under a durable rule
	Place  Action = "place"  // a slice or a key got an owner
	Lost   Action = "lost"   // Count decisions were not recorded
	Skip   Action = "skip"   // Count decisions of a rule were left out of the journal under its policy Keep
)

// Promise says on what it rests that a caller was told that its request has not run.
type Promise string

// Reasons for a promise.
const (
	PromiseUnsent   Promise = "unsent"  // nothing of the request was sent to a server
	PromiseRefused  Promise = "refused" // each server that got it said so, and named the request
	PromiseUnnamed  Promise = "unnamed" // the same, and one of them did not name the request
	PromisePassedOn Promise = "passed"  // the status is that of a server's answer
)

// GaveUp says why the VM ended an attempt at which its server may have been at work.
type GaveUp string

// Reasons to give an attempt up.
const (
	GaveUpPathLost     GaveUp = "path"    // the VM took its path to the server for lost
	GaveUpOwnerChanged GaveUp = "owner"   // the key had another owner
	GaveUpStalled      GaveUp = "stalled" // the server answered later requests
	GaveUpStopping     GaveUp = "end"     // the VM was about to end
)

// Decision is one decision. Fields that do not apply stay zero. The names in
// the log and in the journal are one word each and differ from some field names.
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
	Rev          ident.Revision `cbor:"rev,omitempty" json:"rev,omitempty"`       // revision of the rules; of the ownership table for Place
	Newest       ident.Revision `cbor:"newest,omitempty" json:"newest,omitempty"` // newest rules revision that existed while Rev was still in force
	Server       ident.Server   `cbor:"server,omitempty" json:"server,omitempty"`
	PrevOwner    ident.Server   `cbor:"former,omitempty" json:"former,omitempty"` // previous owner, for Place
	Epoch        ident.Epoch    `cbor:"epoch,omitempty" json:"epoch,omitempty"`
	Kind         string         `cbor:"kind,omitempty" json:"kind,omitempty"` // name of a kinds.Kind; the number may differ between versions
	Ran          kinds.Ran      `cbor:"ran,omitempty" json:"ran,omitempty"`   // what the caller was told about whether the request ran
	Status       int            `cbor:"code,omitempty" json:"code,omitempty"` // HTTP status that the caller got
	Promise      Promise        `cbor:"promise,omitempty" json:"promise,omitempty"`
	ConnUses     int            `cbor:"uses,omitempty" json:"uses,omitempty"`       // of the last attempt that its server refused: requests that its connection had carried before
	Reason       string         `cbor:"why,omitempty" json:"why,omitempty"`         // a sentence
	Took         time.Duration  `cbor:"took,omitempty" json:"took,omitempty"`       // from arrival to answer
	PipelineWait time.Duration  `cbor:"unread,omitempty" json:"unread,omitempty"`   // part of Took spent waiting behind earlier requests on its connection
	Pipelined    bool           `cbor:"ahead,omitempty" json:"ahead,omitempty"`     // processed before the earlier requests on its connection were answered
	Wait         time.Duration  `cbor:"wait,omitempty" json:"wait,omitempty"`       // part of Took spent queued on this VM for a free slot at a server
	FirstByte    time.Duration  `cbor:"first,omitempty" json:"first,omitempty"`     // last attempt: from sending to the first byte of the answer, network and server time
	SentAfter    time.Duration  `cbor:"sentat,omitempty" json:"sentat,omitempty"`   // last attempt that was sent: from arrival until its first byte was written
	Leaving      time.Duration  `cbor:"leaving,omitempty" json:"leaving,omitempty"` // for how long its server had been leaving then, as known on this VM now
	ListAge      time.Duration  `cbor:"listage,omitempty" json:"listage,omitempty"` // how old the list of servers was then
	Via          string         `cbor:"via,omitempty" json:"via,omitempty"`         // address of the VM through which the last attempt went
	Remote       bool           `cbor:"far,omitempty" json:"far,omitempty"`         // the server is in another data centre
	Load         int            `cbor:"load,omitempty" json:"load,omitempty"`       // number of requests at the server that it last reported when it was chosen
	LoadAge      time.Duration  `cbor:"age,omitempty" json:"age,omitempty"`         // age of Load
	Expected     time.Duration  `cbor:"expect,omitempty" json:"expect,omitempty"`   // until the answer, as expected when the server was chosen by it
	BasisAge     time.Duration  `cbor:"basis,omitempty" json:"basis,omitempty"`     // age of the report of the server's load that Expected is based on; zero if there was none
	Bytes        int64          `cbor:"bytes,omitempty" json:"bytes,omitempty"`     // size of the request and response bodies together
	Attempts     int            `cbor:"tries,omitempty" json:"tries,omitempty"`
	Withdrawn    int            `cbor:"withdrawn,omitempty" json:"withdrawn,omitempty"` // of Attempts, those that were not sent because their server must get no more requests
	Stalled      int            `cbor:"stalled,omitempty" json:"stalled,omitempty"`     // attempts that their server passed over while it answered later requests
	StalledAfter time.Duration  `cbor:"silent,omitempty" json:"silent,omitempty"`       // for how long the last of them had been in flight when that was found
	GaveUp       GaveUp         `cbor:"gaveup,omitempty" json:"gaveup,omitempty"`       // of the last attempt that the VM gave up
	GaveUpAfter  time.Duration  `cbor:"gaveat,omitempty" json:"gaveat,omitempty"`       // from arrival until then
	Stopping     bool           `cbor:"stopping,omitempty" json:"stopping,omitempty"`   // the VM was stopping when the request ended
	Fingerprint  string         `cbor:"print,omitempty" json:"print,omitempty"`         // of a request during which a server failed; the same for each repetition
	// For a request that waited or was refused because its response did not fit: how long it
	// waited (Egress, not part of Wait), how many response bytes the VM held or had in flight
	// then, and the bound.
	Egress      time.Duration `cbor:"egress,omitempty" json:"egress,omitempty"`
	EgressHeld  int64         `cbor:"held,omitempty" json:"held,omitempty"`
	EgressBound int64         `cbor:"bound,omitempty" json:"bound,omitempty"`
	// For a refused request: how many requests of this VM were running (Busy) and queued
	// (Queue) at its target, and how many may run there (Limit).
	Busy  int `cbor:"busy,omitempty" json:"busy,omitempty"`
	Limit int `cbor:"most,omitempty" json:"most,omitempty"`
	Queue int `cbor:"queue,omitempty" json:"queue,omitempty"`
	// For a refused request to a service whose full servers answer nothing: how many requests
	// its target holds (Places), and how many of all VMs were expected to be there (Estimate) by
	// a report of an age; without a recent report only the first.
	Places      int           `cbor:"places,omitempty" json:"places,omitempty"`
	Estimate    float64       `cbor:"estimate,omitempty" json:"estimate,omitempty"`
	EstimateAge time.Duration `cbor:"estimateage,omitempty" json:"estimateage,omitempty"`
	// Shedding says, for a refused request, that the owner of its key wants no requests from
	// this VM for a time.
	Shedding bool `cbor:"shedding,omitempty" json:"shedding,omitempty"`
	// Limited says, for a refused request, that the owner of its key limits its requests.
	Limited bool          `cbor:"limited,omitempty" json:"limited,omitempty"`
	Cold    bool          `cbor:"cold,omitempty" json:"cold,omitempty"`   // for a refused request: the owner of its key is cold and gets only few
	Count   uint64        `cbor:"count,omitempty" json:"count,omitempty"` // for Lost and Skip
	Keep    retain.Policy `cbor:"keep,omitempty" json:"keep,omitempty"`   // retention policy of the rule; in the journal only for Skip
	Skip    bool          `cbor:"-" json:"-"`                             // the rule's policy leaves this decision out of the journal
}

// LogValue returns the fields that are set as a group, so that a line stays short.
func (d *Decision) LogValue() slog.Value { return slog.GroupValue(d.attrs()...) }

// maxAttrs is the number of fields of a Decision.
const maxAttrs = 57

func (d *Decision) attrs() []slog.Attr {
	l := make(attrList, 0, maxAttrs)
	d.addRequest(&l)
	d.addAttempts(&l)
	return l
}

// addRequest adds what identifies the request and how it ended.
func (d *Decision) addRequest(l *attrList) {
	l.text("sort", string(d.Action))
	l.text("id", string(d.ID))
	l.text("vm", string(d.VM))
	l.text("caller", string(d.Caller))
	l.text("service", string(d.Service))
	l.text("key", string(d.Key))
	l.number("slice", uint64(d.Slice))
	l.text("rule", d.Rule)
	l.number("rev", uint64(d.Rev))
	l.number("newest", uint64(d.Newest))
	l.text("server", string(d.Server))
	l.text("former", string(d.PrevOwner))
	l.number("epoch", uint64(d.Epoch))
	l.text("kind", d.Kind)
	l.text("ran", string(d.Ran))
	l.number("code", uint64(max(d.Status, 0)))
	l.text("promise", string(d.Promise))
	l.number("uses", uint64(max(d.ConnUses, 0)))
	l.text("why", d.Reason)
	l.span("took", d.Took)
}

// addAttempts adds what happened on the way to backend servers.
func (d *Decision) addAttempts(l *attrList) {
	l.span("unread", d.PipelineWait)
	l.flag("ahead", d.Pipelined)
	l.span("wait", d.Wait)
	l.span("first", d.FirstByte)
	l.span("sentat", d.SentAfter)
	l.span("leaving", d.Leaving)
	l.span("listage", d.ListAge)
	l.text("via", d.Via)
	l.flag("far", d.Remote)
	l.number("load", uint64(max(d.Load, 0)))
	l.span("age", d.LoadAge)
	l.span("expect", d.Expected)
	l.span("basis", d.BasisAge)
	l.number("bytes", uint64(max(d.Bytes, 0)))
	l.number("tries", uint64(max(d.Attempts, 0)))
	l.number("withdrawn", uint64(max(d.Withdrawn, 0)))
	l.number("stalled", uint64(max(d.Stalled, 0)))
	l.span("silent", d.StalledAfter)
	l.text("gaveup", string(d.GaveUp))
	l.span("gaveat", d.GaveUpAfter)
	l.flag("stopping", d.Stopping)
	l.text("print", d.Fingerprint)
	l.number("busy", uint64(max(d.Busy, 0)))
	l.number("most", uint64(max(d.Limit, 0)))
	l.number("queue", uint64(max(d.Queue, 0)))
	l.number("places", uint64(max(d.Places, 0)))
	l.number("estimate", uint64(max(d.Estimate, 0)+0.5))
	l.span("estimateage", d.EstimateAge)
	l.flag("cold", d.Cold)
	l.flag("limited", d.Limited)
	l.flag("shedding", d.Shedding)
	l.span("egress", d.Egress)
	l.number("held", uint64(max(d.EgressHeld, 0)))
	l.number("bound", uint64(max(d.EgressBound, 0)))
	l.number("count", d.Count)
	l.text("keep", string(d.Keep))
}

// attrList collects the fields that are set.
type attrList []slog.Attr

func (l *attrList) text(name, v string) {
	if v != "" {
		*l = append(*l, slog.String(name, v))
	}
}

func (l *attrList) number(name string, v uint64) {
	if v != 0 {
		*l = append(*l, slog.Uint64(name, v))
	}
}

func (l *attrList) span(name string, v time.Duration) {
	if v != 0 {
		*l = append(*l, slog.Duration(name, v))
	}
}

func (l *attrList) flag(name string, v bool) {
	if v {
		*l = append(*l, slog.Bool(name, v))
	}
}
