package pipe

import "net/http"

// phase is where in the sequence of messages the next byte stands.
type phase uint8

const (
	inHead  phase = iota // in a request's head, or right before it
	between              // behind a head whose request the handler has not been given yet
	inBody               // in a body of a known length
	lost                 // not known; the connection is not read ahead any more
)

// scan follows what net/http reads, so that it is known where a request begins. Its
// zero value stands before the first request.
type scan struct {
	phase phase
	match int   // bytes of endOfHead that the last bytes were
	left  int64 // bytes of the body still to come
	begun bool  // some byte of the head was read
}

const endOfHead = "\r\n\r\n"

// pass returns how many of the bytes net/http may have now: up to the end of a head or
// of a body. What stands behind is another message, and what that is depends on the
// handler's word.
func (s *scan) pass(b []byte) int {
	switch s.phase {
	case inHead:
		return s.head(b)
	case inBody:
		n := int(min(int64(len(b)), s.left))
		s.left -= int64(n)
		if s.left == 0 {
			s.next()
		}
		return n
	case between:
		s.phase = lost // net/http saw another end of the head than this one
	}
	return len(b)
}

// head looks for the end of a head. A line that ends without a carriage return, which
// net/http takes too, could end it elsewhere: where the next request begins is then not
// known, and one that is refused, or read as another's body, would be started.
func (s *scan) head(b []byte) int {
	for i, c := range b {
		s.begun = true
		switch c {
		case endOfHead[s.match]:
			s.match++
		case '\n':
			s.phase = lost
			return len(b)
		case '\r':
			s.match = 1
		default:
			s.match = 0
		}
		if s.match == len(endOfHead) {
			s.phase, s.match = between, 0
			return i + 1
		}
	}
	return len(b)
}

func (s *scan) next() { *s = scan{} }

// most is how many bytes may be read from the network at once without reading into
// what stands behind a body.
func (s *scan) most(n int) int {
	if s.phase == inBody {
		return int(min(int64(n), s.left))
	}
	return n
}

// begin takes in which request the handler was given.
func (s *scan) begin(r *http.Request) {
	switch {
	case s.phase != between, r.ContentLength < 0, r.Close, !r.ProtoAtLeast(1, 1):
		s.phase = lost
	case r.ContentLength > 0:
		s.phase, s.left = inBody, r.ContentLength
	default:
		s.next()
	}
}

// atStart reports whether the next byte begins a request.
func (s *scan) atStart() bool { return s.phase == inHead && !s.begun }
