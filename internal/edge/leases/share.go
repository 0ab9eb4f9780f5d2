package leases

import (
	"context"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Bounds of what shares a packet.
const (
	// shareWait is how long a beat may wait for others to the same VM. The beats
	// of all seats fall due at one moment, so this only covers their goroutines
	// being run one after the other; it is a twentieth of a beat's period and
	// less than the margin, so three lost beats still mean 300 ms.
	shareWait = 5 * time.Millisecond
	// shareMax is the largest sum of letters in one packet, in bytes. With the
	// framing it stays below what a datagram carries.
	shareMax = 1000
)

// piles are letters that wait for company, by the VM that they go to. Without
// them each seat's beat is a packet of its own, of which more than half is the
// headers of IP, UDP and QUIC.
type piles struct {
	mu   sync.Mutex
	open map[ident.VM]*pile
}

type pile struct {
	letters [][]byte
	size    int
}

// share sends a letter with others to the same VM, after shareWait at most.
func (k *Manager) share(to ident.VM, b []byte) {
	k.piles.mu.Lock()
	defer k.piles.mu.Unlock()
	p := k.piles.open[to]
	if p != nil && p.size+len(b) > shareMax {
		delete(k.piles.open, to)
		k.cast(to, p)
		p = nil
	}
	if p == nil {
		p = &pile{}
		k.piles.add(to, p)
		k.effect.Go(func(ctx context.Context) error {
			k.flush(ctx, to, p)
			return nil
		})
	}
	p.letters = append(p.letters, b)
	p.size += len(b)
}

func (s *piles) add(to ident.VM, p *pile) {
	if s.open == nil {
		s.open = map[ident.VM]*pile{}
	}
	s.open[to] = p
}

// flush sends a pile once it has waited, unless a full one was sent before.
func (k *Manager) flush(ctx context.Context, to ident.VM, p *pile) {
	t := time.NewTimer(shareWait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	k.piles.mu.Lock()
	defer k.piles.mu.Unlock()
	if k.piles.open[to] == p {
		delete(k.piles.open, to)
		k.cast(to, p)
	}
}

// cast sends a pile as one datagram.
func (k *Manager) cast(to ident.VM, p *pile) {
	if len(p.letters) == 1 {
		k.Peers.Cast(to, p.letters[0])
		return
	}
	b, err := wire.Encode(letter{All: p.letters})
	if err != nil {
		k.Log.Error("seat messages", "err", err)
		return
	}
	k.Peers.Cast(to, b)
}
