package pipe

import "net/http"

// phase is the position of the next byte in the sequence of messages.
type phase uint8

const (
	inHead    phase = iota // in a request head, or right before one
	afterHead              // behind a head whose request the handler was not given yet
	inBody                 // in a body of known length
	unknown                // position unknown; the connection is not read ahead any more
)

// scanner tracks what net/http reads, to know where each request begins. Its zero value
// stands before the first request.
type scanner struct {
	phase     phase
	matched   int   // number of bytes of endOfHead matched by the last bytes
	bodyLeft  int64 // number of bytes of the body still to come
	headBegun bool  // at least one byte of the head was read
}

const endOfHead = "\r\n\r\n"

// advance returns how many of the bytes net/http may have now: up to the end of a head or
// of a body. What follows is another message, and how it must be read depends on the
// request that the handler is given.
func (s *scanner) advance(b []byte) int {
	switch s.phase {
	case inHead:
		return s.scanHead(b)
	case inBody:
		n := int(min(int64(len(b)), s.bodyLeft))
		s.bodyLeft -= int64(n)
		if s.bodyLeft == 0 {
			s.reset()
		}
		return n
	case afterHead:
		s.phase = unknown // net/http saw another end of the head than this scanner
	}
	return len(b)
}

// scanHead looks for the end of a head. net/http also accepts lines that end without a
// carriage return, which may end the head elsewhere. The start of the next request is
// then unknown: reading on could start a request that net/http refuses or reads as
// another's body.
func (s *scanner) scanHead(b []byte) int {
	for i, c := range b {
		s.headBegun = true
		switch c {
		case endOfHead[s.matched]:
			s.matched++
		case '\n':
			s.phase = unknown
			return len(b)
		case '\r':
			s.matched = 1
		default:
			s.matched = 0
		}
		if s.matched == len(endOfHead) {
			s.phase, s.matched = afterHead, 0
			return i + 1
		}
	}
	return len(b)
}

// reset begins the next request.
func (s *scanner) reset() { *s = scanner{} }

// maxRead returns how many bytes may be read from the network at once without reading
// beyond the end of a body.
func (s *scanner) maxRead(n int) int {
	if s.phase == inBody {
		return int(min(int64(n), s.bodyLeft))
	}
	return n
}

// begin tells the scanner which request the handler was given.
func (s *scanner) begin(r *http.Request) {
	switch {
	case s.phase != afterHead, r.ContentLength < 0, r.Close, !r.ProtoAtLeast(1, 1):
		s.phase = unknown
	case r.ContentLength > 0:
		s.phase, s.bodyLeft = inBody, r.ContentLength
	default:
		s.reset()
	}
}

// atStart reports whether the next byte begins a request.
func (s *scanner) atStart() bool { return s.phase == inHead && !s.headBegun }
