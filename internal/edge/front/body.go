package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/load/poison"
)

// smallBody is up to where a body is read whole before the request asks for a
// place. A caller that sends a few bytes a second would otherwise hold one of a
// backend server's two or four slots while it does; and only a body that is
// held can be sent again after a refusal. Larger bodies are streamed.
const smallBody = 16 << 10

// body is a request's body, held or streamed.
type body struct {
	held    []byte
	stream  io.Reader
	digest  *poison.Digest // of a stream whose length is not known
	started bool
}

// takeBody reads a small body and prepares to stream a large one.
func (x *exchange) takeBody() error {
	size := x.r.ContentLength
	if size == 0 || x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	if limit := x.f.limits().Body; limit > 0 {
		if size > limit {
			return x.doubt(errTooLarge)
		}
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	}
	in := &paced{Reader: x.r.Body, rc: http.NewResponseController(x.w), pace: x.f.limits().HeaderTimeout.Duration}
	if size > x.f.BufferLimit {
		x.body.stream = in
		return nil
	}
	if size < 0 {
		x.body.digest = poison.NewDigest(in)
		x.body.stream = x.body.digest
		return nil
	}
	x.body.held = make([]byte, size)
	if _, err := io.ReadFull(in, x.body.held); err != nil {
		return kinds.Wrap(whyUnread(err), err, "read body")
	}
	return nil
}

// whyUnread tells a caller that went away from one that was too slow.
func whyUnread(err error) kinds.Kind {
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return kinds.DeadlineMissed
	}
	return kinds.Canceled
}

// reader returns the body for one attempt, and false when it was already used.
func (b *body) reader() (io.Reader, bool) {
	if b.stream == nil {
		if b.held == nil {
			return nil, true
		}
		return bytes.NewReader(b.held), true
	}
	return onFirst{b}, !b.started
}

// onFirst notes that a streamed body was begun, after which no other attempt
// can have the whole of it.
type onFirst struct{ b *body }

// Read reads the streamed body.
func (o onFirst) Read(p []byte) (int, error) {
	o.b.started = true
	return o.b.stream.Read(p)
}

// paced ends a read that brings nothing for too long. Without it a caller that
// stops in the middle of an upload holds a slot for as long as it likes.
type paced struct {
	io.Reader
	rc   *http.ResponseController
	pace time.Duration
}

// Read reads within the pace. At the end the deadline is lifted: net/http goes
// on reading to notice a caller that hangs up, and would take the deadline for
// that.
func (p *paced) Read(b []byte) (int, error) {
	if p.pace <= 0 {
		return p.Reader.Read(b)
	}
	_ = p.rc.SetReadDeadline(time.Now().Add(p.pace))
	n, err := p.Reader.Read(b)
	if errors.Is(err, io.EOF) || err == nil {
		_ = p.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}

// A caller must take copySize bytes of an answer within readPaces times the pace
// at which it must send, or a wireless link's short pause would end an answer.
const (
	readPaces = 4
	// instant is up to where an answer is written without a wait: net/http holds
	// it, and no deadline needs to be set.
	instant = 4 << 10
)

// drained ends a write that the caller takes nothing of for too long. Without it
// a caller that asks for a large answer and stops reading holds one of a backend
// server's two or four slots until the request's deadline.
type drained struct {
	http.ResponseWriter
	rc   *http.ResponseController
	pace time.Duration
}

// drain returns where to write an answer of a length, -1 if it is not known, and
// what ends the writing.
func (x *exchange) drain(length int64) (http.ResponseWriter, func()) {
	pace := readPaces * x.f.limits().HeaderTimeout.Duration
	if pace <= 0 || length >= 0 && length <= instant {
		return x.w, func() {}
	}
	d := &drained{ResponseWriter: x.w, rc: http.NewResponseController(x.w), pace: pace}
	return d, func() {
		// The connection's next answer sets its own.
		_ = d.rc.SetWriteDeadline(time.Time{})
	}
}

// Write writes within the pace.
func (d *drained) Write(b []byte) (int, error) {
	_ = d.rc.SetWriteDeadline(time.Now().Add(d.pace))
	return d.ResponseWriter.Write(b)
}

// Flush sends what is held back, within the pace.
func (d *drained) Flush() {
	_ = d.rc.SetWriteDeadline(time.Now().Add(d.pace))
	_ = d.rc.Flush()
}

// refusal is the body of an answer that the system makes itself.
type refusal struct {
	Kind string        `json:"kind"`
	Text string        `json:"text"`
	Ran  kinds.Ran     `json:"ran"`
	ID   ident.Request `json:"id"`
}

func (r refusal) json() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		return nil // cannot happen: all fields are plain text
	}
	return append(b, '\n')
}
