package daemon

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
	"hawthornfield.org/hawthornfield/internal/peer/link"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// reloadEvery is how often the files of keys and certificates are read again.
const reloadEvery = 5 * time.Second

// peers is the exchange with other entry VMs. Without keys in the settings
// there is none, and the VM works alone.
type peers struct {
	node  atomic.Pointer[link.Node] // nil before the start, and without keys
	group group.Group
	log   *slog.Logger

	heard  atomic.Pointer[func(ident.VM)] // told of everything that arrives
	mu     sync.RWMutex
	takers map[link.Kind]taker
}

// taker takes the messages of one kind.
type taker func(from ident.VM, body []byte) error

// on says who takes the messages of a kind.
func (p *peers) on(k link.Kind, t taker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takers[k] = t
}

func newPeers(lc fx.Lifecycle, cfg config.Config, o *options, log *slog.Logger) (*peers, error) {
	p := &peers{log: log, takers: map[link.Kind]taker{}}
	pem, err := credentials(cfg.Certs, o)
	if err != nil || pem == nil {
		return p, err
	}
	store := &certs.Store{}
	if err := store.Load(*pem); err != nil {
		return nil, err
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			node, err := link.New(link.Options{
				Self: cfg.VM, Addr: cfg.Listen.Peers, Certs: store, Handle: p.handle, Log: log, WrapPacketConn: o.packets,
			})
			if err != nil {
				return err
			}
			p.node.Store(node)
			if o.pem == nil {
				p.group.Go(func(ctx context.Context) error { return p.reload(ctx, cfg.Certs, store, *pem) })
			}
			return nil
		},
		OnStop: func(context.Context) error { return p.close() },
	})
	return p, nil
}

func (p *peers) close() error {
	err := p.group.Close()
	if node := p.node.Load(); node != nil {
		if e := node.Close(); err == nil {
			err = e
		}
	}
	return err
}

func (p *peers) addr() netip.AddrPort {
	node := p.node.Load()
	if node == nil {
		return netip.AddrPort{}
	}
	return node.Listening()
}

// handle takes a message of a peer. One that makes no sense is logged and
// changes nothing.
func (p *peers) handle(from ident.VM, k link.Kind, body []byte) {
	if heard := p.heard.Load(); heard != nil {
		(*heard)(from)
	}
	p.mu.RLock()
	take := p.takers[k]
	p.mu.RUnlock()
	err := kinds.New(kinds.Malformed, "unknown kind of message")
	if take != nil {
		err = take(from, body)
	}
	if err != nil {
		p.log.Warn("peer message", "vm", from, "kind", k, "err", err)
	}
}

// mail sends messages of one kind.
type mail struct {
	*peers
	kind link.Kind
}

// Send sends a message that should arrive.
func (m mail) Send(to ident.VM, body []byte) {
	if node := m.node.Load(); node != nil {
		node.Send(to, m.kind, body)
	}
}

// Cast sends a message that is stale when it is late. One that does not fit a
// datagram goes with the others.
func (m mail) Cast(to ident.VM, body []byte) {
	node := m.node.Load()
	switch {
	case node == nil:
	case len(body) > link.MaxDatagram:
		node.Send(to, m.kind, body)
	default:
		node.SendDatagram(to, m.kind, body)
	}
}

// set connects to the VMs of the list that are not gone. One that leaves may
// still hold seats: cut off, it could not be asked to yield them, and its
// successors would wait for its term before they move a key.
func (p *peers) set(list []vmlist.VM) {
	node := p.node.Load()
	if node == nil {
		return
	}
	all := make([]link.Peer, 0, len(list))
	for _, vm := range list {
		if vm.State != vmlist.Gone && vm.Addr.IsValid() {
			all = append(all, link.Peer{ID: vm.ID, Addr: vm.Addr})
		}
	}
	node.SetPeers(all)
}

func (p *peers) connected() []ident.VM {
	node := p.node.Load()
	if node == nil {
		return nil
	}
	return node.Connected()
}

func credentials(c config.Certs, o *options) (*certs.PEM, error) {
	if o.pem != nil {
		return o.pem, nil
	}
	if c.Cert == "" {
		return nil, nil
	}
	return readPEM(c)
}

// readPEM reads each part from its file, or takes it as it stands.
func readPEM(c config.Certs) (*certs.PEM, error) {
	var p certs.PEM
	for _, part := range []struct {
		from string
		to   *[]byte
	}{{c.Cert, &p.Cert}, {c.Key, &p.Key}, {c.CA, &p.CA}} {
		if strings.Contains(part.from, "-----BEGIN") {
			*part.to = []byte(part.from)
			continue
		}
		b, err := os.ReadFile(part.from)
		if err != nil {
			return nil, kinds.Wrap(kinds.NotFound, err, "read keys and certificates")
		}
		*part.to = b
	}
	return &p, nil
}

// reload looks at the files again and again.
func (p *peers) reload(ctx context.Context, c config.Certs, store *certs.Store, last certs.PEM) error {
	for ctx.Err() == nil {
		group.Sleep(ctx, reloadEvery)
		now, err := p.reloadOnce(c, store, last)
		if err != nil {
			p.log.Warn("keys and certificates not reloaded", "err", err)
		}
		last = now
	}
	return nil
}

// reloadOnce puts changed files in force and returns what is in force then.
// Files that do not fit together, as in the moment between replacing one and
// the other, change nothing and are tried again.
func (p *peers) reloadOnce(c config.Certs, store *certs.Store, last certs.PEM) (certs.PEM, error) {
	now, err := readPEM(c)
	if err != nil || same(*now, last) {
		return last, err
	}
	if err := store.Load(*now); err != nil {
		return last, err
	}
	p.log.Info("keys and certificates reloaded")
	return *now, nil
}

func same(a, b certs.PEM) bool {
	return string(a.Cert) == string(b.Cert) && string(a.Key) == string(b.Key) && string(a.CA) == string(b.CA)
}
