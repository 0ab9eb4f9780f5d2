package main

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*object // by kind and name
	events  []event
	changed chan struct{}
	dropped uint64 // history up to this revision is gone
	away    bool   // the store is down for the instances too
	era     uint64 // told in all answers once the store has returned from a copy or may
	tellEra bool
	copies  []storeCopy
}

// storeCopy is the content of the store at some time.
type storeCopy struct {
	at      time.Time
	rev     uint64
	objects map[string]map[string]*object
	events  []event
	dropped uint64
}

// keepCopies keeps copies of the last seconds, until stop is closed.
func (s *Store) keepCopies(stop chan struct{}) {
	s.mu.Lock()
	s.tellEra = true
	s.mu.Unlock()
	for {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		s.mu.Lock()
		c := storeCopy{at: time.Now(), rev: s.rev, objects: map[string]map[string]*object{}, events: slices.Clone(s.events), dropped: s.dropped}
		for kind, all := range s.objects {
			c.objects[kind] = maps.Clone(all)
		}
		s.copies = append(s.copies, c)
		if len(s.copies) > 40 {
			s.copies = s.copies[1:]
		}
		s.mu.Unlock()
	}
}

// returnFromCopy goes on from the content of some time ago, in the next era.
func (s *Store) returnFromCopy(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.copies) - 1; i >= 0; i-- {
		c := s.copies[i]
		if time.Since(c.at) < ago {
			continue
		}
		s.rev, s.events, s.dropped = c.rev, slices.Clone(c.events), c.dropped
		s.objects = map[string]map[string]*object{}
		for kind, all := range c.objects {
			s.objects[kind] = maps.Clone(all)
		}
		s.copies = s.copies[:i+1]
		break
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// tell adds the header that names the era.
func (s *Store) tell(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tellEra {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era+1, 10))
	}
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"createRevision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	rev     uint64
	kind    string
	Removed bool    `json:"removed"`
	Object  *object `json:"object"`
}

func newStore() *Store {
	return &Store{rev: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// setAway says whether the store is down for the instances.
func (s *Store) setAway(away bool) { s.mu.Lock(); s.away = away; s.mu.Unlock() }

// lapse removes all entries of instances, as their silence does while the store is down.
func (s *Store) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.objects["servers"] {
		s.del("servers", name)
	}
}

// put writes an object as the operator or an instance does.
func (s *Store) put(kind, name string, spec any) {
	b, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away && kind == "servers" {
		return
	}
	s.set(kind, name, b)
}

func (s *Store) set(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	old := s.objects[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.rev++
	o := &object{Metadata: meta{Name: name, Revision: s.rev, Created: s.rev, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.note(event{rev: s.rev, kind: kind, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.del(kind, name)
}

func (s *Store) del(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	s.note(event{rev: s.rev, kind: kind, Removed: true, Object: o})
}

func (s *Store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// link is the way of one VM to the store, with the disruptions on it.
type link struct {
	store *Store
	addr  string
	ln    net.Listener

	mu       sync.Mutex
	mode     string        // "", "busy", "silent", "reset"
	lose     float64       // share of writes that are done and not answered
	lateBy   time.Duration // lost writes are done so much later
	delay    time.Duration
	writes   int
	rng      *rand.Rand
	onWrite  func(kind, name string, status int)
	lastCond time.Time
}

func (s *Store) link(ip string, seed uint64) *link {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal("store: %v", err)
	}
	l := &link{store: s, addr: ln.Addr().String(), ln: ln, rng: rand.New(rand.NewPCG(seed, 3))}
	go http.Serve(ln, l)
	return l
}

func (l *link) set(mode string) { l.mu.Lock(); l.mode = mode; l.mu.Unlock() }

func (l *link) setLoss(share float64, late time.Duration) {
	l.mu.Lock()
	l.lose, l.lateBy = share, late
	l.mu.Unlock()
}

func (l *link) setDelay(d time.Duration) { l.mu.Lock(); l.delay = d; l.mu.Unlock() }

func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	l.mu.Lock()
	mode, delay := l.mode, l.delay
	write := r.Method != http.MethodGet
	lost := write && l.rng.Float64() < l.lose
	late := l.lateBy
	l.mu.Unlock()
	time.Sleep(4*time.Millisecond + delay)
	switch mode {
	case "busy":
		l.store.tell(w)
		w.WriteHeader(503)
		return
	case "silent":
		select {
		case <-r.Context().Done():
		case <-time.After(60 * time.Second):
		}
		panic(http.ErrAbortHandler)
	case "reset":
		panic(http.ErrAbortHandler)
	}
	if lost {
		if late > 0 {
			time.AfterFunc(late, func() { l.store.write(r, body) })
		} else {
			l.store.write(r, body)
		}
		select {
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	if write {
		status, o := l.store.write(r, body)
		if status < 300 {
			l.mu.Lock()
			l.lastCond = time.Now()
			l.mu.Unlock()
		}
		l.reply(w, status, o)
		return
	}
	l.read(w, r)
}

func (l *link) reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	l.store.tell(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func split(r *http.Request) (kind, name string) {
	p := strings.TrimPrefix(r.URL.Path, "/objects/")
	p = strings.TrimSuffix(p, "/status")
	kind, name, _ = strings.Cut(p, "/")
	return
}

func (s *Store) write(r *http.Request, body []byte) (int, any) {
	kind, name := split(r)
	var in object
	_ = json.Unmarshal(body, &in)
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Metadata.Name != "" {
		name = in.Metadata.Name
	}
	old := s.objects[kind][name]
	want := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && old != nil:
		return 409, old
	case r.Method != http.MethodPost && old == nil:
		return 404, map[string]any{}
	case old != nil && want != 0 && want != old.Metadata.Revision:
		return 409, old
	case r.Method == http.MethodDelete:
		s.del(kind, name)
		return 200, old
	}
	return 200, s.set(kind, name, in.Spec)
}

func (l *link) read(w http.ResponseWriter, r *http.Request) {
	s := l.store
	kind, name := split(r)
	q := r.URL.Query()
	s.mu.Lock()
	if name != "" {
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			l.reply(w, 404, map[string]any{})
			return
		}
		l.reply(w, 200, o)
		return
	}
	if !q.Has("watch") {
		var listed []string
		for n := range s.objects[kind] {
			if n > q.Get("after") {
				listed = append(listed, n)
			}
		}
		sort.Strings(listed)
		more := len(listed) > 500
		listed = listed[:min(len(listed), 500)]
		items := []*object{}
		for _, n := range listed {
			items = append(items, s.objects[kind][n])
		}
		rev := s.rev
		s.mu.Unlock()
		l.reply(w, 200, map[string]any{"items": items, "hasMore": more, names["revision"]: rev})
		return
	}
	s.mu.Unlock()
	after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(q.Get(names["wait"]))
	end := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer end.Stop()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		l.mu.Lock()
		mode := l.mode
		l.mu.Unlock()
		if mode == "silent" {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if mode != "" {
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		if after < s.dropped || after > s.rev {
			s.mu.Unlock()
			l.reply(w, 410, map[string]any{})
			return
		}
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > after {
				found = append(found, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			l.reply(w, 200, map[string]any{"events": found, names["revision"]: rev})
			return
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-end.C:
			l.reply(w, 200, map[string]any{"events": found, names["revision"]: rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// forget drops the history.
func (s *Store) forget() { s.mu.Lock(); s.dropped = s.rev; s.mu.Unlock() }
