package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store. It answers as PROTOCOL.md says, keeps
// its whole history and causes no trouble.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]any // by kind/name
	events  []storeEvent
	changed chan struct{}
}

type storeEvent struct {
	rev     uint64
	kind    string
	removed bool
	object  map[string]any
}

func newStore() *store {
	return &store{rev: 1, objects: map[string]map[string]any{}, changed: make(chan struct{})}
}

func (s *store) start(addr string) {
	l, err := net.Listen("tcp", addr)
	check(err)
	go func() { _ = http.Serve(l, s) }()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, one := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && one:
		s.mu.Lock()
		o, ok := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodPut && in.Metadata.Revision != 0 && in.Metadata.Revision != revisionOf(old):
		reply(w, http.StatusConflict, old)
		return
	}
	reply(w, http.StatusOK, s.set(kind, name, in.Spec))
}

// set stores an object. The caller holds mu.
func (s *store) set(kind, name string, spec json.RawMessage) map[string]any {
	old, exists := s.objects[kind+"/"+name]
	if exists && string(old["spec"].(json.RawMessage)) == string(spec) {
		return old
	}
	s.rev++
	created := s.rev
	if exists {
		created = old["metadata"].(map[string]any)["createRevision"].(uint64)
	}
	o := map[string]any{
		"metadata": map[string]any{"name": name, "revision": s.rev, "createRevision": created, "finalizers": []string{}, "deleting": false},
		"spec":     spec, "status": nil,
	}
	s.objects[kind+"/"+name] = o
	s.addEvent(storeEvent{rev: s.rev, kind: kind, object: o})
	return o
}

// put stores an object for the operator or a server.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, b)
}

// drop removes an object for the platform.
func (s *store) drop(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind+"/"+name]; ok {
		s.rev++
		delete(s.objects, kind+"/"+name)
		s.addEvent(storeEvent{rev: s.rev, kind: kind, removed: true, object: o})
	}
}

func (s *store) addEvent(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	want, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
		return
	case want != 0 && want != revisionOf(o):
		reply(w, http.StatusConflict, o)
		return
	}
	s.rev++
	delete(s.objects, kind+"/"+name)
	s.addEvent(storeEvent{rev: s.rev, kind: kind, removed: true, object: o})
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var names []string
	for path := range s.objects {
		if k, name, _ := strings.Cut(path, "/"); k == kind && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	const page = 500
	items := []any{}
	for _, name := range names[:min(len(names), page)] {
		items = append(items, s.objects[kind+"/"+name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(names) > page, nStoreRev: s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get(nWait))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		more, rev := s.changed, s.rev
		events := []any{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > after {
				events = append(events, map[string]any{"removed": e.removed, "object": e.object})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, nStoreRev: rev})
			return
		}
		select {
		case <-more:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, nStoreRev: rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func revisionOf(o map[string]any) uint64 { return o["metadata"].(map[string]any)["revision"].(uint64) }

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
