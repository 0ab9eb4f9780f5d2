package front

import (
	"fmt"
	"runtime/debug"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
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

// dropAnswer takes back an answer that has failed if nothing of it has been passed on to the
// caller.
func (x *exchange) dropAnswer() bool {
	if run, ok := x.w.(*pipe.Run); ok {
		return run.Reset()
	}
	if x.ginWriter.Written() {
		return false
	}
	clear(x.w.Header())
	return true
}
