package objcli

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
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
	assert.Equal(t, kinds.Of(err), kinds.Absent)
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
	assert.Equal(t, kinds.Of(err), kinds.Down)
	api.Outage(true)
	_, err = c.Get(t.Context(), "seat/a")
	assert.Equal(t, kinds.Of(err), kinds.Down)
}
