package front

import (
	"fmt"
	"runtime/debug"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// recovered calls a function that serves the request, and returns a panic as an error of kind
// Internal. Attempts and requests that were begun ahead run in goroutines of their own, in
// which a panic would end the process and all requests in flight with it.
func (x *exchange) recovered(serve func() error) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if x.f.Log != nil {
			x.f.Log.Error("panic while serving a request", "id", x.decision.ID, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
		}
		err = kinds.New(kinds.Internal, fmt.Sprintf("panic: %v", v))
	}()
	return serve()
}
