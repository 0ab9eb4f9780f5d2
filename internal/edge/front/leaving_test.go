package front

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/load/gate"
)

// holdFirstDial holds the first connection to a backend server back until release is closed,
// and then reports its address.
func (tb *testbed) holdFirstDial() (held <-chan netip.AddrPort, release chan<- struct{}) {
	began, goOn := make(chan netip.AddrPort, 1), make(chan struct{})
	first := make(chan struct{}, 1)
	first <- struct{}{}
	tb.front.Relay = relay.New(relay.Config{Dial: relay.DefaultIdle, Open: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		select {
		case <-first:
			began <- to
			<-goOn
		default:
		}
		return tb.net.Dial(ctx, to)
	}})
	return began, goOn
}

// drop takes the server at an address from a service, and returns its name.
func (tb *testbed) drop(svc *state.Service, at netip.AddrPort) ident.Server {
	left := map[ident.Server]state.Endpoint{}
	infos := []gate.ServerInfo{}
	for _, s := range svc.Servers {
		if s.Data != at {
			left[s.Name] = state.Endpoint{Addr: s.Data}
			infos = append(infos, gate.ServerInfo{Name: s.Name, Slots: 2, Conns: 10})
		}
	}
	svc.SetEndpoints(left)
	svc.Gate.SetServers(infos)
	i := slices.IndexFunc(svc.Servers, func(s config.Server) bool { return s.Data == at })
	return svc.Servers[i].Name
}

// Guards against requests that are written to a server that has left since it was chosen.
func TestARequestIsNotWrittenToAServerThatHasLeft(t *testing.T) {
	for path, service := range map[string]ident.Service{"/plain/7": "viewer", "/views/7": "viewer", "/scales/7": "lookup"} {
		t.Run(path, func(t *testing.T) {
			runWithTestbed(t, func(t *testing.T, tb *testbed) {
				tb.setRulesAt(8, rules+`
[[rule]]
name = "plain"
when = { path = "/plain/{ward}" }
then = { service = "viewer" }
`)
				svc, _ := tb.state.Service(service)
				held, release := tb.holdFirstDial()
				var g group.Group
				g.Go(func(context.Context) error {
					resp, _, err := tb.do(tb.request("POST", path, nil))
					assert.Check(t, err == nil && resp.StatusCode == 200, "%v %v", resp, err)
					return nil
				})
				at := <-held
				synctest.Wait()
				left := tb.drop(svc, at)
				close(release)
				synctest.Wait()
				if service == "lookup" {
					tb.setOwner("l2")
				}
				assert.NilError(t, g.Wait())
				assert.Assert(t, tb.decisions.last().Server != left, "%s was sent the request", left)
			})
		})
	}
}

// Guards against requests that a VM sends by a list of servers that it knows to be too old, and against callers who wait for it.
func TestARequestIsRefusedWhileTheListOfServersIsTooOld(t *testing.T) {
	for path, service := range map[string]ident.Service{"/lab/7": "upload", "/views/7": "viewer", "/scales/7": "lookup"} {
		t.Run(path, func(t *testing.T) {
			runWithTestbed(t, func(t *testing.T, tb *testbed) {
				svc, _ := tb.state.Service(service)
				isNew := func() bool { return false }
				svc.SetVouch(&isNew)
				start := time.Now()
				resp, _, err := tb.do(tb.request("POST", path, nil))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 503)
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
				assert.Equal(t, resp.Header.Get("Hawthorn-Ran"), "no")
				assert.Equal(t, time.Since(start), time.Duration(0))
				svc.SetVouch(nil)
				resp, _, err = tb.do(tb.request("POST", path, nil))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 200)
			})
		})
	}
}
