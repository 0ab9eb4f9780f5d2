package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/node/member"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// lateStore is a store whose answers are read long after they were made, as on a VM that is short
// of processor time.
type lateStore struct {
	object.Store
	madeAt time.Time // when the last answer was made, on the boot clock
}

func (s *lateStore) List(context.Context, string) ([]object.Object, object.Cursor, error) {
	s.madeAt = clock.Now()
	return nil, 1, nil
}

func (s *lateStore) Watch(ctx context.Context, _ string, at object.Cursor) ([]object.Change, object.Cursor, error) {
	const wait, late = 50 * time.Millisecond, 800 * time.Millisecond
	group.Sleep(ctx, wait)
	s.madeAt = clock.Now()
	group.Sleep(ctx, late)
	return nil, at, ctx.Err()
}

// Guards against a VM that takes an answer for new because it has read it late, and lets others rely on it.
func TestAnAnswerThatIsReadLateIsNotTakenForNew(t *testing.T) {
	store := &lateStore{}
	w := newWatcher(poll.NewHub("vm-1", "a"), store, store)
	ctx, cancel := context.WithCancel(t.Context())
	claims := 0
	w.onCurrent = func(at time.Time, _ object.Cursor) {
		claims++
		assert.Check(t, !at.After(store.madeAt), "claim %d is %v too new", claims, at.Sub(store.madeAt))
		if claims == 3 {
			cancel()
		}
	}
	assert.NilError(t, w.run(ctx))
	assert.Equal(t, claims, 3)
}

// Guards against a late VM that takes its own failed calls for servers for an outage of the store, and sends by an old list.
func TestFailedCallsExcuseAnOldListOnlyWhereTheStoreAnswersNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr, _ := newProcessTracker()
		tr.drain, tr.pulse = 2*time.Second, &pulse{}
		tr.pulse.lateness.Store(int64(300 * time.Millisecond))
		tr.hub.NoteAsOf(poll.Servers, clock.Now().Add(-tr.drain))
		tr.storeDown()
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			tr.hub.SetStoreContact(time.Now()) // an answer to a call for rules
		}
		assert.Assert(t, !tr.vouches())
		time.Sleep(member.OutageGrace)
		assert.Assert(t, tr.vouches())
	})
}

// Guards against a VM that has missed a change among the servers and relies on a leader that knows it.
func TestAVMThatMissedAChangeDoesNotRelyOnTheLeader(t *testing.T) {
	tr, _ := newProcessTracker()
	hear := func(rev, sum uint64) {
		tr.mergePeerList(poll.ServerList{Rev: rev, Delta: true, List: []feed.Server{{Name: "s2", Rev: rev}}, Sum: sum}, 0)
		tr.noteAges(clock.Now(), map[poll.Topic]time.Duration{poll.Servers: 1, poll.Evacuations: 1})
	}
	hear(2, 0)
	assert.Assert(t, tr.hub.AsOf(poll.Servers).IsZero())
	assert.Assert(t, !tr.hub.AsOf(poll.Evacuations).IsZero())
	hear(3, poll.SumOf(append(tr.list()[:1], feed.Server{Name: "s2", Rev: 3})))
	assert.Assert(t, !tr.hub.AsOf(poll.Servers).IsZero())
}
