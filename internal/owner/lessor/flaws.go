package lessor

// flaw names a deliberately broken safety rule. Only tests set one, to show
// that their checks detect it: see docs/design/ownership.md.
type flaw uint8

// Each flaw breaks one safety rule.
const (
	flawNone     flaw = iota
	flawMargin        // wait out a lease without drift and margin
	flawWait          // do not wait for a silent server's lease
	flawDoubt         // treat a write with an unknown outcome as done
	flawFence         // send every order under the same fence
	flawBar           // neither raise nor respect the minimum epoch
	flawAdd           // renew by granting the whole set of the table
	flawDeputy        // send full grants as deputy
	flawOthers        // do not wait for other members to end
	flawLate          // do not wait for a full grant that can be obeyed late
	flawReadback      // do not read the server's set again after that wait
	flawTerm          // go on after the term has ended
	flawYield         // promise to stop, and go on
	flawEager         // grant to a standby before the owner's lease has expired
	flawAgree         // do not ask the deputy about a standby
	flawForget        // take over without regard to an earlier standby
	flawReturn        // write the keys to the standby without revoking them first
	flawGone          // treat the standby's lease as ended because its server is gone
)
