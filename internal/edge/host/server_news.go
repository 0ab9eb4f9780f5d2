package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// noteListed records that the list is the store's of a time of the boot clock, or newer.
func (t *serverTracker) noteListed(asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf = asOf
}

// noteCurrent records that this VM knows everything that the store held at a time of the boot
// clock, up to a cursor.
func (t *serverTracker) noteCurrent(at time.Time, cursor object.Cursor) {
	t.mu.Lock()
	t.cursor = max(t.cursor, cursor)
	t.mu.Unlock()
	t.hub.NoteAsOf(poll.Servers, at)
}

// noteMissing marks this VM's list as incomplete for other VMs while it keeps servers that the
// store no longer lists: those removals are not told yet. The caller holds mu.
func (t *serverTracker) noteMissing() {
	switch missing := t.members.HasMissing(); {
	case !missing:
		t.missingSince = time.Time{}
	case t.missingSince.IsZero():
		t.missingSince = clock.Now().Add(-t.unknownNews().age)
	}
	t.hub.SetIncompleteSince(poll.Servers, t.missingSince)
}

// Sources of news, for the log.
const (
	sourceStore = "store"
	sourceCopy  = "copy" // the cheaper store, which may lag
	sourcePeer  = "peer"
)

// noteSource records where the news come from that are about to be applied, and how old they may
// be.
func (t *serverTracker) noteSource(fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.source, t.news = sourceCopy, t.unknownNews()
	if fresh {
		t.source = sourceStore
	}
}
