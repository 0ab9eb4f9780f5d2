// Package netsim measures the gossip between entry VMs (package gossip) at sizes
// that no test machine has. It runs the real decision modules of up to some
// hundred VMs on a simulated clock, carries their encoded packets with delay and
// loss, and counts messages, bytes, and the time until a change is known
// everywhere.
//
// It measures this one module. The network is reduced to delay and loss; there are
// no requests and no backend servers, and of the store only that "the watchers
// read revision n at this moment".
package netsim

import (
	"cmp"
	"time"
)

// Config describes one run. Zero fields take the defaults set by withDefaults.
type Config struct {
	VMs     int
	Centres int
	Loss    float64       // share of packets that are lost, 0 to 1
	Delay   time.Duration // one way between two VMs; up to as much again is added at random
	Length  time.Duration // simulated time
	Changes int           // new revisions, spread evenly over the run
	Value   int           // length of the replicated value, in bytes
	Edit    int           // bytes that one revision changes
	// Restarts is the number of VMs that are replaced by new ones during the run.
	// The others learn of it after Lag.
	Restarts int
	Lag      time.Duration
	// Outage makes the store silent for the second half of the run.
	Outage bool
	// Servers is the number of backend servers. Each is assigned to one VM, which
	// reports its load once a second.
	Servers int
	Seed    uint64
}

// Row is the result of one run. Bytes include Overhead for each packet. Whole
// values are counted apart from Mean and Max: they are sent once to each VM that
// holds nothing yet, so they belong to its start and not to the running cost.
type Row struct {
	VMs      int           `json:"vms"`
	Loss     float64       `json:"loss"`
	Messages float64       `json:"messages"` // per VM and second, sent
	Mean     float64       `json:"mean"`     // bytes per VM and second, sent and received
	Max      float64       `json:"max"`      // the same of the busiest VM
	Whole    float64       `json:"whole"`    // bytes in whole values, over all VMs
	P50      time.Duration `json:"p50"`      // from the store to a VM
	P99      time.Duration `json:"p99"`
	Worst    time.Duration `json:"worst"`
	Missing  int           `json:"missing"` // VMs that never got the last revision
	Watchers int           `json:"watchers"`
	Reads    float64       `json:"reads"` // reads of the platform's list per second, by all VMs
	LoadAge  time.Duration `json:"age"`   // mean age of a load row at a VM
	Blind    int           `json:"blind"` // VMs that at the end hear neither the store nor most peers
	Gap      time.Duration `json:"gap"`   // longest time that a VM was without news of the store or most peers
}

// Overhead is the size in bytes of a packet's headers: IP and UDP (28), a QUIC
// short header (about 13), a stream frame (about 7) and the authentication tag
// (16).
const Overhead = 64

// Sizes are the numbers of entry VMs for which results are published.
var Sizes = []int{10, 50, 200, 520}

func (c Config) withDefaults() Config {
	c.VMs = cmp.Or(c.VMs, Sizes[0])
	c.Centres = cmp.Or(c.Centres, 4)
	c.Delay = cmp.Or(c.Delay, 1500*time.Microsecond)
	c.Length = cmp.Or(c.Length, 20*time.Second)
	c.Changes = cmp.Or(c.Changes, 4)
	c.Value = cmp.Or(c.Value, 60_000)
	c.Edit = cmp.Or(c.Edit, 200)
	c.Servers = cmp.Or(c.Servers, max(30, c.VMs))
	c.Lag = cmp.Or(c.Lag, 5*time.Second)
	c.Seed = cmp.Or(c.Seed, 20261202)
	return c
}

// RunAll runs each size without loss, and with 2 % loss and restarts.
func RunAll(sizes []int) []Row {
	var rows []Row
	for _, n := range sizes {
		rows = append(rows, Run(Config{VMs: n}))
		rows = append(rows, Run(Config{VMs: n, Loss: 0.02, Restarts: max(1, n/50)}))
	}
	return rows
}
