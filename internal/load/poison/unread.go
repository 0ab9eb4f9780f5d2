package poison

import "bytes"

// UnreadBody returns a substitute digest for a body of unknown length of which a server
// crashed before it was complete. It includes the caller, also in [Fingerprint.AnyCaller]:
// nothing else tells the request from others with the same head.
func UnreadBody(caller string) Body {
	const noLength = 8 // bytes, which no length of a body encodes to
	return BodyOf(append(bytes.Repeat([]byte{0xff}, noLength), caller...))
}
