package host

import (
	"context"
	"log/slog"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/state"
)

// New rules bring a service while the metrics are brought up to date and the number of
// VMs changes. Both go through all services and ask each one's gate; one that was listed
// a moment before it had its gate ended the process, and every request on it was cut off.
func TestAServiceIsListedWithItsGate(t *testing.T) {
	const services = 300
	st := state.New(nil)
	b := &book{parts: bookParts{State: st, Log: slog.New(slog.DiscardHandler)}}
	var reader group.Group
	bare := make(chan ident.Service, 1)
	reader.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			for name, svc := range st.Services() {
				if svc.Gate == nil {
					bare <- name
					return nil
				}
			}
		}
		return nil
	})
	for i := range services {
		b.service(feed.Service{Name: ident.Service("s-" + strconv.Itoa(i))})
	}
	assert.NilError(t, reader.Close())
	assert.Equal(t, len(bare), 0, "a service without its gate")
	assert.NilError(t, b.group.Close())
}
