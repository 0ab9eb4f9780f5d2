package relay

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Headers of the data path between the system and its neighbours.
const (
	HeaderID       = "Hawthorn-Id"       // request id, from the caller or given by the entry VM
	HeaderCaller   = "Hawthorn-Caller"   // who sent it
	HeaderKey      = "Hawthorn-Key"      // key that a divided service owns
	HeaderService  = "Hawthorn-Service"  // service that the request names, or was sent to
	HeaderSlice    = "Hawthorn-Slice"    // slice of the key
	HeaderFence    = "Hawthorn-Fence"    // epoch under which the owner was found
	HeaderDeadline = "Hawthorn-Deadline" // milliseconds left
)

// Headers are the headers by which a platform's callers and backend servers speak of
// what the system adds, and how they are read. An empty name is neither sent nor
// read. The zero value of Names stands for the system's own, see OwnNames.
type Headers struct {
	ID       string // request id
	Caller   string // who sent it
	Key      string // key that a divided service owns
	Service  string // service that the request names, or was sent to
	Slice    string // slice of the key
	Fence    string // epoch under which the owner was found
	Deadline string // milliseconds left
	Server   string // the one server that may run the request
	Ran      string // the promise in the system's own answers

	// Refused reports whether an answer says that the server ran nothing.
	Refused func(status int, h http.Header) bool
	// Load reads a server's own word on its load: requests running and waiting.
	Load func(h http.Header) (running, waiting int, ok bool)
	// CloseDelimited says that an answer may end with its connection. One whose connection
	// was reset is not whole; one whose connection was closed in order is.
	CloseDelimited bool
	// EchoesID says that every answer repeats the request's id, so that one without
	// it belongs to no request.
	EchoesID bool
	// PassThrough are the headers of the system's own that the caller sends and that reach
	// the server as they are.
	PassThrough []string
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

// own lists the headers that only the system may set.
func (n *Headers) own() []string {
	all := []string{n.ID, n.Caller, n.Key, n.Service, n.Slice, n.Fence, n.Deadline, n.Server}
	return slices.DeleteFunc(all, func(name string) bool { return name == "" || slices.Contains(n.PassThrough, name) })
}

// hop are the headers that concern one connection only, by RFC 9110, section
// 7.6.1, and the older ones that are still in use.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHop removes what concerns one connection only, including what the
// Connection header names.
func stripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hop {
		delete(h, name)
	}
}

// The headers that make net/http think that a request may be sent twice.
var replayHints = []string{"Idempotency-Key", "X-Idempotency-Key"}

// outHeader makes the header for the backend server. A caller that sends a header
// that only the system may set, ours, could otherwise claim a key that the rule
// did not read.
//
// net/http repeats a request without a body, on another connection, when it
// carries an idempotency key. The permit would stop the second attempt; to keep
// it from being tried at all, the key travels under its lower-case spelling,
// which is the same header to the server and unknown to net/http.
func outHeader(in http.Header, names *Headers, ours []string, meta *Meta) http.Header {
	h := make(http.Header, len(in)+len(ours))
	for name, values := range in {
		h[name] = values
	}
	stripHop(h)
	delete(h, "Expect")
	for _, name := range ours {
		delete(h, name)
	}
	for _, name := range replayHints {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = noAgent
	}
	meta.set(h, names)
	return h
}

// noAgent keeps net/http from naming itself as the caller's program.
var noAgent = []string{""}

// copyAnswer copies a backend server's header to the caller's answer.
func copyAnswer(dst, src http.Header, ran string) {
	for name, values := range src {
		dst[name] = values
	}
	stripHop(dst)
	delete(dst, ran)
}
