package lessor

// flaw names a deliberately broken safety rule. Only tests set one, to show
// that their checks detect it: see docs/design/ownership.md.
type flaw uint8

// Each flaw breaks one safety rule.
const (
	flawNone            flaw = iota
	flawNoMargin             // wait out a lease without drift and margin
	flawNoWait               // do not wait for a silent server's lease
	flawAssumeWritten        // treat a write with an unknown outcome as done
	flawSameFence            // send every order under the same fence
	flawMinEpoch             // neither raise nor respect the minimum epoch
	flawRenewGrants          // renew by granting the whole set of the table
	flawDeputyGrants         // send full grants as deputy
	flawIgnoreMembers        // do not wait for other members to end
	flawLateGrant            // do not wait for a full grant that can be obeyed late
	flawNoReadBack           // do not read the server's set again after that wait
	flawPastTerm             // go on after the term has ended
	flawBreakPromise         // promise to stop, and go on
	flawEarlyStandby         // grant to a standby before the owner's lease has expired
	flawNoAgreement          // do not ask the deputy about a standby
	flawIgnoreStandby        // take over without regard to an earlier standby
	flawStandbyNoRevoke      // write the keys to the standby without revoking them first
	flawStandbyGone          // treat the standby's lease as ended because its server is gone
)
