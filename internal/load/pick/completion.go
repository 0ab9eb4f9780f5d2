package pick

import "math/rand/v2"

// This file chooses the server on which a request is expected to be completed first. It is for
// services whose load is known fleet-wide and whose requests have estimated costs. A VM of
// sixty sees each server every few seconds: its own latencies say nothing about the present,
// and the next server in turn may be full while others have free slots.

// Candidates is the number of servers that are compared. More of them make VMs that have the
// same data choose the same few servers until the next data arrives.
const Candidates = 3

// Completion is what decides when a request would be completed on a server. Times are in
// seconds on a server of speed 1.
type Completion struct {
	Backlog float64 // requests there, running and waiting
	Mean    float64 // cost of each of them
	Cost    float64 // of the request
	Slots   int
	Speed   float64
	Delay   float64 // of the network, in seconds
}

// Seconds returns the expected time until the request is completed.
func (c Completion) Seconds() float64 {
	remaining := c.Backlog * c.Mean / float64(max(c.Slots, 1))
	return (remaining+c.Cost)/c.Speed + c.Delay
}

// Draw returns a random server of the set; the probability of each is proportional to its
// weight, which is at most most. It returns -1 if the set is empty. It gives up on the weights
// after a few tries, so that servers with small weights are found as well.
func (s *Set) Draw(r *rand.Rand, most float64, weight func(i int) float64) int {
	n := len(s.members)
	if n == 0 {
		return -1
	}
	const maxTries = 6
	i := 0
	for range maxTries {
		i = int(s.members[r.Uint32N(uint32(n))])
		if r.Float64()*most < weight(i) {
			break
		}
	}
	return i
}

// ChooseFirst draws candidates by weight and returns the one where the expected time is
// smallest, with that time. It returns skip (an index, or -1) only if it draws no other server,
// and -1 if the set is empty.
func (s *Set) ChooseFirst(r *rand.Rand, candidates, skip int, most float64, weight, expected func(i int) float64) (int, float64) {
	best, bestTime := -1, 0.0
	for range candidates {
		i := s.Draw(r, most, weight)
		if i < 0 {
			return -1, 0
		}
		if i == skip && best >= 0 || i == best {
			continue
		}
		if t := expected(i); best < 0 || best == skip || t < bestTime {
			best, bestTime = i, t
		}
	}
	if best == skip && s.Len() > 1 {
		best = s.pickRandom(r, s.Len(), skip)
		bestTime = expected(best)
	}
	return best, bestTime
}
