package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

type sample struct {
	Rev  uint64            `cbor:"rev"`
	Tags map[string]string `cbor:"tags"`
}

func TestEncodingIsDeterministicAndReadsBack(t *testing.T) {
	v := sample{Rev: 7, Tags: map[string]string{"b": "2", "a": "1", "c": "3"}}
	first, err := Encode(v)
	assert.NilError(t, err)
	for range 20 {
		again, err := Encode(v)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, first)
	}
	var got sample
	assert.NilError(t, Decode(first, &got))
	assert.DeepEqual(t, got, v)
}

// A peer or an attacker sends bytes that are truncated, padded, or claim a length
// far beyond the message. Decode must return an error.
func TestDecodeRejectsInvalidInput(t *testing.T) {
	good, err := Encode(sample{Rev: 1})
	assert.NilError(t, err)
	for name, b := range map[string][]byte{
		"empty":      {},
		"cut short":  good[:len(good)-1],
		"padded":     append(append([]byte{}, good...), 0),
		"huge array": {0x9b, 0, 0, 0, 0xff, 0, 0, 0, 0},
		"wrong type": {0x01},
	} {
		t.Run(name, func(t *testing.T) {
			var v sample
			assert.Equal(t, kinds.Of(Decode(b, &v)), kinds.Malformed)
		})
	}
}

func TestTimesKeepTheirNanoseconds(t *testing.T) {
	type stamped struct {
		At time.Time `cbor:"at"`
	}
	at := time.Date(2026, 10, 1, 8, 0, 0, 123456789, time.FixedZone("", 7200))
	b, err := Encode(stamped{At: at})
	assert.NilError(t, err)
	var got stamped
	assert.NilError(t, Decode(b, &got))
	assert.Assert(t, got.At.Equal(at))
	assert.Equal(t, got.At.Location(), time.UTC)
}
