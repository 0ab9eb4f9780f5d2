package poll

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
	"hawthornfield.org/hawthornfield/internal/load/fleet"
)

func indexOf(all ...ident.Process) FleetIndex {
	x := FleetIndex{}
	for _, p := range all {
		x.Add(p)
	}
	return x
}

var (
	serverA = ident.Process{Server: "a", Incarnation: 7}
	serverB = ident.Process{Server: "b", Incarnation: 8}
)

// exchange sends entries of the leader's names to a follower's.
func exchange(t assert.TestingT, leader, follower *FleetNames, index FleetIndex, entries []fleet.Entry) []fleet.Entry {
	r := &FleetReport{Wants: true}
	follower.Report(r, nil)
	l := &FleetList{Rev: 1, Packed: leader.Pack(entries)}
	leader.AddNames(l, r, true)
	b, err := json.Marshal(l)
	assert.NilError(t, err)
	var got FleetList
	assert.NilError(t, json.Unmarshal(b, &got))
	return follower.Entries(&got, index)
}

// Guards against an entry that is fresher on arrival than it was sent, or that is changed by
// more than a step.
func TestPackedEntriesAreNeverFresher(t *testing.T) {
	seeds.Check(t, func(rt *rapid.T) {
		var leader, follower FleetNames
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "d"))
		})
		rate := rapid.Float64Range(0, 5000)
		index, sent := FleetIndex{}, map[ident.Process]fleet.Entry{}
		for range rapid.IntRange(1, 4).Draw(rt, "lists") {
			var list []fleet.Entry
			for _, i := range rapid.SliceOfNDistinct(rapid.Int64Range(0, 300), 0, fleet.MaxListed, rapid.ID).Draw(rt, "servers") {
				e := fleet.Entry{Server: "s", Incarnation: i, Load: rapid.IntRange(0, 300).Draw(rt, "load"), LoadAge: duration.Draw(rt, "age"), ServedAge: duration.Draw(rt, "served"), Sent: rate.Draw(rt, "sent"), Offered: rate.Draw(rt, "offered"), Work: duration.Draw(rt, "work")}
				if _, known := index[nameOf(e.Process())]; !known {
					index.Add(e.Process())
				}
				sent[e.Process()] = e
				list = append(list, e)
			}
			got := exchange(rt, &leader, &follower, index, list)
			assert.Equal(rt, len(got), len(list))
			for _, e := range got {
				checkEntry(rt, e, sent[e.Process()])
			}
		}
	})
}

func checkEntry(t assert.TestingT, got, sent fleet.Entry) {
	assert.Equal(t, got.Load, sent.Load)
	for _, x := range []struct{ got, sent time.Duration }{{got.LoadAge, sent.LoadAge}, {got.ServedAge, sent.ServedAge}} {
		assert.Assert(t, x.got >= x.sent-1 && x.got <= max(x.sent*5/4, 2*time.Millisecond), "%v for %v", x.got, x.sent)
		assert.Equal(t, x.got == 0, x.sent == 0)
	}
	for _, x := range []struct{ got, sent, least float64 }{{got.Sent, sent.Sent, leastRate}, {got.Offered, sent.Offered, leastRate}, {millis(got.Work), millis(sent.Work), 1}} {
		assert.Assert(t, x.sent < x.least || math.Abs(x.got-x.sent) <= 0.05*x.sent, "%v for %v", x.got, x.sent)
	}
}

// Guards against samples that are not those of the server that they were taken of.
func TestSamplesReachTheLeader(t *testing.T) {
	var leader, follower FleetNames
	index := indexOf(serverA, serverB)
	exchange(t, &leader, &follower, index, []fleet.Entry{{Server: "b", Incarnation: 8}})
	samples := []fleet.Sample{
		{Server: "a", Incarnation: 7, Silent: 2},
		{Server: "b", Incarnation: 8, Sent: 3, Offered: 4, Answered: 2, Work: 256 * time.Millisecond, Load: 9, LoadAge: 64 * time.Millisecond, ServedAge: 128 * time.Millisecond, Refused: 1},
	}
	r := &FleetReport{}
	packed := follower.Report(r, samples)
	assert.DeepEqual(t, packed, samples[1:])
	got, n := leader.Samples(r, true, index)
	assert.Equal(t, n, 1)
	assert.DeepEqual(t, got, []fleet.Sample{samples[1], samples[0]})
	got, n = leader.Samples(r, false, index)
	assert.Equal(t, n, 0, "the numbers are those of another leader")
	assert.DeepEqual(t, got, samples[:1])
}

