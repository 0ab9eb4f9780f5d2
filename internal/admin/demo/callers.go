package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
	"hawthornfield.org/hawthornfield/internal/fake/origin"
)

// class names what a caller did.
type class string

const (
	lookup  class = "lookup"
	submit  class = "submission"
	uploads class = "upload"
	hurried class = "hurried"
)

// attempt is one request as its caller saw it.
type attempt struct {
	class  class
	id     ident.Request
	key    ident.Key
	vm     int
	start  time.Time
	took   time.Duration
	status int           // zero when no answer came
	ran    kinds.Ran     // what the answer promises
	within time.Duration // the caller's own deadline; zero leaves it to the rule
	whole  bool          // a 200 whose body names this request and key, with the right sum
	cut    bool          // the connection broke after it was opened
}

func (a *attempt) ok() bool { return a.status == http.StatusOK }

// callers send requests through the entry VMs, as the platform's balancer does:
// to those that say they are ready.
type callers struct {
	site   *site
	client *http.Client
	ctx    context.Context // of their requests
	cancel context.CancelFunc
	group  group.Group
	rng    *rand.Rand
	turn   atomic.Uint64
	n      atomic.Int64

	mu  sync.Mutex
	all []attempt
}

// Shares and sizes of the mix.
const (
	repeated   = 5       // one submission in five is sent again, through another VM
	uploadSize = 1 << 20 // bytes
	hotShare   = 10      // one lookup in ten asks for the hot key
	seed       = 20261202

	lookupTries = 50
	askAgain    = 50 * time.Millisecond

	// dueWait is how long answers are waited for after the last request was sent. A
	// caller without one by then never got it.
	dueWait = 30 * time.Second

	burstCount  = 150
	burstSize   = 4 << 10
	burstWithin = 150 * time.Millisecond
	longCount   = 6
	longWork    = 400 * time.Millisecond
)

func newCallers(ctx context.Context, s *site) *callers {
	ctx, cancel := context.WithCancel(ctx)
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: notice / 2}
	return &callers{site: s, client: &http.Client{Transport: t}, ctx: ctx, cancel: cancel, rng: rand.New(rand.NewPCG(seed, uint64(len(s.name))))}
}

// run sends the mix until stop ends, and waits for the answers that are due.
func (c *callers) run(stop context.Context) {
	u := &c.site.user
	tick := time.NewTicker(time.Second / time.Duration(u.keyed.rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
		case <-stop.Done():
			c.drain()
			return
		}
		c.lookup()
		if i%(u.keyed.rate/u.once.rate) == 0 {
			c.submit()
		}
		if i%(u.keyed.rate/u.upload.rate) == 0 {
			c.upload()
		}
	}
}

// drain waits for the answers that are due.
func (c *callers) drain() {
	defer c.cancel()
	defer time.AfterFunc(dueWait, c.cancel).Stop()
	_ = c.group.Wait()
	c.client.CloseIdleConnections()
}

// hot is the key that everybody asks for.
func (c *callers) hot() ident.Key { return ident.Key(fmt.Sprintf("%s-%d", c.site.noun, 7)) }

func (c *callers) key() ident.Key {
	if c.rng.IntN(hotShare) == 0 {
		return c.hot()
	}
	return ident.Key(fmt.Sprintf("%s-%d", c.site.noun, c.rng.IntN(c.site.keys)))
}

func (c *callers) id(kind class) ident.Request {
	return ident.Request(fmt.Sprintf("%s-%s-%d", c.site.noun, kind, c.n.Add(1)))
}

// lookup asks for a key, and goes on asking while there is no answer: the time
// until there is one is what the key was unavailable for.
func (c *callers) lookup() {
	a := attempt{class: lookup, id: c.id(lookup), key: c.key()}
	path := fmt.Sprintf("/%s/%s", c.site.noun, a.key)
	c.group.Go(func(context.Context) error {
		for range lookupTries {
			c.send(&a, http.MethodGet, path, nil)
			if a.ok() || !group.Sleep(c.ctx, askAgain) {
				return nil
			}
		}
		return nil
	})
}

// submit sends a receipt or a sanction. Some callers send it again at once,
// through another entry VM, as impatient ones do; all send it again while the
// answer is that it did not run.
func (c *callers) submit() {
	a := attempt{class: submit, id: c.id(submit), key: c.key()}
	path := fmt.Sprintf("/%s/%s/%s", c.site.noun, a.key, c.site.once.name)
	send := func(a attempt) {
		const tries = 5
		for range tries {
			c.send(&a, http.MethodPost, path, []byte("load "+string(a.id)))
			if a.ran != kinds.RanNo || !group.Sleep(c.ctx, time.Second) {
				return
			}
		}
	}
	copies := 1
	if c.rng.IntN(repeated) == 0 {
		copies = 2
	}
	for range copies {
		c.group.Go(func(context.Context) error {
			send(a)
			return nil
		})
	}
}

