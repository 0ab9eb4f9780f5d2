package assign

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
)

// A service starts for the first time, and its leader reads the store before any server is
// listed. If the key space were split for zero servers, a service of two hundred servers
// would give some twice the keys of others for as long as the table lasts.
func TestTheFirstTableIsSplitForTheNumberOfServers(t *testing.T) {
	for servers, rows := range map[int]int{10: 256, 200: 1024} {
		now := time.Unix(1000, 0)
		m := New()
		tick := TickMsg{Authority: Authority{Epoch: 1, Until: now.Add(time.Hour), OldTermEnd: now}}
		update := func(msg loop.Msg) []loop.Cmd { _, cmds := m.Update(now, msg); return cmds }
		update(tick)
		update(ReadResultMsg{Kind: kinds.NotFound})
		var listed []Server
		for n := range servers {
			listed = append(listed, Server{
				Name: ident.Server("s" + strconv.Itoa(n)), Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: 2,
			})
		}
		update(ServersMsg{Servers: listed})
		wrote := false
		for end := now.Add(5 * time.Second); now.Before(end) && !wrote; now = now.Add(50 * time.Millisecond) {
			for _, c := range update(tick) {
				if w, ok := c.(WriteCmd); ok {
					wrote = true
					assert.Equal(t, len(w.Table.Rows), rows)
					held := map[ident.Server]int{}
					for _, r := range w.Table.Rows {
						held[r.Owner]++
					}
					assert.Equal(t, len(held), servers)
				}
			}
		}
		assert.Assert(t, wrote)
	}
}

// A service has more servers than key ranges. The excess servers own nothing and get no
// requests while callers of the others wait; the log must say so, once.
func TestMoreServersThanRangesAreLogged(t *testing.T) {
	const servers = 3000
	now := time.Unix(1000, 0)
	m := New()
	tick := TickMsg{Authority: Authority{Epoch: 1, Until: now.Add(time.Hour), OldTermEnd: now}}
	update := func(msg loop.Msg) []loop.Cmd { _, cmds := m.Update(now, msg); return cmds }
	update(tick)
	update(ReadResultMsg{Kind: kinds.NotFound})
	var listed []Server
	for n := range servers {
		listed = append(listed, Server{
			Name: ident.Server("s" + strconv.Itoa(n)), Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: 2,
		})
	}
	update(ServersMsg{Servers: listed})
	logged, held := 0, map[ident.Server]bool{}
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		cmds := update(tick)
		for _, c := range cmds {
			switch c := c.(type) {
			case WriteCmd:
				for _, r := range c.Table.Rows {
					held[r.Owner] = true
				}
				update(WriteResultMsg{Version: 1})
			case LogCmd:
				if c.Event == "servers without keys" {
					logged++
					assert.Equal(t, c.Reason, "1976 more servers than key ranges")
				}
			}
		}
	}
	assert.Equal(t, len(held), 1024)
	assert.Equal(t, logged, 1)
}
