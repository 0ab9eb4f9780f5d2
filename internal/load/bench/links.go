package bench

import "time"

// links counts the connections of each VM to each server: using one that is
// idle costs nothing, opening one takes openTime.
type links struct {
	idle   [][]int
	using  [][]int
	opened int
}

func newLinks(s Service) links {
	l := links{}
	for range s.VMs {
		l.idle = append(l.idle, make([]int, s.Servers))
		l.using = append(l.using, make([]int, s.Servers))
	}
	return l
}

// open takes a connection and returns what that costs.
func (l *links) open(vm, server int, _ time.Duration) time.Duration {
	l.using[vm][server]++
	if l.idle[vm][server] > 0 {
		l.idle[vm][server]--
		return 0
	}
	l.opened++
	return openTime
}

// free gives it back; it is kept idle if it is whole and fewer than keep are
// open.
func (l *links) free(vm, server, keep int, whole bool) {
	l.using[vm][server]--
	if whole && l.idle[vm][server]+l.using[vm][server] < keep {
		l.idle[vm][server]++
	}
}
