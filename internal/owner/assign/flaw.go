package assign

// flaw is a safety rule that is deliberately broken. Only tests set one, to show that they
// detect the resulting violation.
type flaw uint8

// The flaws.
const (
	flawNone               flaw = iota
	flawSkipWait                // reassign a silent server's keys without waiting for its grants to expire
	flawIgnoreInFlight          // ignore grants that have not been answered
	flawIgnoreOldTerm           // ignore that an earlier leader may have renewed grants
	flawKeepFence               // grant keys to the next owner under the previous owner's fence
	flawAcceptForeignTable      // treat another leader's table of the same epoch as one's own
	flawSkipLostWait            // reassign keys with an unknown owner at once
	flawIgnoreDelay             // ignore that orders through another VM may arrive later
	flawActBeforeWrite          // act on a draft before it has been written to the store
	flawTrustCopy               // take the table of an earlier era for the present one
	flawKeepTop                 // give out the fences of an earlier era again
)
