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

// record notes an acceptance as an entry VM does.
func record(t *testing.T, s *objmem.Store, rev ident.Revision, old object.Version) {
	raw, err := quorum.Record{FormatVersion: quorum.FormatVersion, Rev: rev, Confirmed: 2, Live: 3}.Encode()
	assert.NilError(t, err)
	_, err = s.Put(t.Context(), quorum.Object, raw, old)
	assert.NilError(t, err)
}

// An operator's command waits while the store goes away for a minute, comes
// back, and only then gets the record, first of an older revision. Ended by the
// outage, or satisfied by the older one, it would tell the operator something
// that is not so.
func TestAwaitGoesOnThroughAnOutage(t *testing.T) {
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

// Nobody accepts, and the command's time is over: the operator hears so, and
// does not take the edit for refused or for accepted.
func TestAwaitEndsWithItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		_, err := Await(ctx, objmem.New(), 1)
		assert.Equal(t, kinds.Of(err), kinds.DeadlineMissed)
	})
}

// A record of a newer program, or a broken one, ends the wait at once: waiting
// longer would not make it readable.
func TestAwaitRefusesWhatItCannotRead(t *testing.T) {
	s := objmem.New()
	_, err := s.Put(t.Context(), quorum.Object, []byte("no record"), 0)
	assert.NilError(t, err)
	_, err = Await(t.Context(), s, 1)
	assert.Equal(t, kinds.Of(err), kinds.Malformed)
}
