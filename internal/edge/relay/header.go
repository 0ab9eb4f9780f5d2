package relay

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/notice"
)

// Headers of requests between the system and its callers and backend servers.
const (
	HeaderID       = "Hawthorn-Id"       // request id, set by the caller or else by the entry VM
	HeaderCaller   = "Hawthorn-Caller"   // name of the caller
	HeaderKey      = "Hawthorn-Key"      // key, in a service divided by key
	HeaderService  = "Hawthorn-Service"  // service that the request names, or was routed to
	HeaderSlice    = "Hawthorn-Slice"    // slice of the key
	HeaderFence    = "Hawthorn-Fence"    // epoch of the ownership under which the owner was found
	HeaderDeadline = "Hawthorn-Deadline" // time left until the deadline, in milliseconds
)

// Headers are the names of the headers that the system adds for callers and backend
// servers, and the functions that read them. A header with an empty name is neither sent
// nor read. The zero value stands for DefaultHeaders.
type Headers struct {
	ID       string // request id
	Caller   string // name of the caller
	Key      string // key, in a service divided by key
	Service  string // service that the request names, or was routed to
	Slice    string // slice of the key
	Fence    string // epoch of the ownership under which the owner was found
	Deadline string // time left until the deadline, in milliseconds
	Server   string // the only server that may run the request
	Seal     string // of each success of a server; one without it is no answer
	Ran      string // whether the request ran, in the system's own answers

	// Refused reports whether an answer says that the server did not run the request.
	Refused func(status int, h http.Header) bool
	// PromisesNotRun reports whether a status by itself tells callers that their request has not
	// run and never will. A nil function says that none does.
	PromisesNotRun func(status int) bool
	// Load reads the load that a server reports with an answer. It returns false if there is
	// no report, or one of which nothing can be used.
	Load func(h http.Header) (LoadReport, bool)
	// Notice reads what a server says about itself with an answer, and describes a part that
	// cannot be read. A nil function reads nothing.
	Notice func(h http.Header) (n notice.Notice, fault string)
	// RetryAfter reads for how long a server that turns a request away wants no further requests
	// from this VM, zero if it does not say so, and describes a time that cannot be read. A
	// nil function reads none.
	RetryAfter func(status int, h http.Header) (d time.Duration, fault string)
	// CloseDelimited allows an answer whose end is the end of its connection. It is
	// complete if the connection was closed in order, and incomplete if it was reset.
	CloseDelimited bool
	// EchoesID says that every answer repeats the request id, so that an answer without
	// it cannot be attributed to a request.
	EchoesID bool
	// PassThrough are the system's own headers that are passed from the caller to the
	// server unchanged.
	PassThrough []string
}

// LoadReport is the load that a server reports with an answer.
type LoadReport struct {
	Running int     // requests that it processes
	Waiting int     // requests in its queue
	Pace    float64 // how long work takes there at the moment, relative to usual; zero if unknown
	Fault   string  // describes the parts that could not be read; empty if there are none
}

// DefaultHeaders are the headers of the system's own interface.
func DefaultHeaders() Headers {
	return Headers{
		ID: HeaderID, Caller: HeaderCaller, Key: HeaderKey, Service: HeaderService,
		Slice: HeaderSlice, Fence: HeaderFence, Deadline: HeaderDeadline, Ran: kinds.HeaderRan,
		Refused: func(status int, h http.Header) bool {
			return kinds.Ran(h.Get(kinds.HeaderRan)) == kinds.RanNo && status >= http.StatusBadRequest
		},
	}
}

// reserved returns the headers that only the system may set.
func (h *Headers) reserved() []string {
	all := []string{h.ID, h.Caller, h.Key, h.Service, h.Slice, h.Fence, h.Deadline, h.Server}
	return slices.DeleteFunc(all, func(name string) bool { return name == "" || slices.Contains(h.PassThrough, name) })
}

// hopHeaders are the hop-by-hop headers of RFC 9110, section 7.6.1, and older ones that
// are still in use.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHop removes the hop-by-hop headers, including those that the Connection header
// names.
func stripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// replayHints are the headers that make net/http consider a request safe to repeat.
var replayHints = []string{"Idempotency-Key", "X-Idempotency-Key"}

// requestHeader returns the header for the backend server. Reserved headers from the
// caller are dropped: with them it could claim a key that the rule did not read.
//
// net/http repeats a request without a body on another connection if it carries an
// idempotency key. The permit would stop the second attempt; to prevent the attempt
// itself, the key is sent under its lower-case spelling, which is the same header to the
// server but unknown to net/http.
func requestHeader(in http.Header, headers *Headers, reserved []string, meta *Meta) http.Header {
	h := make(http.Header, len(in)+len(reserved))
	for name, values := range in {
		h[name] = values
	}
	stripHop(h)
	delete(h, "Expect")
	for _, name := range reserved {
		delete(h, name)
	}
	for _, name := range replayHints {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = noUserAgent
	}
	meta.set(h, headers)
	return h
}

// noUserAgent keeps net/http from adding its own User-Agent.
var noUserAgent = []string{""}

// copyResponseHeader copies the end-to-end headers of a backend server's answer, except
// the header that only the system's own answers carry.
func copyResponseHeader(dst, src http.Header, ran string) {
	for name, values := range src {
		dst[name] = values
	}
	stripHop(dst)
	delete(dst, ran)
}
