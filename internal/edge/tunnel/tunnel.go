// Package tunnel lets a VM that has lost its path to a backend server use the path of
// another VM. The other VM opens a connection to the server and passes the bytes on, so
// everything that the first VM decides about a request stays with it.
//
// An order for keys that arrives late could give keys to two servers. A tunnel for orders
// therefore passes nothing on after a pause of the VM in between, and its connection to the
// server ends if data is not acknowledged in time: what is not passed on within [MaxDelay]
// is lost.
package tunnel

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// MaxDelay is the longest time from sending an order into a tunnel until it reaches its
	// server, if it does. It covers pauseLimit, ackTimeout and the network between VMs.
	MaxDelay = time.Second
	// pauseLimit is how long the VM in between may be suspended, or too busy to run, before a
	// tunnel for orders ends.
	pauseLimit = 400 * time.Millisecond
	// ackTimeout is how long data of an order may stay unacknowledged by the server.
	ackTimeout = 400 * time.Millisecond
	// pulseInterval is how often a tunnel for orders checks that its VM runs.
	pulseInterval = 100 * time.Millisecond
	// idleTimeout ends a tunnel over which nothing is sent. It is longer than the near end
	// keeps an unused connection.
	idleTimeout = 60 * time.Second
	// connectTimeout bounds the wait for the other VM's connection to the server.
	connectTimeout = 200 * time.Millisecond
	// firstRequestTime is how long a new tunnel may take to carry its first request. Until then
	// its near end is not asked to end it: the request would fail.
	firstRequestTime = 200 * time.Millisecond
	// maxTunnels bounds the tunnels through one VM. Each takes some 35 KB.
	maxTunnels = 512
)

// Names of the request that opens a tunnel.
const (
	Path         = "/tunnel"
	protocol     = "hawthorn-tunnel"
	headerServer = "Hawthorn-Server"
	headerOrders = "Hawthorn-Orders"
	headerDrain  = "Hawthorn-Drain" // the near end understands frameDrain
	headerCount  = "Hawthorn-Count" // the near end understands frameEndAt
)

// ErrBroken is the error of a tunnel that ended for a reason other than the server.
var ErrBroken = errors.New("the tunnel through another VM broke")

var errNoPath = errors.New("the other VM does not reach the server")

// broken returns the error of a tunnel whose connection to the other VM failed. A deadline
// and a local close stay what they are.
func broken(err error) error {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return ErrBroken
}
