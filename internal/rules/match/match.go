// Package match decides which rule applies to a request: operators write an
// ordered list of when-then rules, and the first rule whose conditions all hold
// decides where the request goes and under which limits.
//
// The pattern it answers is a rule list that grows for years, to thousands of rules,
// in front of every request. Tried one after another, the list would cost more than
// all other decisions of the request path together, and a rule that an earlier one
// hides would look alive while it never applies. A [Set] is therefore compiled once
// per accepted revision: each rule is filed under the condition of its own that the
// fewest rules share (service, method, caller, data centre, or the host together with
// the leading segments of its path or prefix), and a request is compared only with the
// rules under its own values, whatever their number. At thousands of rules this takes
// well under a microsecond and allocates nothing; BenchmarkMatch and
// BenchmarkMatchPrefix report the figures. Rules that fix none of these, for example
// those that look only at a header or at a host with a star, are compared one after
// another.
//
// A file of rules looks like this:
//
//	[[rule]]
//	name = "receipts"
//	when = { method = ["POST"], path = "/scales/{scale}/receipts" }
//	then = { service = "ledger", key = "path:scale", class = "urgent", deadline = "2s", once = "store", durable = "journal" }
package match

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/retain"
)

// Request is what the conditions look at. The caller's side fills it once per
// request; nothing in it is changed.
type Request struct {
	Service ident.Service       // service that the request names, empty if none
	Method  string              // in upper case
	Host    string              // as sent, a port is ignored
	Path    string              // escaped form, beginning with a slash
	Query   string              // raw query, without the question mark
	Header  map[string][]string // names in canonical form
	Caller  ident.Caller        // as the front end identified it
	Centre  ident.Centre        // data centre of the entry VM
}

// Rule is one line of the ordered list.
type Rule struct {
	Name string `cbor:"name" json:"name"`
	When When   `cbor:"when" json:"when"`
	Then Then   `cbor:"then" json:"then"`

	path  path   // compiled form of When.Path
	fault string // why it cannot be followed, empty when it can
}

// When holds the conditions of a rule. All given conditions must hold; of the
// values listed for one condition, any. An empty condition always holds, so the
// zero value matches every request.
//
// Values of Host, Caller and Header may hold one star, which stands for any
// text, the empty one included.
type When struct {
	Service []ident.Service `cbor:"service,omitempty" json:"service,omitempty"`
	Method  []string        `cbor:"method,omitempty" json:"method,omitempty"`
	Host    []string        `cbor:"host,omitempty" json:"host,omitempty"`
	Path    string          `cbor:"path,omitempty" json:"path,omitempty"`
	// Prefix is what the path begins with; it begins and ends with a slash. What its
	// author leaves unescaped counts as escaped, then the bytes are compared.
	Prefix string            `cbor:"prefix,omitempty" json:"prefix,omitempty"`
	Header map[string]string `cbor:"header,omitempty" json:"header,omitempty"`
	Caller []ident.Caller    `cbor:"caller,omitempty" json:"caller,omitempty"`
	Centre []ident.Centre    `cbor:"centre,omitempty" json:"centre,omitempty"`
}

// Then is the decision of a rule. Zero values leave a choice to the daemon's
// settings, except for Retry, Hedge, Durable and Once, where zero means none.
type Then struct {
	Service ident.Service `cbor:"service,omitempty" json:"service,omitempty"`
	// Split shares the rule's requests out among several services in proportion
	// to their weights; Service is then empty.
	Split []Part `cbor:"split,omitempty" json:"split,omitempty"`
	// Deny refuses the request; a rule that denies names no service.
	Deny bool `cbor:"deny,omitempty" json:"deny,omitempty"`
	// Key says where the key stands: "path:NAME", "header:NAME" or
	// "query:NAME". A service that is divided by key needs one. Elsewhere it may
	// be given so that reports can say what a submission was about.
	Key   string `cbor:"key,omitempty" json:"key,omitempty"`
	Class Class  `cbor:"class,omitempty" json:"class,omitempty"`
	Size  Size   `cbor:"size,omitempty" json:"size,omitempty"`
	// Deadline bounds the whole request, counted from its arrival.
	Deadline time.Duration `cbor:"deadline,omitempty" json:"deadline,omitempty"`
	// Aim is the time within which an answer is worth its full value to the caller; a
	// later one still is worth something. Zero: the caller's deadline alone counts.
	Aim time.Duration `cbor:"aim,omitempty" json:"aim,omitempty"`
	// Idempotent says that running the request twice does no harm.
	Idempotent bool `cbor:"idem,omitempty" json:"idem,omitempty"`
	// Retry is how often the request may be sent again.
	Retry int `cbor:"retry,omitempty" json:"retry,omitempty"`
	// Hedge sends a second attempt after this time without an answer.
	Hedge time.Duration `cbor:"hedge,omitempty" json:"hedge,omitempty"`
	// Queue is the most requests of this rule that wait on one entry VM.
	Queue int `cbor:"queue,omitempty" json:"queue,omitempty"`
	// Wait is the longest time that a request waits to be admitted.
	Wait    time.Duration `cbor:"wait,omitempty" json:"wait,omitempty"`
	Durable Durable       `cbor:"durable,omitempty" json:"durable,omitempty"`
	Once    Once          `cbor:"once,omitempty" json:"once,omitempty"`
	// Keep says which of the rule's decisions are kept in the journal.
	Keep retain.Policy `cbor:"keep,omitempty" json:"keep,omitempty"`
}

// Class is the priority of a rule's requests.
type Class string

// The classes, the most urgent first. The empty class counts as Normal.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Size tells long requests, for example uploads, from short ones, so that
// neither blocks the other. The empty size counts as Short.
type Size string

// The sizes.
const (
	Short Size = "short"
	Long  Size = "long"
)

// Durable says what must be recorded before a request is answered as done.
type Durable string

// The choices. The empty one counts as DurableNone.
const (
	DurableNone    Durable = "none"
	DurableJournal Durable = "journal" // refuse when no record can be written
)

// Once says how a repeated request id is kept from running twice.
type Once string

// The choices. The empty one counts as OnceNone.
const (
	OnceNone  Once = "none"
	OnceStore Once = "store" // by a conditional create in the object API
)

// Bounds on what an author writes, by which a mistyped limit is found before it is
// accepted. They bind nobody afterwards, see [CompileAccepted].
const (
	MaxRules    = 4096
	MaxKey      = 1024             // bytes of a key
	MaxDeadline = 15 * time.Minute // uploads included
	MaxRetry    = 5
	MaxQueue    = 1 << 16
)
