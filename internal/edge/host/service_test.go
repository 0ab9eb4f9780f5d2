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

// Guards against a service that is listed before it has its gate. Updates of the metrics
// and of the VM count use the gates of all services; with a nil gate the process crashed
// and every request on it was cut off.
func TestAServiceIsListedWithItsGate(t *testing.T) {
	const services = 300
	st := state.New(nil)
	m := &ruleManager{parts: ruleParts{State: st, Log: slog.New(slog.DiscardHandler)}}
	var reader group.Group
	withoutGate := make(chan ident.Service, 1)
	reader.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			for name, svc := range st.Services() {
				if svc.Gate == nil {
					withoutGate <- name
					return nil
				}
			}
		}
		return nil
	})
	for i := range services {
		m.addService(feed.Service{Name: ident.Service("s-" + strconv.Itoa(i))})
	}
	assert.NilError(t, reader.Close())
	assert.Equal(t, len(withoutGate), 0, "a service without its gate")
	assert.NilError(t, m.group.Close())
}
