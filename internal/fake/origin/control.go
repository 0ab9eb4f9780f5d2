package origin

import (
	"cmp"
	"io"
	"net/http"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
)

// Handler serves control calls under /control/ and data requests elsewhere.
func (o *Origin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+srvcli.PathGrant, o.handleOrder(o.Grant))
	mux.HandleFunc("POST "+srvcli.PathRevoke, o.handleOrder(o.Revoke))
	mux.HandleFunc("GET "+srvcli.PathRead, func(w http.ResponseWriter, r *http.Request) {
		o.writeReply(w, r, o.ReadLease(cmp.Or(ident.Server(r.FormValue("seat")), o.Server)))
	})
	mux.HandleFunc("GET "+srvcli.PathStatus, func(w http.ResponseWriter, r *http.Request) {
		o.writeReply(w, r, o.Status())
	})
	mux.HandleFunc("POST "+srvcli.PathDrain, func(w http.ResponseWriter, r *http.Request) {
		o.Drain()
		o.writeReply(w, r, struct{}{})
	})
	mux.HandleFunc("POST "+srvcli.PathCancel, o.cancelCall)
	mux.HandleFunc("/", o.serveData)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.waitThawed(r.Context())
		mux.ServeHTTP(w, r)
	})
}

// handleOrder returns a handler that reads an order, applies it and replies.
func (o *Origin) handleOrder(apply func(server.Order) server.Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order server.Order
		if o.readBody(w, r, &order) {
			o.writeReply(w, r, apply(order))
		}
	}
}

// Grant applies a grant or a renewal, or replies with the reason why not.
func (o *Origin) Grant(order server.Order) server.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reason := o.checkOrder(order)
	if reason == "" {
		reason = o.leaseOf(order.Lessor).grant(order, o.mark().At)
	}
	return o.finishOrder(order, reason)
}

// Revoke ends the lease of everything that is not in the order's set, or replies with
// the reason why not.
func (o *Origin) Revoke(order server.Order) server.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reason := o.checkOrder(order)
	if reason == "" && !o.ignoresRevocations() {
		o.leaseOf(order.Lessor).revoke(order, o.Slices)
	}
	return o.finishOrder(order, reason)
}

// Read returns the server's lease for its own keys.
func (o *Origin) Read() server.Reply { return o.ReadLease(o.Server) }

// ReadLease returns the lease that the server holds from a lessor: its own, or that of
// a server whose standby it is.
func (o *Origin) ReadLease(lessor ident.Server) server.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := o.reply(lessor)
	reply.Done = true
	return reply
}

// checkOrder checks the order's fence, if FenceChecks is set, and its deadline. It
// returns the reason to refuse the order, or "".
func (o *Origin) checkOrder(order server.Order) string {
	now := o.mark()
	if o.FenceChecks && order.Fence.Less(o.highestFences[order.Lessor]) {
		return server.ReasonFence
	}
	if order.Mark.Boot != now.Boot || order.Mark.At+order.TTL <= now.At {
		return server.ReasonLate
	}
	return ""
}

// finishOrder records the fence of an order that was applied, and builds the reply.
func (o *Origin) finishOrder(order server.Order, reason string) server.Reply {
	if reason == "" {
		if o.highestFences[order.Lessor].Less(order.Fence) {
			o.highestFences[order.Lessor] = order.Fence
		}
		o.leaseOf(order.Lessor).fence = order.Fence
	}
	reply := o.reply(order.Lessor)
	reply.Done, reply.Reason = reason == "", reason
	status := o.status()
	reply.Status = &status
	return reply
}

func (o *Origin) reply(lessor ident.Server) server.Reply {
	now := o.mark()
	l := o.leaseOf(lessor)
	return server.Reply{Fence: o.highestFences[lessor], Rev: l.rev, Left: max(l.end-now.At, 0), Mark: now}
}

// leaseOf returns the lease from a lessor, creating an empty one if there is none. The
// caller holds mu.
func (o *Origin) leaseOf(name ident.Server) *lease {
	l, ok := o.leases[name]
	if !ok {
		l = &lease{}
		o.leases[name] = l
	}
	return l
}

// Status returns the health and load that the server reports.
func (o *Origin) Status() server.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status()
}

// status is Status for callers that hold mu.
func (o *Origin) status() server.Status {
	return server.Status{
		Health: server.Health{Ready: !o.draining, Drain: o.draining},
		Load:   server.Load{Slots: o.Slots, Busy: len(o.slots), Queue: o.waiting},
	}
}

// Drain makes the server report that it is draining. It still serves what it owns.
func (o *Origin) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
}

// cancelCall cancels a running data request by its id.
func (o *Origin) cancelCall(w http.ResponseWriter, r *http.Request) {
	var body srvcli.CancelBody
	if !o.readBody(w, r, &body) {
		return
	}
	o.mu.Lock()
	cancel := o.running[body.ID]
	o.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	o.writeReply(w, r, struct{}{})
}

// maxBodyBytes bounds the body of a control call.
const maxBodyBytes = 8 << 20

// readBody decodes a body by its Content-Type, or by JSON if LegacyControl is set. It
// answers 400 and returns false if that fails.
func (o *Origin) readBody(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	kind := r.Header.Get("Content-Type")
	if o.LegacyControl {
		kind = srvcli.TypeJSON
	}
	if err == nil {
		err = srvcli.Decode(kind, b, v)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}

// writeReply answers in CBOR if the request accepts it, else in JSON. It omits the Date
// header, which no client reads, and announces h2c on HTTP/1 connections.
func (o *Origin) writeReply(w http.ResponseWriter, r *http.Request, v any) {
	kind := srvcli.TypeJSON
	if !o.LegacyControl && r.Header.Get("Accept") == srvcli.TypeCBOR {
		kind = srvcli.TypeCBOR
	}
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", kind)
	if r.ProtoMajor == 1 && servesHTTP2(r) {
		h.Set("Upgrade", "h2c")
	}
	b, err := srvcli.Encode(kind, v)
	if err == nil {
		_, err = w.Write(b)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// servesHTTP2 reports whether the HTTP server that received a request supports
// unencrypted HTTP/2.
func servesHTTP2(r *http.Request) bool {
	web, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	return ok && web.Protocols != nil && web.Protocols.UnencryptedHTTP2()
}
