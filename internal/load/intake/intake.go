// Package intake bounds what callers can make a VM hold before their requests are admitted:
// the bytes of bodies that are read whole, the memory of request heads, and connections.
//
// The load pattern: callers that nobody controls open many connections, send heads of a legal
// size that take many times their size once parsed, or bodies that stop just short of their end.
// Each request alone is within the limits, together they exceed the VM's memory. Each thing
// has a share of the memory of its own, so that callers who exhaust one leave room for the
// requests of others, which need little of any.
package intake

import "sync/atomic"

// Memory of a request head.
const (
	// freeHead is the memory in bytes up to which a head is not counted. It covers usual heads.
	freeHead = 8 << 10
	// lineBytes is the memory of a header line beside its text: entries of two maps, of the
	// request and of what is sent to a server.
	lineBytes = 320
	// textCopies is how often the text is held.
	textCopies = 2
)

// HeadBytes returns the memory in bytes of a head of a length and a number of lines that is
// counted.
func HeadBytes(length, lines int) int64 {
	return max(ParsedHeadBytes(length, lines)-freeHead, 0)
}

// ParsedHeadBytes returns the memory in bytes of a head of a length and a number of lines.
func ParsedHeadBytes(length, lines int) int64 {
	return int64(length)*textCopies + int64(lines)*lineBytes
}

// minLine is the length in bytes of the shortest header line, with its end.
const minLine = 4

// HeadBound returns the bound for the memory of heads where a head may have a length: the VM's
// own bound, or room for two of the heads that take most.
func (l Limits) HeadBound(length int) int64 {
	if l.Heads <= 0 {
		return 0
	}
	return max(l.Heads, 2*HeadBytes(length, length/minLine))
}

// Limits are bounds for one VM. Zero means no bound.
type Limits struct {
	Bodies int64 // bytes of bodies that are being read or wait to be sent
	Heads  int64 // bytes of memory of request heads
	Conns  int   // connections of callers
}

// Shares of a VM's memory and descriptors.
const (
	bodyShare = 8
	headShare = 12
	connShare = 6
	// ConnBytes is the memory of a connection that is at rest: buffers, goroutine, bookkeeping
	// and the parts of a head and of a body that are not counted.
	ConnBytes = 40 << 10
	// descriptorShare leaves as many descriptors for connections to servers, other VMs and the
	// store as callers may have.
	descriptorShare = 2
	// reservedDescriptors are for files.
	reservedDescriptors = 200
	// The heap's part of the memory, as a fraction.
	runtimeShare, runtimeDivisor = 6, 10
	// defaultMemory is assumed of a VM that does not know its memory.
	defaultMemory = 256 << 20
)

// LimitsFor returns the limits of a VM with a memory in bytes and a number of descriptors; zero
// if they are not known.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	l := Limits{Bodies: memory / bodyShare, Heads: memory / headShare, Conns: int(memory / connShare / ConnBytes)}
	if descriptors > 0 {
		l.Conns = min(l.Conns, max(descriptors-reservedDescriptors, descriptorShare)/descriptorShare)
	}
	return l
}

// RuntimeMemory returns the memory in bytes that the heap of a VM with a memory should stay
// within, or zero if that is not known. The rest is for the program itself, stacks of the
// system's threads, and what the kernel keeps for connections.
func RuntimeMemory(memory int64) int64 { return memory / runtimeDivisor * runtimeShare }

// Pool counts bytes up to a bound. The zero value has none.
type Pool struct {
	bound atomic.Int64
	used  atomic.Int64
	fails atomic.Int64
}

// SetBound sets the bound; zero means none.
func (p *Pool) SetBound(n int64) { p.bound.Store(n) }

// Acquire takes n bytes, and reports whether there was room for them.
func (p *Pool) Acquire(n int64) bool {
	used, bound := p.used.Add(n), p.bound.Load()
	if bound <= 0 || used <= bound {
		return true
	}
	p.used.Add(-n)
	p.fails.Add(1)
	return false
}

// Release gives n bytes back.
func (p *Pool) Release(n int64) { p.used.Add(-n) }

// Used returns the number of bytes that are taken.
func (p *Pool) Used() int64 { return p.used.Load() }

// Refused returns how often there was no room.
func (p *Pool) Refused() int64 { return p.fails.Load() }
