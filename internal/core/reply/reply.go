// Package reply says what counts as an answer to an HTTP request.
//
// net/http's client passes on messages that RFC 9110 and RFC 9112 rule out. Whoever calls
// a backend server, another VM or the store checks a response here before using anything
// of it.
package reply

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Reasons why a response is no answer.
var (
	// ErrStatus says that a status is not one of a final response (RFC 9110, section 15).
	ErrStatus = errors.New("the answer has no valid status")
	// ErrVersion says that a message has another format than its connection (RFC 9112, section 2.3).
	ErrVersion = errors.New("the answer has another version of HTTP")
	// ErrLength says that a message has a body where its status allows none (RFC 9110, section 8.6).
	ErrLength = errors.New("the answer has a body that its status does not allow")
	// ErrFraming says that the end of a body cannot be known: net/http ignores the framing of an
	// HTTP/1.0 message, which makes it faulty (RFC 9112, section 6.1).
	ErrFraming = errors.New("the answer of HTTP/1.0 has no length")
	// ErrField says that a field of the header or the trailer has a name or a value that RFC 9110,
	// section 5, does not allow.
	ErrField = errors.New("the answer has a malformed field")
)

// maxStatus is the largest status that RFC 9110 defines.
const maxStatus = 599

// CheckStatus returns nil if a number is the status of a final response. No request asks for
// another protocol, so a 101 answers none.
func CheckStatus(code int) error {
	if code < http.StatusOK || code > maxStatus {
		return fmt.Errorf("%w: %03d", ErrStatus, code)
	}
	return nil
}

// Check returns nil if a response over HTTP/1.x is an answer, and otherwise the reason why it
// is none.
func Check(resp *http.Response) error {
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: %s", ErrVersion, resp.Proto)
	}
	if resp.StatusCode == http.StatusNoContent && !isZeroLength(resp.Header["Content-Length"]) {
		return ErrLength
	}
	if resp.ContentLength < 0 && resp.Body != http.NoBody && !resp.ProtoAtLeast(1, 1) {
		return ErrFraming
	}
	return CheckFields(resp.Header)
}

// isZeroLength reports whether there is no length, or one of zero, which some servers send with
// an answer without a body.
func isZeroLength(lengths []string) bool {
	return len(lengths) == 0 || strings.Trim(lengths[0], "0") == ""
}
