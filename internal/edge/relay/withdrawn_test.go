package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// recipients says of all servers whether they have left.
type recipients struct {
	left  atomic.Bool
	asked atomic.Int64
}

var errLeft = errors.New("left")

func (r *recipients) MaySend(ident.Server, netip.AddrPort) error {
	r.asked.Add(1)
	if r.left.Load() {
		return errLeft
	}
	return nil
}

// Guards against requests that are sent over an open connection to a server that has left.
func TestNothingIsWrittenToAServerThatHasLeft(t *testing.T) {
	var ran atomic.Int64
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(web.Close)
	to := netip.MustParseAddrPort(web.Listener.Addr().String())
	r := New(Config{})
	t.Cleanup(func() { _ = r.Close() })
	var all recipients
	send := func(body string) error {
		ctx, cancel := context.WithCancelCause(t.Context())
		in := httptest.NewRequest(http.MethodPost, "/a", strings.NewReader(body))
		answer, err := r.Send(ctx, cancel, in, strings.NewReader(body), to, &Meta{ID: "r-1", Server: "s1", Recipients: &all})
		if err == nil {
			_, err = answer.Copy(httptest.NewRecorder())
		}
		return err
	}
	assert.NilError(t, send("first"))
	all.left.Store(true)
	err := send("second")
	var fail *Failure
	assert.Assert(t, errors.As(err, &fail) && fail.Withdrawn && !fail.Sent, "%v", err)
	assert.Equal(t, fail.Kind, kinds.NoServer)
	assert.Equal(t, ran.Load(), int64(1))
	assert.Equal(t, all.asked.Load(), int64(2), "another connection was tried")
}
