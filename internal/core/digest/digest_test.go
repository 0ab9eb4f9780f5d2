package digest

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOfDistinguishesValues(t *testing.T) {
	assert.Equal(t, Of([]byte("a")).String(), "ca978112ca1bbdca")
	assert.Assert(t, Of([]byte("a")) != Of([]byte("b")))
	assert.Assert(t, !Of(nil).IsZero())
	assert.Assert(t, Sum{}.IsZero())
}
