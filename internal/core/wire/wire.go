// Package wire encodes and decodes the project's own formats. They use deterministic
// CBOR, with limits that keep a hostile message from using more memory than its
// own length.
//
// Field names in these formats are one short word. Unknown fields are ignored, so
// an older program can read a newer message; a message whose meaning changed says
// so in its own version field.
package wire

import (
	"github.com/fxamacker/cbor/v2"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Limits of Decode. The largest valid value is a table of 64k slices, and no format
// of the project nests deeper than a few levels.
const (
	MaxItems = 1 << 18 // elements of an array, or pairs of a map
	MaxDepth = 16      // levels of nesting
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

// encOptions encodes times in UTC with nanoseconds. The library's default truncates
// them to whole seconds, and journal entries of the same second would lose their
// order.
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

// Encode encodes v. Equal values always have equal encodings, so processes can
// compare digests of encoded values.
func Encode(v any) ([]byte, error) {
	b, err := enc.Marshal(v)
	return b, kinds.Wrap(kinds.Internal, err, "encode")
}

// Decode decodes b into v. It returns an error of kind Malformed unless b is exactly
// one well-formed value within the limits.
func Decode(b []byte, v any) error {
	return kinds.Wrap(kinds.Malformed, dec.Unmarshal(b, v), "decode")
}
