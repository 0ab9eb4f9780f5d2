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

// identify determines the request id and the caller.
func (x *exchange) identify() error {
	id := x.r.Header.Get(x.f.Headers.ID)
	x.idFromCaller = id != ""
	if !x.idFromCaller {
		id = x.f.idPrefix + strconv.FormatUint(x.f.idCounter.Add(1), 36)
	}
	if !isPlainName(id) {
		return kinds.New(kinds.BadRequest, "the request id is malformed")
	}
	x.decision.ID = ident.Request(id)
	x.decision.Caller = x.f.Identify(x.r)
	if !isPlainName(string(x.decision.Caller)) {
		return kinds.New(kinds.Denied, "the caller's name is malformed")
	}
	return nil
}

// headerSize returns the size of the headers on the wire in bytes, including the request
// line and the Host header.
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

// isPlainName reports whether s is short printable ASCII without spaces, the only names
// that are safe in a header, a log line and an object name.
func isPlainName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// route matches the rule, chooses the service, and reads the key and the deadline.
func (x *exchange) route() error {
	holder := &x.f.State.Rules
	if holder.State() != revs.Serve {
		return errRulesUnknown
	}
	rules, ok := holder.Current(), false
	x.recordRevision()
	req := match.Request{
		Service: ident.Service(x.header(x.f.Headers.Service)),
		Method:  x.r.Method, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery,
		Header: x.r.Header, Caller: x.decision.Caller, Centre: x.f.Centre,
	}
	if x.rule, ok = rules.Set.Match(&req); !ok {
		return x.finalUnlessStale(errNoRule)
	}
	x.decision.Rule = x.rule.Name
	if err := x.rule.Check(); err != nil {
		return err
	}
	if x.rule.Then.Deny {
		return x.finalUnlessStale(errDenied)
	}
	x.decision.Service = x.rule.Then.Service
	if len(x.rule.Then.Split) > 0 {
		x.decision.Service = x.rule.Then.Target(x.f.nextCount(x.rule.Name))
	}
	if x.svc, ok = x.f.State.Service(x.decision.Service); !ok {
		return errUnknownService
	}
	if err := x.readKey(&req); err != nil {
		return err
	}
	return x.setDeadline()
}

// readKey reads the key that the rule names. In a rule that splits its requests among
// services, only the services divided by key need it: the others serve requests without a
// key, and their callers would treat a refusal as final.
func (x *exchange) readKey(req *match.Request) error {
	divided := x.svc.Divided() // read once, as newer rules may change it in between
	key, err := match.KeyOf(x.rule, req)
	if err != nil && (divided || len(x.rule.Then.Split) == 0) {
		return x.finalUnlessStale(err)
	}
	x.key, x.decision.Key = key, key
	if !divided {
		return nil
	}
	if x.f.OnKeyRequest != nil {
		x.f.OnKeyRequest(x.svc.Name, x.key)
	}
	if x.key == "" && x.f.State.Rules.Current().Rev > x.decision.Rev {
		return kinds.New(kinds.StaleRules, "newer rules divide the service by key")
	}
	if x.key == "" {
		return kinds.New(kinds.Internal, "rule "+x.rule.Name+" reads no key for a divided service")
	}
	return nil
}

// recordRevision records the revision of the rules in use, and the newest known one if
// that is newer.
func (x *exchange) recordRevision() {
	holder := &x.f.State.Rules
	x.decision.Rev = holder.Current().Rev
	if newest := holder.Newest(); newest > x.decision.Rev {
		x.decision.Newest = newest
	}
}

// finalUnlessStale returns the error, by which the rules put the caller at fault, or an
// error of kind StaleRules if the rules on this VM may be outdated. Callers never repeat
// a request after the first; after the second they do, and another VM, or this one later,
// may serve them.
func (x *exchange) finalUnlessStale(final error) error {
	if stale := x.f.State.Rules.CheckFresh(clock.Now()); stale != nil {
		x.recordRevision()
		return kinds.Wrap(kinds.StaleRules, final, stale.Error())
	}
	return final
}

// header returns a header of the system's own, empty if it has no name in this setup.
func (x *exchange) header(name string) string {
	if name == "" {
		return ""
	}
	return x.r.Header.Get(name)
}

// setDeadline sets the deadline to the earlier of the caller's and the rule's.
// Limit.Request takes the place of a rule without one, and maxDeadline applies if there
// is none at all.
func (x *exchange) setDeadline() error {
	timeout := x.f.limits().Request.Duration
	if x.rule.Then.Deadline > 0 {
		timeout = x.rule.Then.Deadline
	}
	if text := x.header(x.f.Headers.Deadline); text != "" {
		requested, err := parseDeadline(text)
		if err != nil {
			return err
		}
		if requested <= 0 {
			return errDeadlinePassed
		}
		if timeout <= 0 || requested < timeout {
			timeout = requested
		}
	}
	if timeout <= 0 {
		timeout = maxDeadline
	}
	x.deadline = x.decision.At.Add(timeout)
	return nil
}

// parseDeadline parses a caller's remaining time in milliseconds. It accepts any notation
// of a number and clamps it to the range from 0 to maxDeadline: callers never repeat a
// request after status 400, and the meaning of such numbers is clear.
func parseDeadline(text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	tooLong := errors.Is(err, strconv.ErrRange)
	if err != nil && !tooLong || math.IsNaN(ms) {
		return 0, errBadDeadline
	}
	longest := float64(maxDeadline / time.Millisecond)
	return time.Duration(min(max(ms, 0), longest) * float64(time.Millisecond)), nil
}
