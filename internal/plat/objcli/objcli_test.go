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

func startAPI(t *testing.T) (*objapi.API, *Client) {
	api := objapi.New()
	srv := httptest.NewServer(api.Handler())
	t.Cleanup(srv.Close)
	return api, New(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
}

func TestConditionalUpdatesAndLists(t *testing.T) {
	_, c := startAPI(t)
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
	api, c := startAPI(t)
	_, cursor, err := c.List(t.Context(), "seat/")
	assert.NilError(t, err)
	var g group.Group
	g.Go(func(ctx context.Context) error {
		_, err := c.Put(ctx, "seat/a", []byte("1"), 0)
		return err
	})
	changes, next, err := c.Watch(t.Context(), "seat/", cursor)
	assert.NilError(t, err)
	assert.NilError(t, g.Wait())
	assert.Equal(t, changes[0].Name, "seat/a")
	assert.Assert(t, next > cursor)
	assert.Equal(t, api.Calls().Watches, uint64(1))
}

// The response to a write that took effect is lost, or the platform is down. If the
// client reported the first case as a definite failure, an assignment would be
// duplicated or lost.
func TestALostAnswerIsAmbiguousAndARefusedConnectionIsNot(t *testing.T) {
	api, c := startAPI(t)
	api.LoseAnswers(1)
	_, err := c.Put(t.Context(), "seat/a", []byte("mine"), 0)
	assert.Equal(t, kinds.Of(err), kinds.Ambiguous)
	o, err := c.Get(t.Context(), "seat/a")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "mine")
	assert.Equal(t, api.Calls().Puts, uint64(1), "the client repeated the write")

	unreachable := New(netip.MustParseAddrPort("127.0.0.1:1"))
	_, err = unreachable.Put(t.Context(), "seat/a", []byte("x"), 0)
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
	api.Outage(true)
	_, err = c.Get(t.Context(), "seat/a")
	assert.Equal(t, kinds.Of(err), kinds.Unavailable)
}

// A VM that watches the store reads the rules twice a second to check that the store
// answers. Sent in full, some thousand rules would cost it a megabyte a second. An
// object that was changed, deleted or created again must be read in its new state.
func TestAnObjectThatIsTheSameIsNotSentAgain(t *testing.T) {
	api := objapi.New()
	var sent atomic.Int64
	inner := api.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(&countingWriter{w, &sent}, r)
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
		o.Value[0] = 'X' // must not change the cached value
	}
	t.Logf("%d bytes for two full reads, %d for five conditional reads", full, sent.Load())
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
	assert.Equal(t, string(read().Value), "made again", "an object created again has the version of the cached one")
}

// A report reads thousands of objects once each. None of them may be cached.
func TestOnlyWhatIsReadAgainIsKept(t *testing.T) {
	_, c := startAPI(t)
	for i := range 200 {
		name := fmt.Sprint("log/vm-1/", i)
		_, err := c.Put(t.Context(), name, []byte("segment"), 0)
		assert.NilError(t, err)
		_, err = c.Get(t.Context(), name)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(c.cache.objects), 0)
	assert.Equal(t, len(c.cache.recentNames), maxRecentNames)
	for range 3 {
		for i := range 2 * maxCachedObjects {
			_, err := c.Get(t.Context(), fmt.Sprint("log/vm-1/", i))
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, len(c.cache.objects), maxCachedObjects)
}

// countingWriter adds the bytes of the response bodies to n.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return c.ResponseWriter.Write(b)
}
