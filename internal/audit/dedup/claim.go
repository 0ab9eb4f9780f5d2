// Package dedup ensures that a request that is not idempotent runs at most once, even
// when its caller repeats it through other entry VMs.
//
// A caller that got no answer, or "unknown", sends the same request again under the same
// id, to any entry VM that the load balancer picks. If the VMs did not share the ids, the
// second VM would forward it too, and a receipt would be credited twice. Only the object
// API is shared by all VMs and survives them. Before a request is forwarded, its id is
// claimed there by a conditional create, which only one attempt wins. The cost of a claim
// and the rejected alternatives (claims kept by the owner of the key, batched claims) are
// described in docs/design/audit.md.
//
// The steps are claim, forward and finalize. A VM that is lost between claim and forward
// leaves a claim that is never finalized: later attempts are answered "unknown" and
// nothing runs, which is safe. The claim of a request that certainly did not run is
// released, as its caller could never submit it otherwise.
//
// During a store outage nothing can be claimed, and a request under a rule with
// once = "store" is refused at once as not run.
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

// Prefix is the name prefix of claims in the object API.
const Prefix = "once/"

// Version is the format version of the claims that this program writes.
const Version = 1

// maxCalls is the largest number of store calls of one attempt. Each further round is
// caused by another attempt with the same id in between, or by another lost answer.
const maxCalls = 6

//go:embed claim.toml
var claimChart []byte

//go:embed release.toml
var releaseChart []byte

var (
	claimStates   = chart.MustParse(claimChart)
	releaseStates = chart.MustParse(releaseChart)
)

// The states and triggers of the charts in claim.toml and release.toml.
const (
	asking  chart.State = "asking"  // the write of the claim is in flight
	reading chart.State = "reading" // the read of the object is in flight
	writing chart.State = "writing" // the write of the release is in flight
	owned   chart.State = "owned"   // this attempt has the claim
	taken   chart.State = "taken"   // another attempt has the claim
	refused chart.State = "refused" // the store did not answer the claim
	freed   chart.State = "freed"   // the claim is released
	foreign chart.State = "foreign" // there is a claim of another attempt
	left    chart.State = "left"    // the store did not answer the release

	wrote    chart.Trigger = "wrote"    // the write took effect
	conflict chart.Trigger = "conflict" // the object has another version
	unsure   chart.Trigger = "unsure"   // the write may have taken effect
	failed   chart.Trigger = "failed"   // the store call failed
	mine     chart.Trigger = "mine"     // the object holds the claim of this attempt
	others   chart.Trigger = "others"   // the object holds another claim
	free     chart.Trigger = "free"     // there is no claim
)

// Stage is the progress of a claimed request.
type Stage string

// The stages.
const (
	Claimed Stage = "claimed" // it is being forwarded, or its VM was lost; it may have run
	Free    Stage = "free"    // it certainly did not run and may be claimed again
	Done    Stage = "done"    // it ran and was answered
)

// Record is the value of a claim in the object API.
type Record struct {
	FormatVersion int           `cbor:"v"`
	Service       ident.Service `cbor:"service"`
	ID            ident.Request `cbor:"id"`
	AttemptToken  string        `cbor:"tok"` // unique token of the attempt
	VM            ident.VM      `cbor:"vm"`
	Rule          string        `cbor:"rule"`
	Stage         Stage         `cbor:"stage"`
	WrittenAt     time.Time     `cbor:"at"`
	Status        int           `cbor:"code"` // HTTP status of the answer, when Done
}

// ObjectName returns the name of the object for a request id. Ids are unique by service,
// not by caller, so that a request does not run twice when the identity of its caller
// changes between two attempts.
func ObjectName(s ident.Service, id ident.Request) string {
	sum := sha256.Sum256([]byte(string(s) + "\x00" + string(id)))
	text := hex.EncodeToString(sum[:16])
	return Prefix + text[:2] + "/" + text[2:]
}

// Messages to both models.
type (
	// StartMsg starts the model.
	StartMsg struct{}
	// PutMsg is the answer to a PutCmd.
	PutMsg struct {
		Kind    kinds.Kind
		Version object.Version
	}
	// GetMsg is the answer to a GetCmd; kind NotFound is a regular answer.
	GetMsg struct {
		Kind   kinds.Kind
		Object object.Object
	}
)

// Commands of both models.
type (
	// PutCmd asks for a conditional write of the object of the claim.
	PutCmd struct {
		Value []byte
		Old   object.Version
	}
	// GetCmd asks to read that object.
	GetCmd struct{}
)

