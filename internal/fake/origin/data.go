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

// Headers of requests to a backend server.
const (
	HeaderID  = "Hawthorn-Id"
	HeaderKey = "Hawthorn-Key"
)

// Headers and trailer of an answer.
const (
	HeaderServer = "Origin-Server"
	HeaderBytes  = "Origin-Bytes" // length of the request's body
	TrailerSum   = "Origin-Sum"   // FNV-1a of the answer's body, hexadecimal
)

// Query parameters by which a caller determines the work and the answer.
const (
	ParamWork   = "work"   // time in the slot in addition to Config.Work, as a Go duration
	ParamSize   = "size"   // bytes of the answer
	ParamStatus = "status" // HTTP status of the answer
)

// serveData serves one data request. It answers 421 if the server does not own the key,
// and 503 if all slots and queue places are taken.
func (o *Origin) serveData(w http.ResponseWriter, r *http.Request) {
	id, key := ident.Request(r.Header.Get(HeaderID)), ident.Key(r.Header.Get(HeaderKey))
	if o.Keyed && !o.owns(key) {
		o.count(func(s *Stats) *int { return &s.Misses })
		refuseUnrun(w, http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !o.acquireSlot(ctx) {
		o.count(func(s *Stats) *int { return &s.Shed })
		refuseUnrun(w, http.StatusServiceUnavailable)
		return
	}
	defer o.releaseSlot()
	served, ok := o.startRequest(id, key, cancel)
	if !ok {
		refuseUnrun(w, http.StatusMisdirectedRequest)
		return
	}
	defer o.endRequest(id)
	o.handleRequest(ctx, w, r, served)
}

// refuseUnrun answers with an error status and states that the request did not run.
func refuseUnrun(w http.ResponseWriter, status int) {
	w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
	w.WriteHeader(status)
}

// acquireSlot takes a slot, waiting in the queue if all are busy. It reports false if
// the queue is full or ctx ends.
func (o *Origin) acquireSlot(ctx context.Context) bool {
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

func (o *Origin) releaseSlot() { <-o.slots }

func (o *Origin) owns(k ident.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaseCovering(k) != nil
}

// leaseCovering returns an unexpired lease that covers the key, or nil. The caller
// holds mu.
func (o *Origin) leaseCovering(k ident.Key) *lease {
	now, slice := o.mark().At, ident.SliceOf(k, o.Slices)
	for _, l := range o.leases {
		if l.owns(k, slice, now) {
			return l
		}
	}
	return nil
}

// startRequest checks ownership and records the request as running, under one lock: a
// lease that expired while the request waited for a slot must not count.
func (o *Origin) startRequest(id ident.Request, key ident.Key, cancel context.CancelFunc) (*Served, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := Served{Server: o.Server, ID: id, Key: key, At: time.Now()}
	if o.Keyed {
		l := o.leaseCovering(key)
		if l == nil {
			return nil, false
		}
		s.Fence = l.fence
	}
	o.running[id] = cancel
	return o.Record.add(s), true
}

func (o *Origin) endRequest(id ident.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, id)
}

// handleRequest reads the request's body, occupies the slot and answers.
func (o *Origin) handleRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, s *Served) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	o.Record.finish(s, n)
	o.simulateWork(ctx, r)
	if o.consume(&o.breakNext) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderServer, string(o.Server))
	w.Header().Set(HeaderID, string(s.ID))
	w.Header().Set(HeaderBytes, strconv.FormatInt(n, 10))
	w.Header().Set("Trailer", TrailerSum)
	if status, err := strconv.Atoi(r.URL.Query().Get(ParamStatus)); err == nil {
		w.WriteHeader(status)
	}
	o.writeBody(w, r, s)
}

// simulateWork waits for as long as the request occupies its slot, or until ctx ends.
func (o *Origin) simulateWork(ctx context.Context, r *http.Request) {
	d := o.Work + o.extraWork()
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

// writeBody writes the requested number of bytes, or one line that names the request,
// and then the checksum as a trailer. With a pending Truncate it breaks off halfway.
func (o *Origin) writeBody(w http.ResponseWriter, r *http.Request, s *Served) {
	line := fmt.Sprintf("%s served %s key=%s\n", o.Server, s.ID, s.Key)
	size, err := strconv.Atoi(r.URL.Query().Get(ParamSize))
	if err != nil {
		size = len(line)
	}
	cutAt := -1
	if o.consume(&o.truncateNext) {
		cutAt = size / 2
	}
	sum := fnv.New64a()
	for sent := 0; sent < size; {
		piece := line[:min(len(line), size-sent)]
		if cutAt >= 0 && sent+len(piece) > cutAt {
			piece = piece[:max(cutAt-sent, 0)]
		}
		sum.Write([]byte(piece))
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		sent += len(piece)
		if cutAt >= 0 && sent >= cutAt {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(TrailerSum, strconv.FormatUint(sum.Sum64(), 16))
}
