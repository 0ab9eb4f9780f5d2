package poison

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

func attemptAt(s ident.Server, at time.Time) Attempt {
	return Attempt{Fingerprint: crashing, ID: "r", Process: first(s), At: at}
}

// Guards against missing the crash of a server that ended without closing its connections.
func TestAnAttemptAtAServerThatEndedIsEvidence(t *testing.T) {
	var u Unanswered
	u.Add(attemptAt("s1", t0))
	u.Add(attemptAt("s2", t0))
	assert.Equal(t, len(u.Settle(t0.Add(time.Second), nil)), 0)
	got := u.Settle(t0.Add(4500*time.Millisecond), map[ident.Process]Ending{first("s1"): Ended})
	assert.DeepEqual(t, got, []Attempt{attemptAt("s1", t0)})
	assert.DeepEqual(t, u.Processes(), []ident.Process{first("s2")})
	assert.Equal(t, len(u.Settle(t0.Add(5*time.Second), map[ident.Process]Ending{first("s1"): Ended})), 0, "once only")
}

// Guards against accusing requests that time out at servers that are slow.
func TestTimeoutsAtServersThatDoNotCrashAccuseNobody(t *testing.T) {
	var u Unanswered
	now := t0
	for range 100 {
		now = now.Add(250 * time.Millisecond)
		u.Add(attemptAt("slow", now))
		assert.Equal(t, len(u.Settle(now, nil)), 0)
	}
	assert.Equal(t, len(u.Settle(now.Add(unansweredTime), nil)), 0)
	assert.Equal(t, u.Len(), 0)
}

// Guards against taking a server that announced its end for one that ended without a word.
func TestAnAttemptAtAServerThatLeftIsMarked(t *testing.T) {
	var u Unanswered
	u.Add(attemptAt("s1", t0))
	got := u.Settle(t0.Add(time.Second), map[ident.Process]Ending{first("s1"): Left})
	want := attemptAt("s1", t0)
	want.Announced = true
	assert.DeepEqual(t, got, []Attempt{want})
	assert.Equal(t, u.Len(), 0)
}

// Guards against accusing requests that ended long before their server did.
func TestAnOldAttemptIsNoEvidence(t *testing.T) {
	var u Unanswered
	u.Add(attemptAt("s1", t0))
	u.Add(attemptAt("s1", t0.Add(time.Second)))
	got := u.Settle(t0.Add(unansweredTime), map[ident.Process]Ending{first("s1"): Ended})
	assert.DeepEqual(t, got, []Attempt{attemptAt("s1", t0.Add(time.Second))})
}

// Guards against accusing a request that another server has answered since.
func TestAnAnswerClearsUnansweredAttempts(t *testing.T) {
	var u Unanswered
	for i := range 2 * maxUnanswered {
		u.Add(attemptAt("s1", t0.Add(time.Duration(i))))
		u.Add(Attempt{Fingerprint: other, Process: first("s1"), At: t0.Add(time.Duration(i))})
	}
	u.Clear(t0, crashing)
	last := t0.Add(time.Second)
	u.Add(Attempt{Fingerprint: other, Process: first("s1"), At: last})
	got := u.Settle(last, map[ident.Process]Ending{first("s1"): Ended})
	assert.Equal(t, len(got), maxUnanswered/2+1)
	for i, a := range got {
		assert.Equal(t, a.Fingerprint, other)
		assert.Assert(t, i == 0 || a.At.After(got[i-1].At))
	}
}

// Guards against unbounded memory, and against losing the crash of one server, while
// another one times out by the hundred.
func TestAFloodOfTimeoutsIsBoundedAndHidesNoOtherServer(t *testing.T) {
	var u Unanswered
	u.Add(attemptAt("s1", t0))
	now := t0
	for range 100 * maxUnanswered {
		now = now.Add(time.Millisecond / 10)
		u.Add(Attempt{Fingerprint: other, Process: first("slow"), At: now})
	}
	assert.Equal(t, u.Len(), maxUnanswered+1)
	got := u.Settle(now, map[ident.Process]Ending{first("s1"): Ended})
	assert.DeepEqual(t, got, []Attempt{attemptAt("s1", t0)})
	for i := range 4 * maxSilentServers {
		now = now.Add(time.Millisecond)
		for range 2 * maxUnanswered {
			u.Add(attemptAt(ident.Server(strconv.Itoa(i)), now))
		}
	}
	assert.Equal(t, u.Len(), maxSilentServers*maxUnanswered)
}

// Guards against asking each answer for its fingerprint because a head counts as unanswered for ever.
func TestAHeadIsKnownWhileAnAttemptOfItIsKept(t *testing.T) {
	seeds.Check(t, func(r *rapid.T) {
		var u Unanswered
		now := t0
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(r, "ms")) * time.Millisecond)
			fp := crashing
			if rapid.Bool().Draw(r, "other") {
				fp = other
			}
			p := first(ident.Server(strconv.Itoa(rapid.IntRange(0, 2).Draw(r, "server"))))
			switch rapid.IntRange(0, 20).Draw(r, "what") {
			case 0:
				u.Clear(now, fp)
			case 1:
				u.Settle(now, map[ident.Process]Ending{p: Ended})
			default:
				u.Add(Attempt{Fingerprint: fp, Process: p, At: now})
			}
			kept := map[Fingerprint]int{}
			for _, ring := range u.processes {
				for _, a := range ring.all {
					kept[a.Fingerprint]++
				}
			}
			for _, fp := range []Fingerprint{crashing, other} {
				assert.Equal(r, u.prints[fp], kept[fp])
				assert.Equal(r, u.Has(fp.Head()), kept[fp] > 0)
			}
			assert.Equal(r, u.IsEmpty(), len(kept) == 0)
		}
	})
}

// BenchmarkUnanswered measures an attempt that ends without an answer while the bounds are
// reached.
func BenchmarkUnanswered(b *testing.B) {
	var u Unanswered
	names := make([]ident.Server, 2*maxSilentServers)
	for i := range names {
		names[i] = ident.Server(strconv.Itoa(i))
	}
	for name, servers := range map[string]int{"one server": 1, "too many servers": len(names)} {
		b.Run(name, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				u.Add(attemptAt(names[i%servers], t0.Add(time.Duration(i))))
			}
		})
	}
}
