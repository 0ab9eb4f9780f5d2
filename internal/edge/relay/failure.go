package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/reply"
)

// newFailure returns the Failure of an attempt without an answer. broken says that the
// server was seen to end the connection.
func newFailure(caller context.Context, err error, sent, broken bool) *Failure {
	var withdrawn *withdrawnError
	switch {
	case errors.As(context.Cause(caller), &withdrawn) && !sent:
		return NewWithdrawn(withdrawn.error)
	case errors.Is(context.Cause(caller), errPathLost) && sent:
		return &Failure{Kind: kinds.Unknown, Sent: true, PathLost: true, err: errPathLost}
	case errors.Is(context.Cause(caller), errPathLost):
		return &Failure{Kind: kinds.NoServer, PathLost: true, err: errPathLost}
	case errors.Is(context.Cause(caller), ErrStalled) && sent:
		return &Failure{Kind: kinds.Unknown, Sent: true, Stalled: true, err: err}
	case errors.Is(context.Cause(caller), ErrStalled):
		return &Failure{Kind: kinds.NoServer, err: err}
	case errors.Is(caller.Err(), context.Canceled) && !errors.Is(context.Cause(caller), errNoPermit):
		return &Failure{Kind: kinds.Canceled, Sent: sent, ConnClosed: broken, err: err}
	case sent:
		return &Failure{Kind: kinds.Unknown, Sent: true, ConnClosed: broken || connBroken(caller, err), err: err}
	case caller.Err() != nil:
		return &Failure{Kind: kinds.DeadlineMissed, err: err}
	default:
		return &Failure{Kind: kinds.NoServer, err: err}
	}
}

// Failure is the error of an attempt without a usable answer.
type Failure struct {
	Kind       kinds.Kind
	Sent       bool        // at least one byte of the request may have reached the server
	Refused    bool        // the server said that it did not run the request
	ConnClosed bool        // the server ended the connection before its answer was complete
	Status     int         // of the answer that refused the request
	Header     http.Header // header of the answer that refused the request
	ConnOpened time.Time   // see Response; set if Refused
	ConnUses   int         // see Response; set if Refused
	Named      bool        // the refusal repeats the request's id
	Withdrawn  bool        // not sent, because its server must not get requests any more, see Recipients
	PathLost   bool        // given up because this VM lost its path to the server
	Via        string      // see Response
	SentAt     time.Time   // see Response; zero if nothing was sent
	// Stalled says that the server answered later requests, so that the answer to this one was
	// not expected any more.
	Stalled bool
	err     error
}

// ErrStalled is the cause with which the caller of Send ends an attempt whose server answered
// later requests. It has no kind: errors of one kind are equal.
var ErrStalled = errors.New("the server answered later requests")

// NewStalled returns the Failure of an attempt that was ended with ErrStalled just as its
// answer began.
func NewStalled() *Failure {
	return &Failure{Kind: kinds.Unknown, Sent: true, Stalled: true, err: context.Canceled}
}

// NewWithdrawn returns the Failure of an attempt that was given up before it was sent, because
// its server must not get requests any more.
func NewWithdrawn(reason error) *Failure {
	return &Failure{Kind: kinds.NoServer, Withdrawn: true, err: reason}
}

// Error returns the kind and the cause.
func (f *Failure) Error() string {
	if f.Stalled {
		return f.Kind.String() + ": " + ErrStalled.Error() + ": " + f.err.Error()
	}
	return f.Kind.String() + ": " + f.err.Error()
}

// Unwrap returns an error of the failure's kind.
func (f *Failure) Unwrap() error { return kinds.Wrap(f.Kind, f.err, "relay") }

var (
	errRefused      = errors.New("the server refused the request")
	errWrongRequest = errors.New("the answer belongs to another request")
	errTooLong      = errors.New("the answer exceeds the longest one that is passed on")
	errNoEnd        = errors.New("the end of the answer could not be recognized")
	errUnsolicited  = errors.New("the answer came before anything was sent")
	errUnsealed     = errors.New("the answer is a success without the server's seal")
	errContradicts  = errors.New("the answer is a success and says that the request has not run")
)

// check rejects an answer that must not reach the caller.
//
// A server that answers late, on a connection that has since been reused for another
// request, would deliver one caller's answer to another; the request id in the answer
// reveals that, if the server sends it. An answer that ends with its connection looks the
// same whether it is complete or cut off, so it must not be passed on as complete.
func (h *Headers) check(resp *http.Response, method string, id ident.Request, answer *Response) *Failure {
	if err := reply.Check(resp); err != nil {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: err}
	}
	named := resp.Header.Get(h.ID) != ""
	foreign := !named && h.EchoesID || named && !namesOnly(resp.Header[h.ID], id)
	if resp.StatusCode < http.StatusBadRequest && h.Refused(resp.StatusCode, resp.Header) {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: errContradicts}
	}
	if h.Refused(resp.StatusCode, resp.Header) && (!named || !foreign) { // without an id: see noteRefusal
		return &Failure{Kind: refusedKind(resp.StatusCode), Sent: true, Refused: true, err: errRefused, Status: resp.StatusCode, Header: resp.Header, ConnOpened: answer.ConnOpened, ConnUses: answer.ConnUses, Via: answer.Via, SentAt: answer.SentAt, Named: named}
	}
	if foreign {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: errWrongRequest}
	}
	if h.Seal != "" && resp.StatusCode < http.StatusMultipleChoices && resp.Header.Get(h.Seal) == "" {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: errUnsealed}
	}
	if resp.ContentLength > answer.maxBody {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: errTooLong}
	}
	if reply.EndsWithConnection(resp) && method != http.MethodHead && !h.CloseDelimited {
		return &Failure{Kind: kinds.Unknown, Sent: true, err: errNoEnd}
	}
	return nil
}

// namesOnly reports whether none of the ids of an answer is that of another request.
func namesOnly(ids []string, id ident.Request) bool {
	return !slices.ContainsFunc(ids, func(got string) bool { return got != string(id) })
}

func refusedKind(status int) kinds.Kind {
	if status == http.StatusMisdirectedRequest {
		return kinds.Misrouted
	}
	return kinds.Busy
}
