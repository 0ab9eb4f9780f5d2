package assign

// flaw names a deliberately broken safety rule. Only tests set one, to show that the
// properties notice.
type flaw uint8

// The flaws.
const (
	flawNone   flaw = iota
	flawWait        // give a silent server's keys away without waiting for its grants
	flawFlying      // forget grants that are still on their way
	flawBar         // forget that a leader before may have renewed
	flawFence       // give keys to the next owner under the fence of the last
	flawBehind      // take another leader's table of the same epoch for one's own
	flawLost        // give keys of a row that names nobody away at once
	flawStale       // act on a draft before the store has agreed to it
)
