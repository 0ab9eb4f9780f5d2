package poll

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

func TestChangeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Change{
			Epoch: rapid.Uint64().Draw(t, "epoch"), Seq: rapid.Uint64().Draw(t, "seq"), Full: rapid.Bool().Draw(t, "full"),
			Spans: []ranges.Assignment{},
		}
		for range rapid.IntRange(0, 20).Draw(t, "spans") {
			first := rapid.Uint16().Draw(t, "first")
			c.Spans = append(c.Spans, ranges.Assignment{
				Span:   ranges.Span{First: first, Last: rapid.Uint16Min(first).Draw(t, "last")},
				Server: ident.Server(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "server")),
			})
		}
		text, err := json.Marshal(c)
		assert.NilError(t, err)
		var got Change
		assert.NilError(t, json.Unmarshal(text, &got))
		assert.DeepEqual(t, got, c)
	})
}

func TestABadChangeIsMalformed(t *testing.T) {
	for _, text := range []string{
		`{"names":["a"],"spans":[[0,63,2]]}`, `{"names":[],"spans":[[64,63,0]]}`, `{"spans":[[0,70000,0]]}`, `[]`,
	} {
		var c Change
		assert.Equal(t, kinds.Of(c.UnmarshalJSON([]byte(text))), kinds.Malformed, text)
	}
}

// Guards against a change so large that grants expire: a new leader sends all spans to
// hundreds of VMs, which takes seconds on a slow link, while it should renew grants.
func TestAllSpansFitIntoAFewKilobytes(t *testing.T) {
	c := Change{Epoch: 7, Seq: 1, Full: true}
	for i := range 1024 {
		first := uint16(i * 64)
		c.Spans = append(c.Spans, ranges.Assignment{
			Span: ranges.Span{First: first, Last: first + 63}, Server: ident.Server(fmt.Sprintf("i-%010x", i%143)),
		})
	}
	text, err := json.Marshal(c)
	assert.NilError(t, err)
	assert.Assert(t, len(text) < 20<<10, "%d bytes", len(text))
}
