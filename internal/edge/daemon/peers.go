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

// reloadPeriod is how often the files of keys and certificates are read again.
const reloadPeriod = 5 * time.Second

// peers are the links to other entry VMs. Without keys in the settings there are none,
// and the VM works alone.
type peers struct {
	node  atomic.Pointer[link.Node] // nil before the start, and without keys
	group group.Group
	log   *slog.Logger

	onMessage atomic.Pointer[func(ident.VM)] // called with the sender of each message
	mu        sync.RWMutex
	handlers  map[link.Kind]handler
}

// handler handles the messages of one kind.
type handler func(from ident.VM, body []byte) error

// setHandler sets the handler of a kind of message.
func (p *peers) setHandler(kind link.Kind, h handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[kind] = h
}

func newPeers(lc fx.Lifecycle, cfg config.Config, o *options, log *slog.Logger) (*peers, error) {
	p := &peers{log: log, handlers: map[link.Kind]handler{}}
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
				Self: cfg.VM, Addr: cfg.Listen.Peers, Certs: store, Handle: p.handle, Log: log, WrapPacketConn: o.wrapPackets,
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

// handle passes a message of a peer to its handler. A message that cannot be handled is
// logged and changes nothing.
func (p *peers) handle(from ident.VM, kind link.Kind, body []byte) {
	if onMessage := p.onMessage.Load(); onMessage != nil {
		(*onMessage)(from)
	}
	p.mu.RLock()
	handle := p.handlers[kind]
	p.mu.RUnlock()
	err := kinds.New(kinds.Malformed, "unknown kind of message")
	if handle != nil {
		err = handle(from, body)
	}
	if err != nil {
		p.log.Warn("cannot handle peer message", "vm", from, "kind", kind, "err", err)
	}
}

// kindSender sends messages of one kind.
type kindSender struct {
	*peers
	kind link.Kind
}

// Send sends a message that should arrive.
func (s kindSender) Send(to ident.VM, body []byte) {
	if node := s.node.Load(); node != nil {
		node.Send(to, s.kind, body)
	}
}

// Cast sends a message that is useless when it is late, as a datagram if it fits into
// one.
func (s kindSender) Cast(to ident.VM, body []byte) {
	node := s.node.Load()
	switch {
	case node == nil:
	case len(body) > link.MaxDatagram:
		node.Send(to, s.kind, body)
	default:
		node.SendDatagram(to, s.kind, body)
	}
}

// setVMs connects to the VMs of the list that are not gone. A VM that is leaving may
// still hold lessors: if it were disconnected, it could not be asked to yield them, and
// its successors would wait for its term to end before they could move a key.
func (p *peers) setVMs(list []vmlist.VM) {
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

// credentials returns the keys and certificates, nil if there are none.
func credentials(c config.Certs, o *options) (*certs.PEM, error) {
	if o.pem != nil {
		return o.pem, nil
	}
	if c.Cert == "" {
		return nil, nil
	}
	return readPEM(c)
}

// readPEM reads each part from its file, or takes it from the settings if it is there
// in PEM form.
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

// reload reads the files again every reloadPeriod.
func (p *peers) reload(ctx context.Context, c config.Certs, store *certs.Store, last certs.PEM) error {
	for ctx.Err() == nil {
		group.Sleep(ctx, reloadPeriod)
		now, err := p.reloadOnce(c, store, last)
		if err != nil {
			p.log.Warn("keys and certificates not reloaded", "err", err)
		}
		last = now
	}
	return nil
}

// reloadOnce loads the files if they changed and returns what is in use then. Files that
// do not match each other, as between replacing one and the next, change nothing and
// are tried again.
func (p *peers) reloadOnce(c config.Certs, store *certs.Store, last certs.PEM) (certs.PEM, error) {
	now, err := readPEM(c)
	if err != nil || samePEM(*now, last) {
		return last, err
	}
	if err := store.Load(*now); err != nil {
		return last, err
	}
	p.log.Info("keys and certificates reloaded")
	return *now, nil
}

func samePEM(a, b certs.PEM) bool {
	return string(a.Cert) == string(b.Cert) && string(a.Key) == string(b.Key) && string(a.CA) == string(b.CA)
}
