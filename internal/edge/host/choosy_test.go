package host

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// choosy cannot read what the others read, as a VM of another version. It counts.
type choosy struct {
	decoder
	refused *atomic.Int64
}

func (c choosy) Rules(rev ident.Revision, b []byte) (feed.Rules, error) {
	r, err := c.decoder.Rules(rev, b)
	if err == nil && len(r.List) > 1000 {
		c.refused.Add(1)
		return feed.Rules{}, kinds.New(kinds.Malformed, "a field of a later version")
	}
	return r, err
}

// One VM cannot read the newest rules, which the others have. It got them again and
// again, fifty times a second, and everything else that the leader tells came behind
// that. It gets them a few times at most, passes them on all the same, and serves its
// callers by the rules that it has.
func TestRulesThatOneVMCannotReadAreNotSentToItForEver(t *testing.T) {
	const mostRefusals = 5
	w := newWorld(t, 2)
	w.store.write("config/main", grown(10))
	w.serve("ledger", "r1")
	w.start(0)
	w.within(patient, "ready", w.ready(0))
	var refused atomic.Int64
	way := &gateway{store: w.store}
	cfg := w.cfgs[1]
	cfg.Seeds = append(cfg.Seeds, w.cfgs[0].Peers)
	odd := New(cfg, Platform{
		Store: way, StaleStore: lagging{way}, Decode: choosy{refused: &refused}, Orders: w, Headers: relay.DefaultHeaders(),
		Servers: "servers/", Rules: "config/main", OwnPrefix: "own/",
	}, slog.New(slog.DiscardHandler))
	assert.NilError(t, odd.Start(t.Context()))
	w.vms = append(w.vms, odd)
	w.within(patient, "ready", w.ready(1))
	w.store.write("config/main", grown(3000))
	w.within(patient, "refused", func() bool { return refused.Load() > 0 })
	time.Sleep(3 * time.Second)
	assert.Assert(t, refused.Load() <= mostRefusals, "refused %d times in 3 s", refused.Load())
	mine, _ := odd.d.p.Board.Revs()
	others, _ := w.vms[0].d.p.Board.Revs()
	assert.Equal(t, mine, others, "others may have them from here")
	status, _ := w.get(1, "/receipt/1", "")
	assert.Equal(t, status, http.StatusOK)
	for _, h := range w.vms {
		assert.NilError(t, h.Close())
	}
}
