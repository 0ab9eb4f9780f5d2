package front

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/clock"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/pipe"
)

var errNoHeadRoom = kinds.New(kinds.NoRoom, "the headers do not fit into the memory for heads")

// refuseHead returns the answer to a request whose head is not read to its end. Nothing of it
// was sent to a server.
func (f *Front) refuseHead(why pipe.HeadFault) []byte {
	err := errNoHeadRoom
	if why == pipe.HeadTooLong {
		err = errHeaderTooLarge
		if f.State.Rules.CheckFresh(clock.Now()) != nil {
			err = kinds.New(kinds.StaleRules, "newer rules may allow longer headers")
		}
	}
	k := kinds.Of(err)
	a := k.Answer()
	body := string(errorBody{Kind: k.String(), Text: a.Text, Ran: kinds.RanNo}.json())
	resp := &http.Response{
		StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true,
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	resp.Header.Set("Content-Type", "application/json")
	if f.Headers.Ran != "" {
		resp.Header.Set(f.Headers.Ran, string(kinds.RanNo))
	}
	if a.Retry > 0 {
		resp.Header.Set("Retry-After", f.FormatRetryAfter(a.Retry))
	}
	var b bytes.Buffer
	_ = resp.Write(&b) // a buffer takes everything
	return b.Bytes()
}
