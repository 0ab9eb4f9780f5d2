package origin

import (
	"cmp"
	"io"
	"net/http"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/srvcli"
)

// Handler serves both sides: the control side under /control/, data elsewhere.
func (o *Origin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+srvcli.PathGrant, o.order(o.Grant))
	mux.HandleFunc("POST "+srvcli.PathRevoke, o.order(o.Revoke))
	mux.HandleFunc("GET "+srvcli.PathRead, func(w http.ResponseWriter, r *http.Request) {
		o.answer(w, r, o.ReadSeat(cmp.Or(ident.Server(r.FormValue("seat")), o.Server)))
	})
	mux.HandleFunc("GET "+srvcli.PathStatus, func(w http.ResponseWriter, r *http.Request) {
		o.answer(w, r, o.Status())
	})
	mux.HandleFunc("POST "+srvcli.PathDrain, func(w http.ResponseWriter, r *http.Request) {
		o.Drain()
		o.answer(w, r, struct{}{})
	})
	mux.HandleFunc("POST "+srvcli.PathCancel, o.cancelCall)
	mux.HandleFunc("/", o.data)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.pass(r.Context())
		mux.ServeHTTP(w, r)
	})
}

func (o *Origin) order(obey func(server.Order) server.Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order server.Order
		if o.read(w, r, &order) {
			o.answer(w, r, obey(order))
		}
	}
}

// Grant obeys a grant or a renewal, or says why not.
func (o *Origin) Grant(order server.Order) server.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	why := o.admit(order)
	if why == "" {
		why = o.seat(order.Lessor).grant(order, o.mark().At)
	}
	return o.conclude(order, why)
}

// Revoke ends the lease of what is not in the order's set, or says why not.
func (o *Origin) Revoke(order server.Order) server.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	why := o.admit(order)
	if why == "" && !o.ignores() {
		o.seat(order.Lessor).revoke(order, o.Slices)
	}
	return o.conclude(order, why)
}

// Read says what the server holds under its own seat.
func (o *Origin) Read() server.Reply { return o.ReadSeat(o.Server) }

// ReadSeat says what the server holds under a seat, as a stand-by too.
func (o *Origin) ReadSeat(seat ident.Server) server.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := o.reply(seat)
	reply.Done = true
	return reply
}

// admit checks the sender's fence, if this server checks, and the deadline.
func (o *Origin) admit(order server.Order) string {
	now := o.mark()
	if o.FenceChecks && order.Fence.Less(o.top[order.Lessor]) {
		return server.ReasonFence
	}
	if order.Mark.Boot != now.Boot || order.Mark.At+order.TTL <= now.At {
		return server.ReasonLate
	}
	return ""
}

func (o *Origin) conclude(order server.Order, why string) server.Reply {
	if why == "" {
		if o.top[order.Lessor].Less(order.Fence) {
			o.top[order.Lessor] = order.Fence
		}
		o.seat(order.Lessor).fence = order.Fence
	}
	reply := o.reply(order.Lessor)
	reply.Done, reply.Reason = why == "", why
	word := o.word()
	reply.Status = &word
	return reply
}

func (o *Origin) reply(seat ident.Server) server.Reply {
	now := o.mark()
	l := o.seat(seat)
	return server.Reply{Fence: o.top[seat], Rev: l.rev, Left: max(l.end-now.At, 0), Mark: now}
}

func (o *Origin) seat(name ident.Server) *lease {
	l, ok := o.leases[name]
	if !ok {
		l = &lease{}
		o.leases[name] = l
	}
	return l
}

// Status is what the server says of itself.
func (o *Origin) Status() server.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.word()
}

// word is Word for who holds mu.
func (o *Origin) word() server.Status {
	return server.Status{
		Health: server.Health{Ready: !o.drain, Drain: o.drain},
		Load:   server.Load{Slots: o.Slots, Busy: len(o.slots), Queue: o.waiting},
	}
}

// Drain makes the server say that it is leaving. It still serves what it owns.
func (o *Origin) Drain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drain = true
}

func (o *Origin) cancelCall(w http.ResponseWriter, r *http.Request) {
	var body srvcli.CancelBody
	if !o.read(w, r, &body) {
		return
	}
	o.mu.Lock()
	cancel := o.running[body.ID]
	o.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	o.answer(w, r, struct{}{})
}

// maxOrder bounds an order's bytes.
const maxOrder = 8 << 20

// read takes a body in the form that its type names, or answers 400.
func (o *Origin) read(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrder))
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

// answer answers in CBOR whoever takes it, without a date that nobody reads.
func (o *Origin) answer(w http.ResponseWriter, r *http.Request, v any) {
	kind := srvcli.TypeJSON
	if !o.LegacyControl && r.Header.Get("Accept") == srvcli.TypeCBOR {
		kind = srvcli.TypeCBOR
	}
	h := w.Header()
	h["Date"] = nil
	h.Set("Content-Type", kind)
	if r.ProtoMajor == 1 && speaksTwo(r) {
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

// speaksTwo reports whether the server that took a request speaks HTTP/2 without
// encryption.
func speaksTwo(r *http.Request) bool {
	web, ok := r.Context().Value(http.ServerContextKey).(*http.Server)
	return ok && web.Protocols != nil && web.Protocols.UnencryptedHTTP2()
}
