package front

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/relay"
)

// Guards against callers who send a request again that has run, because its server ended it with a status that promises the opposite.
func TestAStatusAloneIsNoPromise(t *testing.T) {
	for path, want := range map[string]int{"/lab/1": http.StatusBadGateway, "/sparse/1": http.StatusBadGateway, "/scales/1": http.StatusServiceUnavailable} {
		runWithTestbed(t, func(t *testing.T, tb *testbed) {
			ran := 0
			for _, at := range []netip.AddrPort{l1Addr, u1Addr} {
				tb.replaceServer(at, func(w http.ResponseWriter, _ string) {
					ran++
					w.WriteHeader(http.StatusServiceUnavailable)
				})
			}
			resp, _, err := tb.do(tb.request("POST", path, strings.NewReader("load")))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, want, path)
			assert.Equal(t, ran, 1, path)
			if d := tb.decisions.last(); want == http.StatusBadGateway {
				assert.Equal(t, d.Promise, record.Promise(""))
				assert.Equal(t, d.Ran, kinds.RanUnknown)
			}
		})
	}
}

// Guards against a log that does not tell whose word a promise of "not run" was.
func TestADecisionSaysOnWhatItsPromiseRests(t *testing.T) {
	for want, answer := range map[record.Promise]func(w http.ResponseWriter, id string){
		record.PromiseRefused: func(w http.ResponseWriter, id string) {
			w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
			w.Header().Set(relay.HeaderID, id)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		record.PromiseUnnamed: func(w http.ResponseWriter, _ string) {
			w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		record.PromisePassedOn: func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusServiceUnavailable) },
		"":                     func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusBadGateway) },
	} {
		runWithTestbed(t, func(t *testing.T, tb *testbed) {
			tb.replaceServer(l1Addr, answer)
			_, _, err := tb.do(tb.request("GET", "/scales/north", nil))
			assert.NilError(t, err)
			assert.Equal(t, tb.decisions.last().Promise, want)
			_, _, err = tb.do(tb.request("GET", "/closed", nil))
			assert.NilError(t, err)
			assert.Equal(t, tb.decisions.last().Promise, record.PromiseUnsent)
		})
	}
}

// Guards against a second attempt's refusal that is told as the refusal of a request whose first attempt may have run.
func TestARefusalOfTheLastAttemptPromisesNothingForTheFirst(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		assert.NilError(t, tb.origins["l1"].Close())
		requests := 0
		tb.serveRaw(l1Addr, func(*http.Request) string {
			if requests++; requests == 1 {
				return ""
			}
			return "HTTP/1.1 503 Full\r\nHawthorn-Ran: no\r\nContent-Length: 0\r\n\r\n"
		})
		resp, _, err := tb.do(tb.request("GET", "/again/north", nil))
		assert.NilError(t, err)
		assert.Equal(t, requests, 2)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, resp.Header.Get(kinds.HeaderRan), string(kinds.RanUnknown))
		assert.Equal(t, tb.decisions.last().Ran, kinds.RanUnknown)
		assert.Equal(t, tb.decisions.last().Promise, record.Promise(""))
	})
}

// Guards against telling "not run" of a request whose answer was dropped because its key had moved.
func TestADroppedAnswerIsNotForgotten(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.replaceServer(l1Addr, func(http.ResponseWriter, string) {})
		tb.front.Headers.Load = func(http.Header) (relay.LoadReport, bool) {
			tb.setView("l2") // which has no lease
			time.Sleep(2 * formerOwnerGrace)
			return relay.LoadReport{}, false
		}
		resp, _, err := tb.do(tb.request("GET", "/scales/north", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, resp.Header.Get(kinds.HeaderRan), string(kinds.RanUnknown))
	})
}

// Guards against a log that says "unsent" of a request that was refused before its wait for the next owner ended.
func TestAnEarlierRefusalIsPartOfThePromise(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		tb.replaceServer(l1Addr, func(w http.ResponseWriter, id string) {
			w.Header().Set(kinds.HeaderRan, string(kinds.RanNo))
			w.Header().Set(relay.HeaderID, id)
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		resp, _, err := tb.do(tb.request("GET", "/scales/north", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, tb.decisions.last().Promise, record.PromiseRefused)
	})
}
