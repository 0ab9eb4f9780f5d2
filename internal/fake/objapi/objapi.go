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

// watchWait is how long the platform lets a watch wait before it answers with
// no change.
const watchWait = 10 * time.Second

// API is the stand-in. Serve its Handler anywhere.
//
//	api := objapi.New()
//	srv := httptest.NewServer(api.Handler())
//	api.Outage(true)
type API struct {
	knobs
	mem *memory
	mux *http.ServeMux
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

// New makes an empty platform.
func New() *API {
	a := &API{mem: newMemory(), mux: http.NewServeMux()}
	a.change = make(chan struct{})
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
func (a *API) SetVM(vm vmlist.VM) { a.mem.setVM(vm) }

// RecordHistory remembers every value that an object is given from now on, with the moment
// of each write. A checker reads there in which order the store decided, which
// the writers themselves learn late, or never when an answer is lost.
func (a *API) RecordHistory(name string) { a.mem.keep(name) }

// History returns the values that were written since Keep, in their order.
func (a *API) History(name string) []Written { return a.mem.written(name) }

func (a *API) serve(w http.ResponseWriter, r *http.Request) {
	down, delay, _ := a.state()
	if r.URL.Path == PathVMs {
		down = a.listDown()
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
	o, err := a.mem.get(r.PathValue("name"))
	if err == nil && unchanged(w, r, strconv.FormatUint(uint64(o.Version), 36)+"-"+hashOf(o.Value)) {
		return
	}
	a.answer(w, o, err)
}

func hashOf(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 36) }

// unchanged gives an answer its tag, and answers in a line whoever named that tag
// as what is known (RFC 9110, 13.1.2).
func unchanged(w http.ResponseWriter, r *http.Request, tag string) bool {
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
		a.answer(w, nil, kinds.Wrap(kinds.TooLarge, err, "read value"))
		return
	}
	v, err := a.mem.put(r.PathValue("name"), value, old(r))
	if err == nil && a.losing() {
		panic(http.ErrAbortHandler)
	}
	a.answer(w, PutReply{Version: v}, err)
}

func (a *API) del(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Deletes })
	err := a.mem.del(r.PathValue("name"), old(r))
	if err == nil && a.losing() {
		panic(http.ErrAbortHandler)
	}
	a.answer(w, PutReply{}, err)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Lists })
	all, at := a.mem.list(r.FormValue("prefix"))
	a.answer(w, ListReply{Objects: all, At: at}, nil)
}

// vms answers with the list, or in a line to who names it by its tag.
func (a *API) vms(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.VMs })
	all := a.mem.listVMs()
	raw, err := json.Marshal(all)
	if err != nil {
		a.answer(w, all, err)
		return
	}
	if unchanged(w, r, hashOf(raw)) {
		return
	}
	a.answer(w, all, nil)
}

func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	a.count(func(c *Calls) *uint64 { return &c.Watches })
	_, _, change := a.state()
	after := object.Cursor(number(r, "after"))
	end := time.NewTimer(watchWait)
	defer end.Stop()
	for {
		found, at, wake, err := a.mem.since(r.FormValue("prefix"), after)
		if err != nil || len(found) > 0 {
			a.answer(w, ListReply{Changes: found, At: at}, err)
			return
		}
		select {
		case <-wake:
		case <-end.C:
			a.answer(w, ListReply{At: at}, nil)
			return
		case <-change:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (a *API) answer(w http.ResponseWriter, v any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		w.WriteHeader(kinds.Of(err).Answer().Status)
		return
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func old(r *http.Request) object.Version { return object.Version(number(r, "old")) }

func number(r *http.Request, name string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
