package relay

import (
	"net/http"
	"net/textproto"
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

// ours are the headers that only the system may set. A caller that sends one
// could otherwise claim a key that the rule did not read.
var ours = []string{HeaderID, HeaderCaller, HeaderKey, HeaderService, HeaderSlice, HeaderFence, HeaderDeadline}

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

// outHeader makes the header for the backend server.
//
// net/http repeats a request without a body, on another connection, when it
// carries an idempotency key. The permit would stop the second attempt; to keep
// it from being tried at all, the key travels under its lower-case spelling,
// which is the same header to the server and unknown to net/http.
func outHeader(in http.Header, meta *Meta) http.Header {
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
	meta.set(h)
	return h
}

// noAgent keeps net/http from naming itself as the caller's program.
var noAgent = []string{""}

// copyAnswer copies a backend server's header to the caller's answer.
func copyAnswer(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	stripHop(dst)
	delete(dst, kinds.HeaderRan)
}
