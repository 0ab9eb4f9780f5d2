package chart

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

const door = `
name = "door"
start = "shut"
final = ["broken"]
[[move]]
from = "shut"
on = "push"
to = "open"
[[move]]
from = "open"
on = "pull"
to = "shut"
[[move]]
from = "open"
on = "push"
to = "open"
[[move]]
from = "open"
on = "kick"
to = "broken"
`

func TestFireFollowsTheFile(t *testing.T) {
	c := MustParse([]byte(door))
	s, err := c.Fire(c.Start, "push")
	assert.NilError(t, err)
	assert.Equal(t, s, State("open"))
	s, err = c.Fire(s, "push")
	assert.NilError(t, err)
	assert.Equal(t, s, State("open"))
	s, err = c.Fire(s, "kick")
	assert.NilError(t, err)
	_, err = c.Fire(s, "pull")
	assert.Equal(t, kinds.Of(err), kinds.Internal)
	assert.Assert(t, !c.Can("shut", "kick"))
}

func TestParseRefusesIncompleteCharts(t *testing.T) {
	for name, src := range map[string]string{
		"dead end":          "name='x'\nstart='a'\n[[move]]\nfrom='a'\non='t'\nto='b'\n",
		"unreachable":       "name='x'\nstart='a'\nfinal=['b','c']\n[[move]]\nfrom='a'\non='t'\nto='b'\n",
		"leaves final":      "name='x'\nstart='a'\nfinal=['a']\n[[move]]\nfrom='a'\non='t'\nto='a'\n",
		"duplicate trigger": "name='x'\nstart='a'\n[[move]]\nfrom='a'\non='t'\nto='a'\n[[move]]\nfrom='a'\non='t'\nto='a'\n",
		"without a name":    "start='a'\n",
		"not TOML":          "name=",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(src))
			assert.Equal(t, kinds.Of(err), kinds.Malformed)
		})
	}
}
