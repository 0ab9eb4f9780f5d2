// Package dedup sees to it that a request that is not idempotent runs at most
// once, also when its caller repeats it through other entry VMs.
//
// The load pattern it answers is a caller that got no answer, or "unknown", and
// sends the same receipt again under the same id, to whichever entry VM the
// balancer picks. Without a common memory of ids the second VM forwards it, and
// a truckload is credited twice. The one memory that all VMs share and that
// outlives them is the object API: before the request is forwarded its id is
// claimed there by a conditional create, which one attempt wins. What a claim
// costs, and the ways that were weighed against it (the key's owner as the one
// place, claims in batches), is in docs/design/audit.md.
//
// The order of steps is claim, forward, settle. A VM that is lost between claim
// and forward leaves a claim that nobody will settle: later attempts are told
// "unknown" and nothing runs, which is the safe side. A request that certainly
// did not run gives its claim back, or its caller could never submit it.
//
// During a store outage nothing can be claimed, and a request under a rule with
// once = "store" is refused as not run, at once.
package dedup

import (
	"crypto/sha256"
	_ "embed" // the state charts
	"encoding/hex"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/chart"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/core/wire"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Prefix is where claims stand in the object API.
const Prefix = "once/"

// Version is the format of a claim that this program writes.
const Version = 1

// maxTries bounds the calls of one attempt. Each further round needs another
// attempt for the same id to come in between, or one more answer to be lost.
const maxTries = 6

//go:embed claim.toml
var claimChart []byte

//go:embed release.toml
var releaseChart []byte

var (
	claims   = chart.MustParse(claimChart)
	releases = chart.MustParse(releaseChart)
)

// The states and triggers of both charts.
const (
	asking  chart.State = "asking"
	reading chart.State = "reading"
	writing chart.State = "writing"
	owned   chart.State = "owned"
	taken   chart.State = "taken"
	refused chart.State = "refused"
	freed   chart.State = "freed"
	foreign chart.State = "foreign"
	left    chart.State = "left"

	wrote    chart.Trigger = "wrote"
	conflict chart.Trigger = "conflict"
	unsure   chart.Trigger = "unsure"
	failed   chart.Trigger = "failed"
	mine     chart.Trigger = "mine"
	others   chart.Trigger = "others"
	free     chart.Trigger = "free"
)

// Stage is where a claimed request stands.
type Stage string

// The stages.
const (
	Claimed Stage = "claimed" // it is being forwarded, or its VM was lost: it may have run
	Free    Stage = "free"    // it certainly did not run and may be claimed again
	Done    Stage = "done"    // it ran and was answered
)

// Receipt is the value of a claim in the object API.
type Receipt struct {
	V       int           `cbor:"v"`
	Service ident.Service `cbor:"service"`
	ID      ident.Request `cbor:"id"`
	Tok     string        `cbor:"tok"` // of the attempt, never used twice
	VM      ident.VM      `cbor:"vm"`
	Rule    string        `cbor:"rule"`
	Stage   Stage         `cbor:"stage"`
	At      time.Time     `cbor:"at"`
	Code    int           `cbor:"code"` // status of the answer, when Done
}

// NameOf is the object of a request id. Ids count per service, not per caller:
// a caller whose identity changed between two attempts must not run twice.
func NameOf(s ident.Service, id ident.Request) string {
	sum := sha256.Sum256([]byte(string(s) + "\x00" + string(id)))
	text := hex.EncodeToString(sum[:16])
	return Prefix + text[:2] + "/" + text[2:]
}

// The messages of both models.
type (
	// StartMsg begins.
	StartMsg struct{}
	// PutMsg is the answer to a PutCmd.
	PutMsg struct {
		Kind    kinds.Kind
		Version object.Version
	}
	// GetMsg is the answer to a GetCmd; kind Absent is an ordinary answer.
	GetMsg struct {
		Kind   kinds.Kind
		Object object.Object
	}
)

// The effects of both models.
type (
	// PutCmd asks for a conditional write of the claim's object.
	PutCmd struct {
		Value []byte
		Old   object.Version
	}
	// GetCmd asks to read it.
	GetCmd struct{}
)

// attempt is what both models share.
type attempt struct {
	chart *chart.Chart
	state chart.State
	mine  Receipt        // as this attempt writes it
	ver   object.Version // to write over
	found Receipt        // the last one read
	tries int
	// touched is set once a write may have taken effect.
	touched bool
}

func (a *attempt) fire(on chart.Trigger) {
	next, err := a.chart.Fire(a.state, on)
	if err != nil {
		return // an answer to a question that is no longer asked
	}
	a.state = next
}

// afterPut turns an answer to a write into a trigger.
func (a *attempt) afterPut(msg PutMsg) {
	switch msg.Kind {
	case kinds.None:
		a.ver = msg.Version
		a.fire(wrote)
	case kinds.Conflict:
		a.fire(conflict)
	case kinds.Ambiguous:
		a.touched = true
		a.fire(unsure)
	default:
		a.fire(failed)
	}
}

// afterGet turns an answer to a read into a trigger. A claim that cannot be
// decoded, or that a newer program wrote, counts as somebody else's: running
// the request might be the second time.
func (a *attempt) afterGet(msg GetMsg) {
	switch msg.Kind {
	case kinds.None:
		a.look(msg.Object)
	case kinds.NotFound:
		a.ver = 0
		a.fire(free)
	default:
		a.fire(failed)
	}
}

func (a *attempt) look(o object.Object) {
	a.ver = o.Version
	a.found = Receipt{Stage: Claimed}
	if err := wire.Decode(o.Value, &a.found); err != nil || a.found.V > Version {
		a.fire(others)
		return
	}
	switch {
	case a.found.Stage == Free:
		a.fire(free)
	case a.found.Tok == a.mine.Tok && a.found.Stage == Claimed:
		a.fire(mine)
	default:
		a.fire(others)
	}
}

// ask returns the effect that the present state waits for.
func (a *attempt) ask(write chart.State) []loop.Cmd {
	if a.state != write && a.state != reading {
		return nil
	}
	a.tries++
	if a.tries > maxTries {
		a.fire(failed)
		return nil
	}
	if a.state == reading {
		return []loop.Cmd{GetCmd{}}
	}
	value, err := wire.Encode(a.mine)
	if err != nil {
		a.fire(failed)
		return nil
	}
	return []loop.Cmd{PutCmd{value, a.ver}}
}

// Claim is one attempt to claim an id. It is a [loop.Model].
type Claim struct{ *attempt }

var _ loop.Model = Claim{}

// NewClaim begins an attempt; r.Tok must be new for every attempt.
func NewClaim(r Receipt) Claim {
	r.V, r.Stage = Version, Claimed
	return Claim{&attempt{chart: claims, state: claims.Start, mine: r}}
}

// Update applies one message.
func (c Claim) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case StartMsg:
		c.mine.At = now
	case PutMsg:
		c.afterPut(msg)
	case GetMsg:
		c.afterGet(msg)
	}
	return c, c.ask(asking)
}

