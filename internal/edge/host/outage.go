package host

import (
	"context"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

// outageAskInterval is the time between questions to other VMs about an outage.
const outageAskInterval = 200 * time.Millisecond

// askAboutOutages asks other VMs whether the store answered them, while this VM keeps servers that
// the store no longer lists since it takes its failed calls for an outage. The leader may be lost,
// or late itself.
func (p *poller) askAboutOutages(ctx context.Context) error {
	for group.Sleep(ctx, outageAskInterval) {
		if !p.parts.Servers.keepsMissing() {
			continue
		}
		for _, addr := range p.parts.Tunnels.Peers(time.Now(), 1) {
			if resp, err := p.client.Poll(ctx, addr, p.baseRequest(), nil); err == nil {
				p.parts.Servers.noteStoreSeenByPeer(resp.StoreUpFor)
			}
		}
	}
	return nil
}
