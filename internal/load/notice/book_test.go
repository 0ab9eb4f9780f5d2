package notice

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

var (
	start = time.Unix(1_000_000, 0)
	one   = ident.Process{Server: "s1", Incarnation: 7}
)

func limited(rate float64) Notice { return Notice{Limited: true, Rate: rate} }

// Guards against an answer to an older request, without a notice, ending the notice that a newer answer states.
func TestOnlyAnAnswerToALaterRequestEndsANotice(t *testing.T) {
	var b Book
	assert.Assert(t, b.Hear(start, one, limited(2), start.Add(-time.Second)))
	assert.Assert(t, !b.Hear(start.Add(time.Second), one, Notice{}, start.Add(-time.Second)))
	assert.Equal(t, b.Of(one), limited(2))
	assert.Assert(t, b.Hear(start.Add(2*time.Second), one, Notice{}, start.Add(time.Second)))
	assert.Equal(t, len(b.Notices()), 0)
}

// Guards against a notice that is carried over to the next process of a server.
func TestANoticeIsThatOfOneProcess(t *testing.T) {
	var b Book
	b.Hear(start, one, limited(2), start)
	assert.Equal(t, b.Of(ident.Process{Server: "s1", Incarnation: 8}), Notice{})
}

// Guards against an older report that reaches the leader late and replaces a newer one.
func TestTheNewestReportHolds(t *testing.T) {
	var b Book
	b.Hear(start, one, limited(2), start)
	older := Report{Server: "s1", Incarnation: 7, Notice: limited(9), Age: 3 * time.Second}
	assert.Assert(t, !b.Merge(start.Add(time.Second), []Report{older}))
	newer := Report{Server: "s1", Incarnation: 7, Age: 500 * time.Millisecond}
	assert.Assert(t, b.Merge(start.Add(time.Second), []Report{newer}))
	assert.Assert(t, !b.Merge(start.Add(2*time.Second), []Report{{Server: "s1", Incarnation: 7, Notice: limited(2), Age: 2 * time.Second}}))
	assert.Equal(t, len(b.Notices()), 0)
}

// Guards against a list of the leader that drops what this VM heard after it had asked.
func TestAListOfTheLeaderKeepsWhatWasHeardSince(t *testing.T) {
	var b Book
	two := ident.Process{Server: "s2"}
	b.Hear(start, one, limited(2), start)
	b.Hear(start.Add(2*time.Second), two, limited(3), start)
	assert.Assert(t, b.Replace(start.Add(3*time.Second), start.Add(time.Second), nil))
	assert.Equal(t, b.Of(one), Notice{})
	assert.Equal(t, b.Of(two), limited(3))
	assert.Equal(t, len(b.Unreported(start)), 1)
	b.MarkReported(start.Add(3 * time.Second))
	assert.Equal(t, len(b.Unreported(start)), 0)
	b.MarkUnreported()
	assert.Equal(t, len(b.Unreported(start)), 1)
}