func (c *callers) upload() {
	a := attempt{class: uploads, id: c.id(uploads), key: ident.Key("batch-" + strconv.FormatInt(c.n.Load(), 10))}
	body := bytes.Repeat([]byte("sugar and beet\n"), uploadSize/15)
	c.group.Go(func(context.Context) error {
		c.send(&a, http.MethodPut, "/upload/"+string(a.key), body)
		return nil
	})
}

// burst sends many uploads at once whose callers will not wait: more than the
// service can do in that time, so some must be refused.
func (c *callers) burst() {
	body := bytes.Repeat([]byte("x"), burstSize)
	for range burstCount {
		a := attempt{class: hurried, id: c.id(hurried), within: burstWithin}
		c.group.Go(func(context.Context) error {
			c.send(&a, http.MethodPut, "/upload/hurried", body)
			return nil
		})
	}
}

// long starts uploads through one entry VM that take a while.
func (c *callers) long(vm int) {
	for range longCount {
		a := attempt{class: uploads, id: c.id(uploads), vm: vm}
		c.group.Go(func(context.Context) error {
			c.sendTo(&a, http.MethodPut, "/upload/slow?"+origin.ParamWork+"="+longWork.String(), []byte("slow"))
			return nil
		})
	}
}

// send makes one attempt through the next entry VM.
func (c *callers) send(a *attempt, method, path string, body []byte) {
	a.vm = c.pick()
	c.sendTo(a, method, path, body)
}

// sendTo makes one attempt and notes it.
func (c *callers) sendTo(a *attempt, method, path string, body []byte) {
	a.start, a.status, a.ran, a.whole, a.cut = time.Now(), 0, "", false, false
	url := "http://" + c.site.vms[a.vm].Callers().String() + path
	r, err := http.NewRequestWithContext(c.ctx, method, url, bytes.NewReader(body))
	if err == nil {
		r.Header.Set(relay.HeaderID, string(a.id))
		if a.within > 0 {
			r.Header.Set(relay.HeaderDeadline, strconv.FormatInt(a.within.Milliseconds(), 10))
		}
		r.Header.Set(relay.HeaderCaller, callerOf(a.id))
		c.receive(a, r, len(body))
	}
	a.took = time.Since(a.start)
	c.mu.Lock()
	c.all = append(c.all, *a)
	c.mu.Unlock()
}

// callerOf spreads the requests over as many callers as a small site has. All from
// one would be a hot caller, who is held to a fair share and refused beyond it.
func callerOf(id ident.Request) string {
	const callers = 97
	h := fnv.New32a()
	h.Write([]byte(id))
	return "caller-" + strconv.Itoa(int(h.Sum32()%callers))
}

// pick takes the entry VMs in turn and passes over those that are not ready.
func (c *callers) pick() int {
	n := len(c.site.vms)
	first := int(c.turn.Add(1)) % n
	for i := range n {
		if at := (first + i) % n; c.site.vms[at].Ready() == nil {
			return at
		}
	}
	return first
}

func (c *callers) receive(a *attempt, r *http.Request, sent int) {
	resp, err := c.client.Do(r)
	if err != nil {
		a.cut = !refused(err)
		a.ran = kinds.RanUnknown
		if !a.cut {
			a.ran = kinds.RanNo
		}
		return
	}
	defer resp.Body.Close()
	sum := fnv.New64a()
	text, err := io.ReadAll(io.TeeReader(resp.Body, sum))
	a.status, a.ran = resp.StatusCode, kinds.Ran(resp.Header.Get(kinds.HeaderRan))
	if err != nil {
		a.cut, a.ran = true, kinds.RanUnknown
		return
	}
	if !a.ok() {
		return
	}
	a.ran = kinds.RanYes
	a.whole = strings.Contains(string(text), "served "+string(a.id)+" ") &&
		resp.Trailer.Get(origin.TrailerSum) == fmt.Sprintf("%x", sum.Sum64()) &&
		(sent == 0 || resp.Header.Get(origin.HeaderBytes) == strconv.Itoa(sent)) &&
		(a.class != lookup || strings.Contains(string(text), "key="+string(a.key)+"\n"))
}

// refused reports whether the connection was never opened.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *callers) attempts() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.all...)
}
