package origin

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
)

func startOrigin(t *testing.T, cfg Config) (*Origin, netip.AddrPort) {
	o := New(cfg)
	at, err := o.Start()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, o.Close()) })
	return o, at
}

func request(t *testing.T, at netip.AddrPort, key string) *http.Response {
	r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+at.String()+"/x", strings.NewReader("body"))
	assert.NilError(t, err)
	r.Header.Set(HeaderKey, key)
	r.Header.Set(HeaderID, "id-"+key)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp
}

// A server that serves a key after the revocation of its lease would hide a second
// owner from every test that uses it.
func TestServesOnlyWhatItsLeaseCovers(t *testing.T) {
	o, at := startOrigin(t, Config{Server: "s1", Keyed: true, Slices: 8, FenceChecks: true})
	var c srvcli.Client
	read, err := c.Read(t.Context(), at, "look", "")
	assert.NilError(t, err)
	mine := ident.SliceOf("scale-1", 8)
	order := server.Order{
		Lessor: "s1", Server: "s1", Fence: ident.Fence{Epoch: 2}, Mark: read.Mark, TTL: time.Hour,
		Rev: 5, Full: true, Slices: []ident.Slice{mine},
	}
	reply, err := c.Grant(t.Context(), at, order)
	assert.NilError(t, err)
	assert.Assert(t, reply.Done)
	resp := request(t, at, "scale-1")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Trailer.Get(TrailerSum) != "")
	assert.Equal(t, o.Record.Count("id-scale-1"), 1)

	order.Slices = nil
	reply, err = c.Revoke(t.Context(), at, order)
	assert.NilError(t, err)
	assert.Assert(t, reply.Done)
	resp = request(t, at, "scale-1")
	assert.Equal(t, resp.StatusCode, http.StatusMisdirectedRequest)
	assert.Equal(t, resp.Header.Get(kinds.HeaderRan), string(kinds.RanNo))
	assert.Equal(t, o.Record.Count("id-scale-1"), 1)
}

// Orders from an earlier epoch, with an expired deadline, for a set that the server
// does not hold, or for an earlier start of the server must be refused.
func TestRefusesOldFencesLateOrdersAndRenewalsOfUnheldSets(t *testing.T) {
	o := New(Config{Server: "s1", Keyed: true, Slices: 8, FenceChecks: true})
	mark := o.Read().Mark
	full := server.Order{Lessor: "s1", Fence: ident.Fence{Epoch: 2}, Mark: mark, TTL: time.Hour, Rev: 5, Full: true}
	assert.Assert(t, o.Grant(full).Done)
	old := full
	old.Fence.Epoch = 1
	assert.Equal(t, o.Grant(old).Reason, server.ReasonFence)
	late := full
	late.TTL = 0
	assert.Equal(t, o.Grant(late).Reason, server.ReasonLate)
	renew := full
	renew.Full, renew.Rev = false, 4
	assert.Equal(t, o.Grant(renew).Reason, server.ReasonRev)
	o.Restart()
	assert.Equal(t, o.Grant(full).Reason, server.ReasonLate)
}
