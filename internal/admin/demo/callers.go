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

// class is the kind of a request. It is printed in the table of answers.
type class string

const (
	classLookup     class = "lookup"
	classSubmission class = "submission"
	classUpload     class = "upload"
	classHurried    class = "hurried" // uploads with a short deadline, see sendBurst
)

// attempt is one request and its outcome, as its caller saw them.
type attempt struct {
	class     class
	id        ident.Request
	key       ident.Key
	vm        int
	start     time.Time
	took      time.Duration
	status    int           // zero if there was no answer
	ran       kinds.Ran     // whether the request ran, according to the answer
	timeout   time.Duration // sent as the caller's deadline; zero means the rule's deadline
	intact    bool          // status 200, and the body names this request and key and has the right checksum
	connBroke bool          // the connection broke after it was opened
}

func (a *attempt) ok() bool { return a.status == http.StatusOK }

// callers sends requests of many callers to the entry VMs. Like the platform's load
// balancer, it uses only entry VMs that report that they are ready.
type callers struct {
	site   *site
	client *http.Client
	ctx    context.Context // of all requests
	cancel context.CancelFunc
	group  group.Group
	rng    *rand.Rand
	nextVM atomic.Uint64
	lastID atomic.Int64

	mu       sync.Mutex
	attempts []attempt
}

// Shares and sizes of the requests.
const (
	repeatOneIn = 5 // one submission in five is sent twice, through different VMs
	uploadBytes = 1 << 20
	hotOneIn    = 10       // one lookup in ten asks for the hot key
	seed        = 20261202 // of the random choices

	// Retries of a lookup that gets no answer.
	maxLookupTries   = 50
	lookupRetryDelay = 50 * time.Millisecond

	// drainTimeout is the wait for outstanding answers after the last request was sent.
	// Requests without an answer by then count as unanswered.
	drainTimeout = 30 * time.Second

	// The burst of uploads with a short deadline.
	burstCount   = 150
	burstBytes   = 4 << 10
	burstTimeout = 150 * time.Millisecond

	// The slow uploads that are in flight when an entry VM is shut down.
	slowCount = 6
	slowWork  = 400 * time.Millisecond
)

func newCallers(ctx context.Context, s *site) *callers {
	ctx, cancel := context.WithCancel(ctx)
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: shutdownDelay / 2}
	return &callers{site: s, client: &http.Client{Transport: t}, ctx: ctx, cancel: cancel, rng: rand.New(rand.NewPCG(seed, uint64(len(s.name))))}
}

// run sends requests of all classes until stop is done, then waits for the outstanding
// answers.
func (c *callers) run(stop context.Context) {
	spec := &c.site.siteSpec
	tick := time.NewTicker(time.Second / time.Duration(spec.lookups.rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-tick.C:
		case <-stop.Done():
			c.drain()
			return
		}
		c.lookup()
		if i%(spec.lookups.rate/spec.submissions.rate) == 0 {
			c.submit()
		}
		if i%(spec.lookups.rate/spec.uploads.rate) == 0 {
			c.upload()
		}
	}
}

// drain waits for the outstanding answers, for at most drainTimeout.
func (c *callers) drain() {
	defer c.cancel()
	defer time.AfterFunc(drainTimeout, c.cancel).Stop()
	_ = c.group.Wait()
	c.client.CloseIdleConnections()
}

// hotKey returns the key that gets far more requests than any other.
func (c *callers) hotKey() ident.Key { return ident.Key(fmt.Sprintf("%s-%d", c.site.keyNoun, 7)) }

func (c *callers) randomKey() ident.Key {
	if c.rng.IntN(hotOneIn) == 0 {
		return c.hotKey()
	}
	return ident.Key(fmt.Sprintf("%s-%d", c.site.keyNoun, c.rng.IntN(c.site.keyCount)))
}

func (c *callers) newID(kind class) ident.Request {
	return ident.Request(fmt.Sprintf("%s-%s-%d", c.site.keyNoun, kind, c.lastID.Add(1)))
}

// lookup requests a key and retries until the request succeeds. The time until then is
// the time for which the key was unavailable.
func (c *callers) lookup() {
	a := attempt{class: classLookup, id: c.newID(classLookup), key: c.randomKey()}
	path := fmt.Sprintf("/%s/%s", c.site.keyNoun, a.key)
	c.group.Go(func(context.Context) error {
		for range maxLookupTries {
			c.send(&a, http.MethodGet, path, nil)
			if a.ok() || !group.Sleep(c.ctx, lookupRetryDelay) {
				return nil
			}
		}
		return nil
	})
}

