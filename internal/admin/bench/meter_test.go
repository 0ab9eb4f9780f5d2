package bench

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEachLinkIsCountedBothWays(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 500))
	}))
	defer srv.Close()
	var calls meter
	resp, err := calls.client().Get(srv.URL)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, calls.read().messages, int64(1))
	assert.Assert(t, calls.read().bytes > 550, "%d", calls.read().bytes)

	var ends [2]meter
	var conns [2]net.PacketConn
	for i := range conns {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer c.Close()
		conns[i] = ends[i].packets(c)
	}
	_, err = conns[0].WriteTo(make([]byte, 100), conns[1].LocalAddr())
	assert.NilError(t, err)
	_, _, err = conns[1].ReadFrom(make([]byte, 200))
	assert.NilError(t, err)
	for i := range ends {
		assert.Equal(t, ends[i].read(), count{messages: 1, bytes: 128})
	}
}
