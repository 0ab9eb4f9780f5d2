package objcli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objapi"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

func start(t *testing.T) (*objapi.API, *Client) {
	api := objapi.New()
	srv := httptest.NewServer(api.Handler())
	t.Cleanup(srv.Close)
	return api, New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
}

func TestConditionalUpdatesAndLists(t *testing.T) {
	_, c := start(t)
	v, err := c.Put(t.Context(), "table/look up", []byte("a"), 0)
	assert.NilError(t, err)
	_, err = c.Put(t.Context(), "table/look up", []byte("b"), 0)
	assert.Equal(t, kinds.Of(err), kinds.Conflict)
	w, err := c.Put(t.Context(), "table/look up", []byte("b"), v)
	assert.NilError(t, err)
	assert.Assert(t, w > v)
	o, err := c.Get(t.Context(), "table/look up")
	assert.NilError(t, err)
	assert.DeepEqual(t, o, object.Object{Name: "table/look up", Version: w, Value: []byte("b")})
	_, err = c.Get(t.Context(), "none")
	assert.Equal(t, kinds.Of(err), kinds.NotFound)
	_, err = c.Put(t.Context(), "big", make([]byte, object.MaxValue+1), 0)
	assert.Equal(t, kinds.Of(err), kinds.TooLarge)
	all, _, err := c.List(t.Context(), "table/")
	assert.NilError(t, err)
	assert.Equal(t, len(all), 1)
	assert.NilError(t, c.Delete(t.Context(), "table/look up", w))
}

func TestWatchContinuesFromAListWithoutAGap(t *testing.T) {
	api, c := start(t)
	_, at, err := c.List(t.Context(), "seat/")
	assert.NilError(t, err)
	var g group.Group
	g.Go(func(ctx context.Context) error {
		_, err := c.Put(ctx, "seat/a", []byte("1"), 0)
		return err
	})
	changes, next, err := c.Watch(t.Context(), "seat/", at)
	assert.NilError(t, err)
	assert.NilError(t, g.Wait())
	assert.Equal(t, changes[0].Name, "seat/a")
	assert.Assert(t, next > at)
	assert.Equal(t, api.Calls().Watches, uint64(1))
}

// The platform applies a write and its answer is lost on the way; or it is out
// altogether. A user would notice a doubled or a vanished assignment if the two
// were mistaken for each other, so the client must not claim "did not happen"
// for the first.
func TestALostAnswerIsAmbiguousAndARefusedConnectionIsNot(t *testing.T) {
	api, c := start(t)
	api.LoseAnswers(1)
	_, err := c.Put(t.Context(), "seat/a", []byte("mine"), 0)
	assert.Equal(t, kinds.Of(err), kinds.Ambiguous)
	o, err := c.Get(t.Context(), "seat/a")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "mine")
	assert.Equal(t, api.Calls().Puts, uint64(1), "the client repeated the write by itself")

	nobody := New(netip.MustParseAddrPort("127.0.0.1:1"))
	_, err = nobody.Put(t.Context(), "seat/a", []byte("x"), 0)
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
	api.Outage(true)
	_, err = c.Get(t.Context(), "seat/a")
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
}

// The rules are read twice a second to see that the store answers. Sent in full
// each time, some thousand rules would cost a VM that watches the store a
// megabyte a second. And what was changed, deleted and made again, or written
// over by others must be read as it is now.
func TestAnObjectThatIsTheSameIsNotSentAgain(t *testing.T) {
	api := objapi.New()
	var sent atomic.Int64
	inner := api.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(&counting{w, &sent}, r)
	}))
	defer srv.Close()
	c := New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
	value := bytes.Repeat([]byte("rule"), 15_000)
	version, err := c.Put(t.Context(), "rules/current", value, 0)
	assert.NilError(t, err)
	read := func() object.Object {
		o, err := c.Get(t.Context(), "rules/current")
		assert.NilError(t, err)
		return o
	}
	first := read()
	read()
	full := sent.Swap(0)
	for range 5 {
		o := read()
		assert.DeepEqual(t, o, first)
		o.Value[0] = 'X' // the reader's own
	}
	t.Logf("%d bytes of two reads in full, %d of five more", full, sent.Load())
	assert.Equal(t, sent.Load(), int64(0))

	version, err = c.Put(t.Context(), "rules/current", []byte("new"), version)
	assert.NilError(t, err)
	assert.Equal(t, string(read().Value), "new")
	assert.Equal(t, string(read().Value), "new")
	assert.NilError(t, c.Delete(t.Context(), "rules/current", version))
	_, err = c.Get(t.Context(), "rules/current")
	assert.Equal(t, kinds.Of(err), kinds.NotFound)
	for v := object.Version(0); v < version; {
		v, err = c.Put(t.Context(), "rules/current", []byte("made again"), v)
		assert.NilError(t, err)
	}
	assert.Equal(t, string(read().Value), "made again", "the same version of another life")
}

// A report reads thousands of objects once each. None of them may be kept.
func TestOnlyWhatIsReadAgainIsKept(t *testing.T) {
	_, c := start(t)
	for i := range 200 {
		name := fmt.Sprint("log/vm-1/", i)
		_, err := c.Put(t.Context(), name, []byte("segment"), 0)
		assert.NilError(t, err)
		_, err = c.Get(t.Context(), name)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(c.recent.kept), 0)
	assert.Equal(t, len(c.recent.names), namesKnown)
	for range 3 {
		for i := range 2 * keptObjects {
			_, err := c.Get(t.Context(), fmt.Sprint("log/vm-1/", i))
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, len(c.recent.kept), keptObjects)
}

type counting struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c *counting) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}
