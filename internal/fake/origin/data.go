package origin

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Headers that a request to a backend server carries.
const (
	HeaderID  = "Hawthorn-Id"
	HeaderKey = "Hawthorn-Key"
)

// Headers and the trailer of an answer.
const (
	HeaderServer = "Origin-Server"
	HeaderBytes  = "Origin-Bytes"
	TrailerSum   = "Origin-Sum" // FNV-1a of the answer's body
)

// Query parameters by which a caller shapes a request.
const (
	ParamWork   = "work"   // extra time in the slot, as a Go duration
	ParamSize   = "size"   // bytes of the answer
	ParamStatus = "status" // HTTP status of the answer
)

// data serves one request: own it, or answer 421; have a slot, or shed.
func (o *Origin) data(w http.ResponseWriter, r *http.Request) {
	id, key := ident.Request(r.Header.Get(HeaderID)), ident.Key(r.Header.Get(HeaderKey))
	if o.Keyed && !o.ownsNow(key) {
		o.bump(func(s *Stats) *int { return &s.Misses })
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !o.enter(ctx) {
		o.bump(func(s *Stats) *int { return &s.Shed })
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer o.leave()
	served, ok := o.run(id, key, cancel)
	if !ok {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	defer o.ended(id)
	o.work(ctx, w, r, served)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
	w.WriteHeader(status)
}

// enter takes a slot, waiting in the short queue.
func (o *Origin) enter(ctx context.Context) bool {
	select {
	case o.slots <- struct{}{}:
		return true
	default:
	}
	o.mu.Lock()
	full := o.waiting >= o.Queue
	if !full {
		o.waiting++
	}
	o.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		o.mu.Lock()
		o.waiting--
		o.mu.Unlock()
	}()
	select {
	case o.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (o *Origin) leave() { <-o.slots }

func (o *Origin) ownsNow(k ident.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.covering(k) != nil
}

// covering finds the lease that covers a key now. The caller holds mu.
func (o *Origin) covering(k ident.Key) *lease {
	now, slice := o.mark().At, ident.SliceOf(k, o.Slices)
	for _, l := range o.leases {
		if l.owns(k, slice, now) {
			return l
		}
	}
	return nil
}

// run records that the request runs, at one moment with the check of ownership:
// a lease that lapsed while the request waited for a slot must not count.
func (o *Origin) run(id ident.Request, key ident.Key, cancel context.CancelFunc) (*Served, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := Served{Server: o.Server, ID: id, Key: key, At: time.Now()}
	if o.Keyed {
		l := o.covering(key)
		if l == nil {
			return nil, false
		}
		s.Fence = l.fence
	}
	o.running[id] = cancel
	return o.Record.add(s), true
}

func (o *Origin) ended(id ident.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, id)
}

func (o *Origin) work(ctx context.Context, w http.ResponseWriter, r *http.Request, s *Served) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	o.Record.finish(s, n)
	o.hold(ctx, r)
	if o.take(&o.snap) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderServer, string(o.Server))
	w.Header().Set(HeaderID, string(s.ID))
	w.Header().Set(HeaderBytes, strconv.FormatInt(n, 10))
	w.Header().Set("Trailer", TrailerSum)
	if status, err := strconv.Atoi(r.URL.Query().Get(ParamStatus)); err == nil {
		w.WriteHeader(status)
	}
	o.body(w, r, s)
}

// hold keeps the slot for as long as the work takes.
func (o *Origin) hold(ctx context.Context, r *http.Request) {
	d := o.Work + o.extra()
	if more, err := time.ParseDuration(r.URL.Query().Get(ParamWork)); err == nil {
		d += more
	}
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// body answers with the wanted number of bytes, or with one line that names the
// request, and the sum as a trailer.
func (o *Origin) body(w http.ResponseWriter, r *http.Request, s *Served) {
	line := fmt.Sprintf("%s served %s key=%s\n", o.Server, s.ID, s.Key)
	size, err := strconv.Atoi(r.URL.Query().Get(ParamSize))
	if err != nil {
		size = len(line)
	}
	cut := -1
	if o.take(&o.cut) {
		cut = size / 2
	}
	sum := fnv.New64a()
	for sent := 0; sent < size; {
		piece := line[:min(len(line), size-sent)]
		if cut >= 0 && sent+len(piece) > cut {
			piece = piece[:max(cut-sent, 0)]
		}
		sum.Write([]byte(piece))
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		sent += len(piece)
		if cut >= 0 && sent >= cut {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(TrailerSum, strconv.FormatUint(sum.Sum64(), 16))
}
