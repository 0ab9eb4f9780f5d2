package relay

import (
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// Recipients says which backend servers may get requests.
type Recipients interface {
	// MaySend returns an error if no request must be sent to a server at an address any more.
	// It must not block.
	MaySend(s ident.Server, to netip.AddrPort) error
}

// Meta holds the values of the headers that the system adds to a request.
type Meta struct {
	ID       ident.Request
	Caller   ident.Caller
	Service  ident.Service
	Key      ident.Key
	Slice    ident.Slice
	Epoch    ident.Epoch
	Deadline time.Time
	Server   ident.Server // the only one that may run the request
	// Recipients, if set, is asked just before the first byte is written: a server may leave
	// while the request waits for a connection.
	Recipients Recipients
	// MayInterrupt is asked whether the attempt may be given up when the path to the server is
	// lost; nil means never.
	MayInterrupt func() bool
	// OnSend, if set, is called just before the request is written to a connection. It is
	// called again if that connection turns out to be closed and another one is used.
	OnSend func()
}

// set sets the headers. Their values share one array: a separate slice for each was a
// tenth of the allocations of the request path.
func (m *Meta) set(h http.Header, headers *Headers) {
	const maxHeaders = 8 // number of headers set below
	all := make([]string, 0, maxHeaders)
	put := func(name, value string) {
		if name == "" {
			return
		}
		all = append(all, value)
		h[name] = all[len(all)-1 : len(all) : len(all)]
	}
	put(headers.ID, string(m.ID))
	put(headers.Caller, string(m.Caller))
	put(headers.Service, string(m.Service))
	put(headers.Server, string(m.Server))
	if m.Key != "" {
		put(headers.Key, string(m.Key))
		put(headers.Slice, strconv.FormatUint(uint64(m.Slice), 10))
		put(headers.Fence, ident.Fence{Epoch: m.Epoch}.String())
	}
	if !m.Deadline.IsZero() {
		put(headers.Deadline, strconv.FormatInt(max(time.Until(m.Deadline).Milliseconds(), 0), 10))
	}
}
