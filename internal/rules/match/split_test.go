package match

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
)

// A new version gets a tenth of the requests and an operator looks at a minute of them.
// With a random choice the minute could have none, or twice as many as intended.
func TestASplitKeepsItsWeightsOverAnyShortRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		then := Then{Split: []Part{
			{Service: "old", Weight: rapid.Uint32Range(1, 99).Draw(t, "old")},
			{Service: "new", Weight: rapid.Uint32Range(1, 99).Draw(t, "new")},
		}}
		const run = 200
		from := rapid.Uint64().Draw(t, "from")
		got := map[ident.Service]int{}
		for n := range uint64(run) {
			got[then.Target(from+n)]++
		}
		want := run * float64(then.Split[0].Weight) / float64(then.Split[0].Weight+then.Split[1].Weight)
		assert.Assert(t, float64(got["old"]) > want-4 && float64(got["old"]) < want+4, "%v of %v", got, want)
	})
}

func TestAPrefixIsComparedByteForByte(t *testing.T) {
	set, err := Compile([]Rule{
		{Name: "long", When: When{Host: []string{"a.example"}, Prefix: "/x/y/"}, Then: Then{Service: "deep"}},
		{Name: "short", When: When{Host: []string{"a.example"}, Prefix: "/x/"}, Then: Then{Service: "flat"}},
	})
	assert.NilError(t, err)
	for path, want := range map[string]string{"/x/y/z": "long", "/x/y": "short", "/x/": "short", "/x": "", "/xy/": ""} {
		r, ok := set.Match(&Request{Host: "a.example", Path: path})
		assert.Equal(t, ok, want != "", path)
		if ok {
			assert.Equal(t, r.Name, want, path)
		}
	}
	_, err = Compile([]Rule{{Name: "bad", When: When{Prefix: "/x"}, Then: Then{Service: "s"}}})
	assert.ErrorContains(t, err, "ends with a slash")
	_, err = Compile([]Rule{
		{Name: "short", When: When{Prefix: "/x/"}, Then: Then{Service: "flat"}},
		{Name: "hidden", When: When{Prefix: "/x/y/"}, Then: Then{Service: "deep"}},
	})
	assert.ErrorContains(t, err, "can never match")
}
