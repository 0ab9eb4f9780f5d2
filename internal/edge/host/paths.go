package host

import (
	"log/slog"
	"net/netip"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/dial"
	"hawthornfield.org/hawthornfield/internal/edge/state"
	"hawthornfield.org/hawthornfield/internal/edge/tunnel"
)

func newPeerTunnels() *tunnel.Client { return &tunnel.Client{} }

func newDialer(lc fx.Lifecycle, p Platform, s *state.State, peers *tunnel.Client, log *slog.Logger) *dial.Dialer {
	d := dial.New(dial.Config{Timeout: dialTimeout, Open: p.Open, Peers: peers, NameOf: s.ServerAt, Log: log})
	if p.OrderConns != nil {
		p.OrderConns.SetDial(d.DialOrders)
		d.Subscribe(orderPaths{p.OrderConns})
	}
	closeOnStop(lc, d)
	runWhileStarted(lc, &group.Group{}, d.Run)
	return d
}

// orderPaths closes the idle connections for orders when a path changes.
type orderPaths struct{ conns OrderConns }

// PathChanged closes the idle connections.
func (o orderPaths) PathChanged(netip.AddrPort) { o.conns.CloseIdle() }

// CutOffChanged closes the idle connections.
func (o orderPaths) CutOffChanged(bool) { o.conns.CloseIdle() }

// tunnelPaths are the paths that this VM offers to others.
type tunnelPaths struct {
	*dial.Dialer
	state    *state.State
	shedders *shedders
}

// Address returns the address of a listed server.
func (p tunnelPaths) Address(s ident.Server) (netip.AddrPort, bool) { return p.state.Address(s) }

// Shedding reports whether a server wants no requests from this VM now.
func (p tunnelPaths) Shedding(s ident.Server) bool { return p.shedders.isShedding(s) }

func newTunnelServer(lc fx.Lifecycle, d *dial.Dialer, s *state.State, servers *serverTracker, r *shedders, log *slog.Logger) *tunnel.Server {
	t := tunnel.NewServer(tunnelPaths{d, s, r}, log)
	r.onShed, servers.onLeft = t.EndIdleTo, t.EndIdleTo
	closeOnStop(lc, t)
	return t
}