// Guards against an entry that is taken for one of another process of the server, which is
// listed by now.
func TestEntriesOfAnEarlierProcessAreLeftOut(t *testing.T) {
	var leader, follower FleetNames
	entries := []fleet.Entry{{Server: "a", Incarnation: 7, Load: 3}, {Server: "b", Incarnation: 8, Load: 4}}
	next := ident.Process{Server: "a", Incarnation: 9}
	got := exchange(t, &leader, &follower, indexOf(next, serverB), entries)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Server, serverB.Server)
}

// Guards against numbers that run out after many restarts of servers, and against a follower
// that confuses those of before with those of after.
func TestNumbersAreReusedUnderANewNaming(t *testing.T) {
	var leader, follower FleetNames
	index := indexOf(serverA, serverB)
	exchange(t, &leader, &follower, index, []fleet.Entry{{Server: "a", Incarnation: 7}})
	for i := range maxNames {
		leader.add(uint32(i))
	}
	got := exchange(t, &leader, &follower, index, []fleet.Entry{{Server: "b", Incarnation: 8, Load: 4}})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Process(), serverB)
}

// Guards against a part that cannot be decoded, of another version, that makes the rest of the
// message unreadable.
func TestAnUnreadableFleetPartLeavesTheMessageReadable(t *testing.T) {
	for _, part := range []string{`7`, `[]`, `{"d":"?"}`, `{"d":7,"v":"x"}`, `{"f":{"search":3}}`, `null`, `{"s":[{"s":1},{"s":"a"}]}`} {
		var req Request
		assert.NilError(t, json.Unmarshal([]byte(`{"vm":"vm-2","fleet":`+part+`}`), &req), part)
		assert.Equal(t, req.VM, ident.VM("vm-2"))
		var resp Response
		assert.NilError(t, json.Unmarshal([]byte(`{"vm":"vm-1","fleet":`+part+`}`), &resp), part)
		assert.Equal(t, resp.VM, ident.VM("vm-1"))
	}
	seeds.Check(t, func(rt *rapid.T) {
		var names FleetNames
		names.Pack([]fleet.Entry{{Server: "a", Incarnation: 7}})
		b := rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes")
		_, _ = names.Samples(&FleetReport{Packed: b, Naming: 1}, true, indexOf(serverA))
		_ = names.Entries(&FleetList{Packed: b, Naming: 1, First: -1, Names: b}, indexOf(serverA))
	})
}

// Guards against messages that a VM of an earlier version does not understand, and against
// ones that say nothing.
func TestNothingIsSentWhileThereIsNothingToSay(t *testing.T) {
	assert.Assert(t, (&FleetReport{Rev: 7, Naming: 1, Names: 2}).OrNil() == nil)
	req, err := json.Marshal(&Request{Samples: (&FleetReport{}).OrNil()})
	assert.NilError(t, err)
	resp, err := json.Marshal(&Response{})
	assert.NilError(t, err)
	for _, b := range [][]byte{req, resp} {
		assert.Assert(t, !slices.Contains(keysOf(t, b), "fleet"))
	}
}

func keysOf(t *testing.T, b []byte) (keys []string) {
	var all map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal(b, &all))
	for k := range all {
		keys = append(keys, k)
	}
	return keys
}

// The cost of a full list on the leader, once for all VMs with the same revision.
func BenchmarkPackList(b *testing.B) {
	var names FleetNames
	var list []fleet.Entry
	for i := range fleet.MaxListed {
		list = append(list, fleet.Entry{Server: "backend-search", Incarnation: int64(i), Load: i % 12, LoadAge: time.Duration(i) * time.Millisecond, Sent: float64(i), Offered: float64(i), Work: time.Duration(96+i) * time.Millisecond})
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = len(names.Pack(list))
	}
	b.ReportMetric(float64(size), "bytes")
	plain, err := json.Marshal(list)
	assert.NilError(b, err)
	b.ReportMetric(float64(len(plain)), "json-bytes")
}