// attempt is the state and behavior that both models share.
type attempt struct {
	chart    *chart.Chart
	state    chart.State
	record   Record         // as written by this attempt
	version  object.Version // last known version of the object
	existing Record         // last one read
	calls    int
	// mayBeWritten is set once a write may have taken effect.
	mayBeWritten bool
}

// fire makes a transition of the chart.
func (a *attempt) fire(on chart.Trigger) {
	next, err := a.chart.Fire(a.state, on)
	if err != nil {
		return // a late answer in a state that does not expect it
	}
	a.state = next
}

// onPut converts the answer to a write into a trigger.
func (a *attempt) onPut(msg PutMsg) {
	switch msg.Kind {
	case kinds.None:
		a.version = msg.Version
		a.fire(wrote)
	case kinds.Conflict:
		a.fire(conflict)
	case kinds.Ambiguous:
		a.mayBeWritten = true
		a.fire(unsure)
	default:
		a.fire(failed)
	}
}

// onGet converts the answer to a read into a trigger. A claim that cannot be decoded, or
// that a newer program wrote, counts as the claim of another attempt, because the
// request may have run already.
func (a *attempt) onGet(msg GetMsg) {
	switch msg.Kind {
	case kinds.None:
		a.onObject(msg.Object)
	case kinds.NotFound:
		a.version = 0
		a.fire(free)
	default:
		a.fire(failed)
	}
}

func (a *attempt) onObject(o object.Object) {
	a.version = o.Version
	a.existing = Record{Stage: Claimed}
	if err := wire.Decode(o.Value, &a.existing); err != nil || a.existing.FormatVersion > Version {
		a.fire(others)
		return
	}
	switch {
	case a.existing.Stage == Free:
		a.fire(free)
	case a.existing.AttemptToken == a.record.AttemptToken && a.existing.Stage == Claimed:
		a.fire(mine)
	default:
		a.fire(others)
	}
}

// nextCmds returns the command that the current state waits for, if any.
func (a *attempt) nextCmds(write chart.State) []loop.Cmd {
	if a.state != write && a.state != reading {
		return nil
	}
	a.calls++
	if a.calls > maxCalls {
		a.fire(failed)
		return nil
	}
	if a.state == reading {
		return []loop.Cmd{GetCmd{}}
	}
	value, err := wire.Encode(a.record)
	if err != nil {
		a.fire(failed)
		return nil
	}
	return []loop.Cmd{PutCmd{value, a.version}}
}

// Claim is one attempt to claim an id. It is a [loop.Model].
type Claim struct{ *attempt }

var _ loop.Model = Claim{}

// NewClaim returns a new attempt; the token in r must be unique to the attempt.
func NewClaim(r Record) Claim {
	r.FormatVersion, r.Stage = Version, Claimed
	return Claim{&attempt{chart: claimStates, state: claimStates.Start, record: r}}
}

// Update applies one message.
func (c Claim) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case StartMsg:
		c.record.WrittenAt = now
	case PutMsg:
		c.onPut(msg)
	case GetMsg:
		c.onGet(msg)
	}
	return c, c.nextCmds(asking)
}

// Ended reports whether the attempt is finished.
func (c Claim) Ended() bool { return c.state != asking && c.state != reading }

// Owned reports whether this attempt alone may forward the request.
func (c Claim) Owned() bool { return c.state == owned }

// Taken returns the claim of another attempt, if there is one.
func (c Claim) Taken() (Record, bool) { return c.existing, c.state == taken }

// Release releases a claim. It is a [loop.Model].
type Release struct{ *attempt }

var _ loop.Model = Release{}

// NewRelease returns a model that releases a claim whose request did not run.
func NewRelease(c Claim) Release {
	r := c.record
	r.Stage = Free
	begin := releaseStates.Start
	if c.Owned() {
		begin = writing // the version is known, and no other attempt may change it
	}
	return Release{&attempt{chart: releaseStates, state: begin, version: c.version, record: r}}
}

// Update applies one message.
func (r Release) Update(now time.Time, msg loop.Msg) (loop.Model, []loop.Cmd) {
	switch msg := msg.(type) {
	case StartMsg:
		r.record.WrittenAt = now
		r.calls = 0
		if r.Ended() {
			r.state = releaseStates.Start // another try after the store did not answer
		}
	case PutMsg:
		r.onPut(msg)
	case GetMsg:
		r.onGet(msg)
	}
	return r, r.nextCmds(writing)
}

// Ended reports whether the release is finished.
func (r Release) Ended() bool { return r.state != writing && r.state != reading }

// Left reports whether the store did not answer, so that the release must be tried again.
func (r Release) Left() bool { return r.state == left }
