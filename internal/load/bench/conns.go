package bench

import "time"

// connections counts the connections of each VM to each server. Using an idle one takes
// no time, opening a new one takes connectDelay.
type connections struct {
	idle   [][]int
	inUse  [][]int
	opened int
}

func newConnections(s Service) connections {
	c := connections{}
	for range s.VMs {
		c.idle = append(c.idle, make([]int, s.Servers))
		c.inUse = append(c.inUse, make([]int, s.Servers))
	}
	return c
}

// open takes a connection and returns the time until it is open.
func (c *connections) open(vm, server int, _ time.Duration) time.Duration {
	c.inUse[vm][server]++
	if c.idle[vm][server] > 0 {
		c.idle[vm][server]--
		return 0
	}
	c.opened++
	return connectDelay
}

// release returns a connection. It is kept idle if it is reusable and fewer than maxIdle
// connections are open; otherwise it is closed.
func (c *connections) release(vm, server, maxIdle int, reusable bool) {
	c.inUse[vm][server]--
	if reusable && c.idle[vm][server]+c.inUse[vm][server] < maxIdle {
		c.idle[vm][server]++
	}
}
