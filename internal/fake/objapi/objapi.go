package objapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/plat/call"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// Paths of the protocol.
const (
	PathObject = "/o/"
	PathList   = "/list"
	PathWatch  = "/watch"
	PathVMs    = "/vms"
)

// maxWatchWait is how long a watch waits for a change before it is answered without
// one.
const maxWatchWait = 10 * time.Second

// API is the fake platform. Its Handler can be served by any HTTP server.
//
//	api := objapi.New()
//	srv := httptest.NewServer(api.Handler())
//	api.Outage(true)
type API struct {
	faults
	store *memory
	mux   *http.ServeMux
}

// ListReply answers a List or a Watch.
type ListReply struct {
	Objects []object.Object `json:"objects,omitempty"`
	Changes []object.Change `json:"changes,omitempty"`
	At      object.Cursor   `json:"at"`
}

// PutReply answers a Put.
type PutReply struct {
	Version object.Version `json:"version"`
}

// New creates a platform without objects and VMs.
func New() *API {
	a := &API{store: newMemory(), mux: http.NewServeMux()}
	a.outageBegan = make(chan struct{})
	a.mux.HandleFunc("GET "+PathObject+"{name...}", a.get)
	a.mux.HandleFunc("PUT "+PathObject+"{name...}", a.put)
	a.mux.HandleFunc("DELETE "+PathObject+"{name...}", a.del)
	a.mux.HandleFunc("GET "+PathList, a.list)
	a.mux.HandleFunc("GET "+PathWatch, a.watch)
	a.mux.HandleFunc("GET "+PathVMs, a.vms)
	return a
}

// Handler serves the protocol.
func (a *API) Handler() http.Handler { return http.HandlerFunc(a.serve) }

// SetVM adds or changes a row of the VM list.
func (a *API) SetVM(vm vmlist.VM) { a.store.setVM(vm) }

// RecordHistory records every value written to an object from now on, with the time of
// the write. Tests read from it the order of the writes in the store, which the writers
// themselves learn late, or never if an answer is lost.
func (a *API) RecordHistory(name string) { a.store.recordHistory(name) }

// History returns the values written since RecordHistory, in order.
func (a *API) History(name string) []Written { return a.store.historyOf(name) }

func (a *API) serve(w http.ResponseWriter, r *http.Request) {
	down, delay, _ := a.state()
	if r.URL.Path == PathVMs {
		down = a.isVMListDown()
	}
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	if down {
		a.countRefused(r)
		panic(http.ErrAbortHandler)
	}
	a.mux.ServeHTTP(w, r)
}

// countRefused counts a call that an outage cuts off; all reads count as Gets.
func (a *API) countRefused(r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		a.count(func(c *Calls) *uint64 { return &c.Puts })
	case http.MethodDelete:
		a.count(func(c *Calls) *uint64 { return &c.Deletes })
	default:
		a.count(func(c *Calls) *uint64 { return &c.Gets })
	}
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Gets })
	o, err := a.store.get(r.PathValue("name"))
	if err == nil && notModified(w, r, strconv.FormatUint(uint64(o.Version), 36)+"-"+hashOf(o.Value)) {
		return
	}
	a.writeReply(w, o, err)
}

func hashOf(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 36) }

// notModified sets the answer's ETag. If the request's If-None-Match names that tag, it
// answers 304 and reports true (RFC 9110, 13.1.2).
func notModified(w http.ResponseWriter, r *http.Request, tag string) bool {
	tag = strconv.Quote(tag)
	w.Header().Set(call.HeaderETag, tag)
	if r.Header.Get(call.HeaderIfNoneMatch) != tag {
		return false
	}
	w.WriteHeader(http.StatusNotModified)
	return true
}

func (a *API) put(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Puts })
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, object.MaxValue+1))
	if err != nil {
		a.writeReply(w, nil, kinds.Wrap(kinds.TooLarge, err, "read value"))
		return
	}
	v, err := a.store.put(r.PathValue("name"), value, oldVersion(r))
	if err == nil && a.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	a.writeReply(w, PutReply{Version: v}, err)
}

func (a *API) del(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Deletes })
	err := a.store.del(r.PathValue("name"), oldVersion(r))
	if err == nil && a.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	a.writeReply(w, PutReply{}, err)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Lists })
	all, at := a.store.list(r.FormValue("prefix"))
	a.writeReply(w, ListReply{Objects: all, At: at}, nil)
}

// vms answers with the VM list, or with 304 if the caller has it already.
func (a *API) vms(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.VMs })
	all := a.store.listVMs()
	raw, err := json.Marshal(all)
	if err != nil {
		a.writeReply(w, all, err)
		return
	}
	if notModified(w, r, hashOf(raw)) {
		return
	}
	a.writeReply(w, all, nil)
}

func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Watches })
	_, _, outageBegan := a.state()
	after := object.Cursor(uintParam(r, "after"))
	end := time.NewTimer(maxWatchWait)
	defer end.Stop()
	for {
		found, at, changed, err := a.store.since(r.FormValue("prefix"), after)
		if err != nil || len(found) > 0 {
			a.writeReply(w, ListReply{Changes: found, At: at}, err)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			a.writeReply(w, ListReply{At: at}, nil)
			return
		case <-outageBegan:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (a *API) writeReply(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(kinds.Of(err).Answer().Status)
		return
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// oldVersion returns the version that a write expects to replace.
func oldVersion(r *http.Request) object.Version { return object.Version(uintParam(r, "old")) }

// uintParam returns a numeric query parameter, or 0 if it is missing or malformed.
func uintParam(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
