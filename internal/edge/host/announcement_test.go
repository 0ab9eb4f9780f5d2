package host

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/node/evac"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Guards against requests to a server that leaves for as long after the announcement was heard as they may come after it was made.
func TestTheDrainTimeCountsFromTheAnnouncement(t *testing.T) {
	const drain = 2 * time.Second
	leaving := []object.Change{{Object: entryOf("s1", 12, bornAt(1)+`,"Leaving":true`)}}
	told := poll.ServerList{Rev: 12, Delta: true, List: []feed.Server{{Name: "s1", Rev: 12, Incarnation: 1, Leaving: true}}, Leaving: map[ident.Server]time.Duration{"s1": 300 * time.Millisecond}}
	for name, test := range map[string]struct {
		hear func(*serverTracker)
		ago  time.Duration // the announcement counts as made so long ago
	}{
		"its own watch": {func(tr *serverTracker) {
			tr.noteSource(true)
			tr.applyChanges(leaving, 12)
		}, 500 * time.Millisecond},
		"a copy of the store": {func(tr *serverTracker) {
			tr.noteSource(false)
			tr.applyChanges(leaving, 12)
		}, 500 * time.Millisecond},
		"a list": {func(tr *serverTracker) {
			tr.noteSource(true)
			tr.replaceAll([]object.Object{leaving[0].Object}, 12)
		}, 500 * time.Millisecond},
		"the leader": {func(tr *serverTracker) { tr.mergePeerList(told, 200*time.Millisecond) }, 500 * time.Millisecond},
		"its own watch, then the leader": {func(tr *serverTracker) {
			tr.noteSource(true)
			tr.applyChanges(leaving, 12)
			tr.mergePeerList(poll.ServerList{Rev: 13, Delta: true, List: told.List, Leaving: told.Leaving}, 400*time.Millisecond)
		}, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := newOrderTracker()
				tr.drain = drain
				tr.applyChanges([]object.Change{{Object: entryOf("s1", 10, bornAt(1))}}, 10)
				tr.hub.NoteAsOf(poll.Servers, clock.Now().Add(-500*time.Millisecond))
				test.hear(tr)
				tr.mu.Lock()
				defer tr.mu.Unlock()
				grace := tr.drainGrace() - test.ago
				left := time.Until(tr.sendUntil(feed.Server{Name: "s1"}))
				assert.Assert(t, left <= grace && left > grace-100*time.Millisecond, "%v left of %v", left, tr.drainGrace())
			})
		})
	}
}

// Guards against a new drain time for servers that had said that they leave before a VM started.
func TestAVMThatStartsGivesNoDrainTimeToServersThatLeave(t *testing.T) {
	tr := newOrderTracker()
	tr.drain = 2 * time.Second
	tr.noteSource(true)
	tr.replaceAll([]object.Object{entryOf("s1", 12, bornAt(1)+`,"Leaving":true`)}, 12)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	assert.Assert(t, tr.drained(time.Now(), feed.Server{Name: "s1"}))
}

// Guards against requests to an evacuated data centre for as long after a VM has heard of the evacuation as they may come after it was accepted.
func TestTheTimeOfAnEvacuationCountsFromItsAcceptance(t *testing.T) {
	for name, test := range map[string]struct {
		hear func(*serverTracker)
		ago  time.Duration
	}{
		"its own watch": {func(tr *serverTracker) {
			tr.evacuationWatcher().onChange([]object.Change{{Object: object.Object{Name: "evacuations/north", Version: 5, Value: []byte("{}")}}}, 5)
		}, 500 * time.Millisecond},
		"a list": {func(tr *serverTracker) {
			tr.evacuationWatcher().onList([]object.Object{{Name: "evacuations/north", Version: 5, Value: []byte("{}")}}, 5)
		}, 500 * time.Millisecond},
		"the leader": {func(tr *serverTracker) {
			l := evac.List{Rev: 5, Centres: []ident.Centre{"north"}, Known: map[ident.Centre]time.Duration{"north": 300 * time.Millisecond}}
			tr.applyEvacuations(l, "peer", 200*time.Millisecond)
		}, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newOrderTracker()
			tr.plat.Evacuations, tr.evacuation = "evacuations/", 5*time.Second
			tr.hub.NoteAsOf(poll.Evacuations, clock.Now().Add(-500*time.Millisecond))
			test.hear(tr)
			tr.mu.Lock()
			defer tr.mu.Unlock()
			grace := tr.evacuationGrace() - test.ago
			left := time.Until(tr.sendUntil(feed.Server{Centre: "north"}))
			assert.Assert(t, left <= grace && left > grace-200*time.Millisecond, "%v left of %v", left, tr.evacuationGrace())
		})
	}
}

// Guards against requests of other VMs that reach a server through this one after it has left.
func TestTunnelsToAServerThatHasLeftEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newOrderTracker()
		tr.drain = 2 * time.Second
		var left []ident.Server
		tr.onLeft = func(s ident.Server) { left = append(left, s) }
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 10, bornAt(1))}, {Object: entryOf("s2", 10, bornAt(1))}}, 10)
		tr.applyChanges([]object.Change{{Object: entryOf("s1", 12, bornAt(1)+`,"Leaving":true`)}, entryGone("s2")}, 12)
		assert.DeepEqual(t, left, []ident.Server{"s2"})
		time.Sleep(tr.drainGrace())
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.updateDue(time.Now())
		assert.DeepEqual(t, left, []ident.Server{"s2", "s1"})
	})
}

// pollHub returns what a hub answers another VM.
func pollHub(t *testing.T, hub *poll.Hub, req poll.Request) (resp poll.Response) {
	body, err := json.Marshal(req)
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	hub.Handler(func(*poll.Request) {}).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/news", bytes.NewReader(body)))
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &resp))
	return resp
}

// Guards against requests from VMs to whom the leader does not tell that an entry is gone, and says that its list is new.
func TestALeaderThatKeepsARemovalBackLetsNobodyRelyOnItsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const known = 500 * time.Millisecond // age of the last answer before the removal
		tr, _ := newProcessTracker()
		tr.drain = 2 * time.Second
		tr.hub.SetLease(elect.Lease{Epoch: 1, Holder: "vm-1", Incarnation: "1"}, true)
		tr.hub.NoteAsOf(poll.Servers, clock.Now().Add(-known))
		tr.storeDown()
		time.Sleep(member.OutageGrace)
		tr.storeUp()
		tr.applyChanges([]object.Change{{Object: object.Object{Name: "servers/s1"}, At: 2}}, 2)
		tr.noteCurrent(clock.Now(), 3)
		assert.Assert(t, pollHub(t, tr.hub, poll.Request{VM: "vm-2", ServersRev: 1}).Ages[poll.Servers] >= known)
		time.Sleep(member.RelistTime)
		tr.expire(time.Now())
		told := pollHub(t, tr.hub, poll.Request{VM: "vm-2", ServersRev: 1})
		assert.Assert(t, told.Servers != nil, "the removal is not told")
		assert.DeepEqual(t, told.Servers.Gone, []ident.Server{"s1"})
		assert.Assert(t, told.Ages[poll.Servers] < known)
	})
}
