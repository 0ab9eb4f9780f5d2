package kinds

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEveryKindHasATableRow(t *testing.T) {
	seen := map[string]Kind{}
	for _, k := range All() {
		a := k.Answer()
		assert.Assert(t, a.Status >= 200, "kind %d has no status", k)
		assert.Assert(t, a.Ran != "", "kind %d does not say whether the request ran", k)
		_, duplicate := seen[k.String()]
		assert.Assert(t, !duplicate, "duplicate name %q", k)
		seen[k.String()] = k
	}
}

func TestOfFindsTheKindThroughWrapping(t *testing.T) {
	err := fmt.Errorf("outer: %w", Wrap(Conflict, errors.New("inner"), "put seat"))
	assert.Equal(t, Of(err), Conflict)
	assert.Equal(t, Of(nil), None)
	assert.Equal(t, Of(errors.New("plain")), Internal)
	assert.Assert(t, errors.Is(err, New(Conflict, "")))
	assert.Assert(t, Wrap(Unavailable, nil, "nothing") == nil)
}

func TestInvalidKindNeverLooksLikeSuccess(t *testing.T) {
	assert.Equal(t, Kind(200).Answer(), Internal.Answer())
}

func TestJSONShowsNames(t *testing.T) {
	b, err := json.Marshal(map[Kind]int{Busy: 3})
	assert.NilError(t, err)
	assert.Equal(t, string(b), `{"busy":3}`)
}
