package save

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/objmem"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/quorum"
)

// record writes the record of an acceptance as an entry VM does.
func record(t *testing.T, s *objmem.Store, rev ident.Revision, old object.Version) {
	raw, err := quorum.Record{FormatVersion: quorum.FormatVersion, Rev: rev, Confirmed: 2, Live: 3}.Encode()
	assert.NilError(t, err)
	_, err = s.Put(t.Context(), quorum.Object, raw, old)
	assert.NilError(t, err)
}

// An operator's command waits while the store is down for a minute. The acceptance of an
// older revision is recorded next, and then that of the awaited one. The command must
// not end at the outage, nor at the older revision.
func TestAwaitContinuesThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := objmem.New()
		s.SetDown(true)
		time.AfterFunc(time.Minute, func() { s.SetDown(false) })
		time.AfterFunc(61*time.Second, func() { record(t, s, 1, 0) })
		time.AfterFunc(62*time.Second, func() { record(t, s, 2, 1) })
		begin := time.Now()
		rec, err := Await(t.Context(), s, 2)
		assert.NilError(t, err)
		assert.Equal(t, rec.Rev, ident.Revision(2))
		assert.Assert(t, time.Since(begin) >= 62*time.Second)
	})
}

// The edit is not accepted before the deadline. The operator must be told so, and must
// not take the edit for refused or accepted.
func TestAwaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		_, err := Await(ctx, objmem.New(), 1)
		assert.Equal(t, kinds.Of(err), kinds.DeadlineMissed)
	})
}

// A record that cannot be decoded must end the wait at once, since waiting longer would
// not help.
func TestAwaitEndsAtAnUndecodableRecord(t *testing.T) {
	s := objmem.New()
	_, err := s.Put(t.Context(), quorum.Object, []byte("no record"), 0)
	assert.NilError(t, err)
	_, err = Await(t.Context(), s, 1)
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
}
