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
)

// ErrStatus says that a status is not one of a final response (RFC 9110, section 15).
var ErrStatus = errors.New("the answer has no valid status")

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

// Check returns nil if a response is an answer, and otherwise the reason why it is none.
func Check(resp *http.Response) error { return CheckStatus(resp.StatusCode) }
