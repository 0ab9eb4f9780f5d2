package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

func listed(load int, loadAge time.Duration) []Entry {
	return []Entry{{Server: "s1", Incarnation: 7, Load: load, LoadAge: loadAge, Sent: 10}}
}

// Guards against a list that arrives late and replaces a newer one.
func TestALateListIsNoNews(t *testing.T) {
	var b Book
	assert.Equal(t, len(b.Apply(at(2), listed(5, time.Millisecond))), 1)
	assert.Equal(t, len(b.Apply(at(1), listed(9, time.Millisecond))), 0)
	assert.Equal(t, len(b.Apply(at(2), listed(9, time.Millisecond))), 0)
}

// Guards against a new leader, which knows nothing yet, that erases what is known, and against
// a report that looks fresher than it is after that.
func TestANewLeaderErasesNoReport(t *testing.T) {
	var b Book
	b.Apply(at(2), listed(5, 100*time.Millisecond))
	news := b.Apply(at(2.5), listed(0, 0))
	assert.Equal(t, news[0].Load, 5)
	assert.Equal(t, news[0].LoadAge, 600*time.Millisecond)
	news = b.Apply(at(3), listed(9, 2*time.Second))
	assert.Equal(t, news[0].Load, 5)
	news = b.Apply(at(4), listed(1, 10*time.Millisecond))
	assert.Equal(t, news[0].Load, 1)
}

// Guards against an entry of an earlier process of a server after one of the next process.
func TestAnEarlierProcessIsNoNews(t *testing.T) {
	var b Book
	b.Apply(at(1), listed(5, time.Millisecond))
	next := []Entry{{Server: "s1", Incarnation: 8}}
	assert.Equal(t, b.Apply(at(2), next)[0].Load, 0)
	assert.Equal(t, len(b.Apply(at(3), listed(9, time.Millisecond))), 0)
	b.Retain(func(ident.Process) bool { return false })
	n, _ := b.Count(at(3), time.Minute)
	assert.Equal(t, n, 0)
}

// Guards against entries without a leader that count as known for good.
func TestWithoutALeaderEntriesAge(t *testing.T) {
	var b Book
	b.Apply(at(0), listed(5, time.Millisecond))
	n, mean := b.Count(at(0.5), time.Second)
	assert.Equal(t, n, 1)
	assert.Equal(t, mean, 500*time.Millisecond)
	n, _ = b.Count(at(1.5), time.Second)
	assert.Equal(t, n, 0)
}

// Guards against a new leader that is not told what the fleet has observed before.
func TestANewLeaderLearnsTheStates(t *testing.T) {
	var b Book
	silent := map[ident.Service]State{"search": {Full: FullSilent, Places: 10}}
	b.LearnFromLeader(silent)
	assert.Equal(t, len(b.Unknown()), 0)
	b.LeaderChanged()
	assert.DeepEqual(t, b.Unknown(), silent)
	b.LearnFromLeader(silent)
	b.Learn(map[ident.Service]State{"search": {Places: 12}})
	assert.DeepEqual(t, b.Unknown(), map[ident.Service]State{"search": {Full: FullSilent, Places: 12}})
}

// Guards against parts that stay on in mode auto after a full server has refused a request,
// and that come on again.
func TestARefusalByAFullServerEndsSilence(t *testing.T) {
	var b Book
	b.Learn(map[ident.Service]State{"search": {Full: FullSilent}})
	silent, _ := Auto.Decide(b.State("search").Full)
	assert.Assert(t, silent)
	b.Learn(map[ident.Service]State{"search": {Full: FullAnswers}})
	b.Learn(map[ident.Service]State{"search": {Full: FullSilent}})
	silent, why := Auto.Decide(b.State("search").Full)
	assert.Assert(t, !silent)
	assert.Equal(t, why, "a full server refused a request")
	silent, _ = Silent.Decide(b.State("search").Full)
	assert.Assert(t, silent, "a setting holds whatever is observed")
}

// Guards against a misspelt setting that is taken as another.
func TestAnUnknownModeIsAnError(t *testing.T) {
	for _, m := range []Mode{Auto, Silent, Answer} {
		got, err := ParseMode(m.String())
		assert.NilError(t, err)
		assert.Equal(t, got, m)
	}
	_, err := ParseMode("silence")
	assert.Equal(t, kinds.Of(err), kinds.BadRequest)
}
