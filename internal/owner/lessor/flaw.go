package lessor

// flaw names a deliberately broken safety rule. Only tests set one, to show
// that the properties notice: see docs/design/ownership.md.
type flaw uint8

// The flaws.
const (
	flawNone     flaw = iota
	flawMargin        // wait out a lease without drift and margin
	flawWait          // do not wait for a silent server's lease
	flawDoubt         // take a write whose answer was lost for done
	flawFence         // send every order under the same fence
	flawBar           // do not raise the bar, nor heed it
	flawAdd           // renew by granting the whole set of the table
	flawDeputy        // a deputy that grants
	flawOthers        // do not wait for other members to end
	flawLate          // do not wait for a full grant that can be obeyed late
	flawReadback      // do not ask the server again after that wait
	flawTerm          // go on after the term
	flawYield         // promise to yield, and go on
	flawEager         // let a stand-by have the keys before the owner's lease has run out
	flawAgree         // do not ask the deputy about a stand-by
	flawForget        // take over without a thought of an earlier stand-by
	flawReturn        // write the keys to the stand-by without revoking them first
	flawGone          // take the stand-by's lease for ended because its server is gone
)
