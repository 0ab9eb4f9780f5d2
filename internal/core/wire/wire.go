// Package wire is the codec of the project's own formats: CBOR in its
// deterministic form, with bounds that keep a hostile message from costing
// more memory than its own length.
//
// Field names in these formats are one short word. Unknown fields are ignored,
// so an older program reads a newer message; a message whose meaning changed
// says so in its own version field.
package wire

import (
	"github.com/fxamacker/cbor/v2"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Bounds on what Decode accepts. The largest honest value is a table of 64k
// slices; nothing of ours nests deeper than a few levels.
const (
	MaxItems = 1 << 18
	MaxDepth = 16
)

var (
	enc = must(encOptions().EncMode())
	dec = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: MaxItems,
		MaxMapPairs:      MaxItems,
		MaxNestedLevels:  MaxDepth,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

// encOptions keeps times to the nanosecond, in UTC. The library's own default
// cuts them to whole seconds, and journal entries of one second would lose
// their order.
func encOptions() cbor.EncOptions {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	return opts
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode renders v. The same value always gives the same bytes, so digests of
// encoded values can be compared between processes.
func Encode(v any) ([]byte, error) {
	b, err := enc.Marshal(v)
	return b, kinds.Wrap(kinds.Internal, err, "encode")
}

// Decode reads b into v. It fails with kind Malformed on anything that is not
// one well-formed value within the bounds.
func Decode(b []byte, v any) error {
	return kinds.Wrap(kinds.Malformed, dec.Unmarshal(b, v), "decode")
}
