// Package match decides which rule applies to a request. Operators write an ordered list
// of when-then rules, and the first rule whose conditions all hold decides where the
// request goes and under which limits.
//
// A rule list grows over the years to thousands of rules, and it is consulted for every
// request. Comparing a request with one rule after another would cost more than all other
// decisions of the request path together, and a rule that is hidden by an earlier one
// would look active although it never applies. A list is therefore compiled into a [Set]
// once per accepted revision. Each rule is stored under its condition that the fewest
// rules share (service, method, caller, data centre, or the host together with the leading
// segments of its path or prefix), and a request is compared only with the rules under its
// own values, whatever the total number. With thousands of rules a match takes well under
// a microsecond and allocates nothing; BenchmarkMatch and BenchmarkMatchPrefix report the
// figures. Rules without any of these conditions, for example those with only a header or
// with a wildcard in the host, are compared one after another.
//
// A rules file looks like this:
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

// Request holds the parts of a request that conditions look at. The front end fills it
// once per request; nothing modifies it afterwards.
type Request struct {
	Service ident.Service       // service named by the request, empty if none
	Method  string              // in upper case
	Host    string              // as the caller sent it; a port is ignored
	Path    string              // escaped form, beginning with a slash
	Query   string              // raw query, without the question mark
	Header  map[string][]string // names in canonical form
	Caller  ident.Caller        // as identified by the front end
	Centre  ident.Centre        // data centre of the entry VM
}

// Rule is one entry of the ordered list.
type Rule struct {
	Name string `cbor:"name" json:"name"`
	When When   `cbor:"when" json:"when"`
	Then Then   `cbor:"then" json:"then"`

	path     path   // compiled form of When.Path
	unusable string // why the rule cannot be applied, empty when it can
}

// When holds the conditions of a rule. All conditions that are set must hold; a condition
// with several values holds if any of them matches. An empty condition always holds, so
// the zero value matches every request.
//
// Values of Host, Caller and Header may contain one "*", which matches any text, including
// none.
type When struct {
	Service []ident.Service `cbor:"service,omitempty" json:"service,omitempty"`
	Method  []string        `cbor:"method,omitempty" json:"method,omitempty"`
	Host    []string        `cbor:"host,omitempty" json:"host,omitempty"`
	Path    string          `cbor:"path,omitempty" json:"path,omitempty"`
	// Prefix is what the path begins with; it begins and ends with a slash. Characters that
	// need escaping and that the author left unescaped are escaped first, then the prefix is
	// compared with the escaped path byte for byte.
	Prefix string            `cbor:"prefix,omitempty" json:"prefix,omitempty"`
	Header map[string]string `cbor:"header,omitempty" json:"header,omitempty"`
	Caller []ident.Caller    `cbor:"caller,omitempty" json:"caller,omitempty"`
	Centre []ident.Centre    `cbor:"centre,omitempty" json:"centre,omitempty"`
}

// Then is the decision of a rule. A zero value leaves the choice to the daemon's settings,
// except for Retry, Hedge, Durable and Once, where zero means none.
type Then struct {
	Service ident.Service `cbor:"service,omitempty" json:"service,omitempty"`
	// Split distributes the rule's requests among several services in proportion to their
	// weights; Service is then empty.
	Split []Part `cbor:"split,omitempty" json:"split,omitempty"`
	// Deny rejects the request; a rule with Deny names no service.
	Deny bool `cbor:"deny,omitempty" json:"deny,omitempty"`
	// Key is the source of the request's key: "path:NAME", "header:NAME" or "query:NAME". It
	// is required for a service that is sharded by key. For other services it is optional and
	// lets reports show which key a submission was about.
	Key   string `cbor:"key,omitempty" json:"key,omitempty"`
	Class Class  `cbor:"class,omitempty" json:"class,omitempty"`
	Size  Size   `cbor:"size,omitempty" json:"size,omitempty"`
	// Large says that responses can be much longer than 16 KB, as for downloads. Such requests
	// wait, before they ask for a server, until the VM has room for their responses.
	Large bool `cbor:"large,omitempty" json:"large,omitempty"`
	// Deadline limits the duration of the whole request, counted from its arrival.
	Deadline time.Duration `cbor:"deadline,omitempty" json:"deadline,omitempty"`
	// Aim is the time within which an answer has its full value to the caller; a later answer
	// is worth less, but still something. With zero only the caller's deadline counts.
	Aim time.Duration `cbor:"aim,omitempty" json:"aim,omitempty"`
	// Idempotent says that running the request twice is harmless.
	Idempotent bool `cbor:"idem,omitempty" json:"idem,omitempty"`
	// Retry is the maximum number of times the request is sent again.
	Retry int `cbor:"retry,omitempty" json:"retry,omitempty"`
	// Hedge is the time without an answer after which a second attempt is sent.
	Hedge time.Duration `cbor:"hedge,omitempty" json:"hedge,omitempty"`
	// Queue is the maximum number of requests of this rule that wait on one entry VM.
	Queue int `cbor:"queue,omitempty" json:"queue,omitempty"`
	// Wait is the maximum time that a request waits for admission.
	Wait    time.Duration `cbor:"wait,omitempty" json:"wait,omitempty"`
	Durable Durable       `cbor:"durable,omitempty" json:"durable,omitempty"`
	Once    Once          `cbor:"once,omitempty" json:"once,omitempty"`
	// Keep selects which of the rule's decisions are kept in the journal.
	Keep retain.Policy `cbor:"keep,omitempty" json:"keep,omitempty"`
}

// Class is the priority of a rule's requests.
type Class string

// The classes, most urgent first. The empty class counts as Normal.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Size separates long requests, for example uploads, from short ones, so that neither kind
// blocks the other. The empty size counts as Short.
type Size string

// The sizes.
const (
	Short Size = "short"
	Long  Size = "long"
)

// Durable says what must be recorded before a request is answered as done.
type Durable string

// Values of Durable. The empty value counts as DurableNone.
const (
	DurableNone    Durable = "none"
	DurableJournal Durable = "journal" // reject the request when no record can be written
)

// Once says how a repeated request id is prevented from running twice.
type Once string

// Values of Once. The empty value counts as OnceNone.
const (
	OnceNone  Once = "none"
	OnceStore Once = "store" // by a conditional create in the object store
)

// Limits on rules that an author submits, so that a mistyped value is found before the
// rules are accepted. They do not apply to accepted rules, see [CompileAccepted].
const (
	MaxRules    = 4096
	MaxKey      = 1024             // bytes of a key
	MaxDeadline = 15 * time.Minute // uploads included
	MaxRetry    = 5
	MaxQueue    = 1 << 16
)
