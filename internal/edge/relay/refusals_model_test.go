package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

// answerForm is how a modelled server answers one attempt.
type answerForm struct {
	refuse   bool // it does not run the attempt, and says so
	named    bool // a refusal repeats the request's id
	repeat   bool // the answer is sent once more, where the next one is due
	confused bool // an answer to what has run also says that it has not
}

// modelServer runs or refuses attempts in drawn forms, and records which attempts it ran.
type modelServer struct {
	mu      sync.Mutex
	forms   []answerForm
	next    int
	again   map[int]string // by connection: what is sent before the next answer
	ran     map[string]int
	refused map[string]int
}

// answer handles one attempt and returns what is written.
func (m *modelServer) answer(id string, conn int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.forms[m.next%len(m.forms)]
	m.next++
	text := "HTTP/1.1 200 OK\r\nHawthorn-Id: " + id + "\r\nContent-Length: 0\r\n"
	switch {
	case f.refuse:
		m.refused[id]++
		text = "HTTP/1.1 503 Full\r\nHawthorn-Ran: no\r\nContent-Length: 0\r\n"
		if f.named {
			text += "Hawthorn-Id: " + id + "\r\n"
		}
	case f.confused:
		m.ran[id]++
		text += "Hawthorn-Ran: no\r\n"
	default:
		m.ran[id]++
	}
	text += "\r\n"
	out := m.again[conn] + text
	m.again[conn] = ""
	if f.repeat {
		m.again[conn] = text
	}
	return out
}

// Guards against any order of answers, repeated ones and such that name nothing or say two things, in which what ran counts as refused.
func TestARefusalIsAboutTheAttemptThatGotIt(t *testing.T) {
	seeds.Check(t, checkRefusals)
}

// checkRefusals lets callers send requests to a modelled server.
func checkRefusals(t *rapid.T) {
	draw := rapid.Custom(func(t *rapid.T) answerForm {
		return answerForm{
			refuse: rapid.Bool().Draw(t, "refuse"), named: rapid.Bool().Draw(t, "named"),
			repeat: rapid.Bool().Draw(t, "repeat"), confused: rapid.IntRange(0, 4).Draw(t, "confused") == 0,
		}
	})
	m := &modelServer{forms: rapid.SliceOfN(draw, 1, 40).Draw(t, "forms"), again: map[int]string{}, ran: map[string]int{}, refused: map[string]int{}}
	callers, requests := rapid.IntRange(1, 3).Draw(t, "callers"), rapid.IntRange(1, 12).Draw(t, "requests")
	s := &fakeServer{handle: func(w io.Writer, r *http.Request, conn, _ int) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		return writeString(w, m.answer(r.Header.Get(HeaderID), conn))
	}}
	over := false
	r := New(Config{Open: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if over {
			return nil, net.ErrClosed
		}
		return s.open(ctx, to)
	}})
	r.cfg.Headers.EchoesID = true
	r.cfg.Headers.Refused = func(_ int, h http.Header) bool { return h.Get("Hawthorn-Ran") == "no" }
	told := make([]map[string]int, callers)
	var g group.Group
	for c := range callers {
		told[c] = map[string]int{}
		g.Go(func(ctx context.Context) error {
			for n := range requests {
				id := fmt.Sprintf("%d-%d", c, n)
				told[c][id] = sendUntilNotRefused(ctx, r, id)
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	m.mu.Lock()
	over = true // the Transport may still want to open a connection
	m.mu.Unlock()
	for r.OpenConns(serverAddr) > 0 {
		assert.NilError(t, r.Close())
		runtime.Gosched()
	}
	assert.NilError(t, s.group.Close())
	for _, all := range told {
		for id, refusals := range all {
			assert.Assert(t, refusals <= m.refused[id] && m.ran[id] <= 1,
				"%s was refused %d times, told so %d times, and ran %d times", id, m.refused[id], refusals, m.ran[id])
		}
	}
}

// sendUntilNotRefused makes up to three attempts and returns how many were refused.
func sendUntilNotRefused(ctx context.Context, r *Relay, id string) (refusals int) {
	for range 3 {
		body := []byte("load")
		ctx, cancel := context.WithCancelCause(ctx)
		a, err := r.Send(ctx, cancel, httptest.NewRequest("POST", "/x", bytes.NewReader(body)), bytes.NewReader(body), serverAddr, &Meta{ID: ident.Request(id)})
		var fail *Failure
		if !errors.As(err, &fail) || !fail.Refused {
			if err == nil {
				_ = a.Close()
			}
			cancel(nil)
			return refusals
		}
		refusals++
	}
	return refusals
}
