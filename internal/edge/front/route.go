package front

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/rules/match"
	"hawthornfield.org/hawthornfield/internal/rules/revs"
)

// identify names the request and its caller.
func (x *exchange) identify() error {
	id := x.r.Header.Get(x.f.Headers.ID)
	x.named = id != ""
	if !x.named {
		id = x.f.prefix + strconv.FormatUint(x.f.serial.Add(1), 36)
	}
	if !plain(id) {
		return kinds.New(kinds.BadRequest, "the request id is malformed")
	}
	x.note.ID = ident.Request(id)
	x.note.Caller = x.f.Identify(x.r)
	if !plain(string(x.note.Caller)) {
		return kinds.New(kinds.Denied, "the caller's name is malformed")
	}
	return nil
}

// headerSize is how many bytes the headers took on the wire, the request line and the
// host included.
func headerSize(r *http.Request) int {
	const between = 4 // colon, space, end of line
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + between + len("Host") + len(r.Host) + between
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + between
		}
	}
	return n
}

// plain accepts short printable ASCII without spaces, the only names that are
// safe in a header, a log line and the name of an object.
func plain(s string) bool {
	if s == "" || len(s) > maxName {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// route matches the rule and reads the key.
func (x *exchange) route() error {
	book := &x.f.State.Rules
	if book.State() != revs.Serve {
		return errNoRules
	}
	rules, ok := book.Current(), false
	x.noteRev()
	req := match.Request{
		Service: ident.Service(x.header(x.f.Headers.Service)),
		Method:  x.r.Method, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery,
		Header: x.r.Header, Caller: x.note.Caller, Centre: x.f.Centre,
	}
	if x.rule, ok = rules.Set.Match(&req); !ok {
		return x.doubt(errNoRule)
	}
	x.note.Rule = x.rule.Name
	if err := x.rule.Check(); err != nil {
		return err
	}
	if x.rule.Then.Deny {
		return x.doubt(errDenied)
	}
	x.note.Service = x.rule.Then.Service
	if len(x.rule.Then.Split) > 0 {
		x.note.Service = x.rule.Then.Target(x.f.turn(x.rule.Name))
	}
	if x.svc, ok = x.f.State.Service(x.note.Service); !ok {
		return errService
	}
	if err := x.readKey(&req); err != nil {
		return err
	}
	return x.deadline()
}

// readKey reads the key that the rule asks for. A rule that splits asks for the sake of
// the parts that are divided by key: the others serve requests without one, whose callers
// would take a refusal for final.
func (x *exchange) readKey(req *match.Request) error {
	divided := x.svc.Divided() // once: newer rules may say otherwise in between
	key, err := match.KeyOf(x.rule, req)
	if err != nil && (divided || len(x.rule.Then.Split) == 0) {
		return x.doubt(err)
	}
	x.key, x.note.Key = key, key
	if !divided {
		return nil
	}
	if x.f.OnKeyRequest != nil {
		x.f.OnKeyRequest(x.svc.Name, x.key)
	}
	if x.key == "" && x.f.State.Rules.Current().Rev > x.note.Rev {
		return kinds.New(kinds.StaleRules, "newer rules divide the service by key")
	}
	if x.key == "" {
		return kinds.New(kinds.Internal, "rule "+x.rule.Name+" reads no key for a divided service")
	}
	return nil
}

// noteRev notes the revision decided by, and the newest that exists where that is another.
func (x *exchange) noteRev() {
	book := &x.f.State.Rules
	x.note.Rev = book.Current().Rev
	if newest := book.Newest(); newest > x.note.Rev {
		x.note.Newest = newest
	}
}

// doubt takes an answer by which the rules put the caller at fault. Callers never ask
// again after one, so while the rules here may be old it becomes one after which they
// do, and another VM or a later moment may serve them.
func (x *exchange) doubt(final error) error {
	if why := x.f.State.Rules.CheckFresh(clock.Now()); why != nil {
		x.noteRev()
		return kinds.Wrap(kinds.StaleRules, final, why.Error())
	}
	return final
}

// header reads one of the system's own headers, empty when it has no name.
func (x *exchange) header(name string) string {
	if name == "" {
		return ""
	}
	return x.r.Header.Get(name)
}

// deadline takes the earliest of the caller's, the rule's and the default.
func (x *exchange) deadline() error {
	left := x.f.limits().Request.Duration
	if x.rule.Then.Deadline > 0 {
		left = x.rule.Then.Deadline
	}
	if text := x.header(x.f.Headers.Deadline); text != "" {
		asked, err := timeLeft(text)
		if err != nil {
			return err
		}
		if asked <= 0 {
			return errOver
		}
		if left <= 0 || asked < left {
			left = asked
		}
	}
	if left <= 0 {
		left = maxDeadline
	}
	x.by = x.note.At.Add(left)
	return nil
}

// timeLeft reads a caller's own time, in milliseconds. Any notation of a number will do,
// more than the longest time counts as that, and less than none as none: callers never
// ask again after a 400, and what they mean is plain.
func timeLeft(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	tooLong := errors.Is(err, strconv.ErrRange)
	if err != nil && !tooLong || math.IsNaN(ms) {
		return 0, errTime
	}
	longest := float64(maxDeadline / time.Millisecond)
	return time.Duration(min(max(ms, 0), longest) * float64(time.Millisecond)), nil
}