// submit sends a submission, which must run at most once. Some callers send it twice at
// the same time, through different entry VMs. All repeat it while the answer says that it
// did not run.
func (c *callers) submit() {
	a := attempt{class: classSubmission, id: c.newID(classSubmission), key: c.randomKey()}
	path := fmt.Sprintf("/%s/%s/%s", c.site.keyNoun, a.key, c.site.submissions.name)
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
	if c.rng.IntN(repeatOneIn) == 0 {
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
	a := attempt{class: classUpload, id: c.newID(classUpload), key: ident.Key("batch-" + strconv.FormatInt(c.lastID.Load(), 10))}
	body := bytes.Repeat([]byte("sugar and beet\n"), uploadBytes/15)
	c.group.Go(func(context.Context) error {
		c.send(&a, http.MethodPut, "/upload/"+string(a.key), body)
		return nil
	})
}

// sendBurst sends many uploads with a short deadline at once. The service cannot process
// all of them in that time, so some must be refused.
func (c *callers) sendBurst() {
	body := bytes.Repeat([]byte("x"), burstBytes)
	for range burstCount {
		a := attempt{class: classHurried, id: c.newID(classHurried), timeout: burstTimeout}
		c.group.Go(func(context.Context) error {
			c.send(&a, http.MethodPut, "/upload/hurried", body)
			return nil
		})
	}
}

// startSlowUploads starts uploads through one entry VM that take slowWork each.
func (c *callers) startSlowUploads(vm int) {
	for range slowCount {
		a := attempt{class: classUpload, id: c.newID(classUpload), vm: vm}
		c.group.Go(func(context.Context) error {
			c.sendTo(&a, http.MethodPut, "/upload/slow?"+origin.ParamWork+"="+slowWork.String(), []byte("slow"))
			return nil
		})
	}
}

// send makes one attempt through the next ready entry VM.
func (c *callers) send(a *attempt, method, path string, body []byte) {
	a.vm = c.pickVM()
	c.sendTo(a, method, path, body)
}

// sendTo makes one attempt through the entry VM a.vm and records it.
func (c *callers) sendTo(a *attempt, method, path string, body []byte) {
	a.start, a.status, a.ran, a.intact, a.connBroke = time.Now(), 0, "", false, false
	url := "http://" + c.site.vms[a.vm].Callers().String() + path
	r, err := http.NewRequestWithContext(c.ctx, method, url, bytes.NewReader(body))
	if err == nil {
		r.Header.Set(relay.HeaderID, string(a.id))
		if a.timeout > 0 {
			r.Header.Set(relay.HeaderDeadline, strconv.FormatInt(a.timeout.Milliseconds(), 10))
		}
		r.Header.Set(relay.HeaderCaller, callerOf(a.id))
		c.roundTrip(a, r, len(body))
	}
	a.took = time.Since(a.start)
	c.mu.Lock()
	c.attempts = append(c.attempts, *a)
	c.mu.Unlock()
}

// callerOf distributes the requests over 97 callers, as many as a small site has. A
// single caller would be limited to its fair share and refused beyond it.
func callerOf(id ident.Request) string {
	const callerCount = 97
	h := fnv.New32a()
	h.Write([]byte(id))
	return "caller-" + strconv.Itoa(int(h.Sum32()%callerCount))
}

// pickVM returns the next ready entry VM in round-robin order. If none is ready, it
// returns the next one.
func (c *callers) pickVM() int {
	n := len(c.site.vms)
	first := int(c.nextVM.Add(1)) % n
	for i := range n {
		if at := (first + i) % n; c.site.vms[at].Ready() == nil {
			return at
		}
	}
	return first
}

// roundTrip sends the request and records the outcome in a.
func (c *callers) roundTrip(a *attempt, r *http.Request, sentBytes int) {
	resp, err := c.client.Do(r)
	if err != nil {
		a.connBroke = !dialFailed(err)
		a.ran = kinds.RanUnknown
		if !a.connBroke {
			a.ran = kinds.RanNo
		}
		return
	}
	defer resp.Body.Close()
	sum := fnv.New64a()
	answer, err := io.ReadAll(io.TeeReader(resp.Body, sum))
	a.status, a.ran = resp.StatusCode, kinds.Ran(resp.Header.Get(kinds.HeaderRan))
	if err != nil {
		a.connBroke, a.ran = true, kinds.RanUnknown
		return
	}
	if !a.ok() {
		return
	}
	a.ran = kinds.RanYes
	a.intact = strings.Contains(string(answer), "served "+string(a.id)+" ") &&
		resp.Trailer.Get(origin.TrailerSum) == fmt.Sprintf("%x", sum.Sum64()) &&
		(sentBytes == 0 || resp.Header.Get(origin.HeaderBytes) == strconv.Itoa(sentBytes)) &&
		(a.class != classLookup || strings.Contains(string(answer), "key="+string(a.key)+"\n"))
}

// dialFailed reports whether the connection was never opened.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// snapshot returns all attempts so far.
func (c *callers) snapshot() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