// Ended reports whether the attempt has its answer.
func (c Claim) Ended() bool { return c.state != asking && c.state != reading }

// Owned reports whether the request may be forwarded, by this attempt alone.
func (c Claim) Owned() bool { return c.state == owned }

// Taken returns the claim of another attempt, if that is how this one ended.
func (c Claim) Taken() (Receipt, bool) { return c.found, c.state == taken }

// Release gives a claim back. It is a [loop.Model].
type Release struct{ *attempt }

var _ loop.Model = Release{}

// NewRelease begins to give back the claim of an attempt that did not run.
func NewRelease(c Claim) Release {
	r := c.mine
	r.Stage = Free
	begin := releases.Start
	if c.Owned() {
		begin = writing // the version is known, and nobody else may change it
	}
	return Release{&attempt{chart: releases, state: begin, ver: c.ver, mine: r}}
}

// Update applies one message.
func (r Release) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case StartMsg:
		r.mine.At = now
		r.tries = 0
		if r.Ended() {
			r.state = releases.Start // again, after the store did not answer
		}
	case PutMsg:
		r.afterPut(msg)
	case GetMsg:
		r.afterGet(msg)
	}
	return r, r.ask(writing)
}

// Ended reports whether the release has its answer.
func (r Release) Ended() bool { return r.state != writing && r.state != reading }

// Left reports whether the store did not answer: begin again later.
func (r Release) Left() bool { return r.state == left }
