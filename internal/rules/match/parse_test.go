package match

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/fake/seeds"
)

const example = `# the receiving authority
[[rule]]
name = "receipts"
when = { method = ["POST"], path = "/scales/{scale}/receipts" }
then = { service = "ledger", key = "path:scale", class = "urgent", deadline = "2s", once = "store", durable = "journal" }

[[rule]]
name = "windows"
[rule.when]
method = ["GET", "HEAD"]
path = "/scales/{scale}/{rest...}"
[rule.then]
service = "lookup"
key = "path:scale"
idempotent = true
hedge = "20ms"
deadline = "300ms"

[[rule]]
name = "early"
when.method = ["GET"]
when.path = "/scales/{id}/windows"
then.service = "lookup"
then.key = "path:id"
then.class = "vip"
then.large = true
`

func TestParseReadsAndRendersTheSameRules(t *testing.T) {
	f, err := Parse([]byte(example))
	assert.NilError(t, err)
	assert.Equal(t, len(f.Rules), 3)
	assert.Equal(t, f.Rules[1].Then.Hedge.String(), "20ms")
	assert.Assert(t, f.Rules[2].Then.Large && !f.Rules[1].Then.Large)
	out, err := Render(f.Rules)
	assert.NilError(t, err)
	again, err := Parse(out)
	assert.NilError(t, err, string(out))
	assert.DeepEqual(t, again.Rules, f.Rules, ignoreUnexported)
}

// A rule that requires a journal record of each request but retains only some would reject
// the requests it cannot record, and an auditor would not find the others.
func TestInvalidRetentionNamesTheLine(t *testing.T) {
	const head = "[[rule]]\nname = \"a\"\nwhen = { path = \"/a/{x}\" }\n[rule.then]\nservice = \"lookup\"\n"
	for then, want := range map[string]string{
		"durable = \"journal\"\nkeep = \"none\"":        "line 7: rule a: then.keep: durable = \"journal\" requires a record of every request",
		"durable = \"journal\"\nkeep = \"submissions\"": "line 7: rule a: then.keep: durable = \"journal\" requires a record of every request",
		"durable = \"journal\"\nkeep = \"1/9\"":         "line 7: rule a: then.keep: durable = \"journal\" requires a record of every request",
		"keep = \"1/100\"":                              "line 6: rule a: then.keep: a sample is chosen by key",
		"key = \"path:x\"\nkeep = \"1/1\"":              "line 7: rule a: then.keep: is all, submissions, none, or",
		"keep = \"some\"":                               "line 6: rule a: then.keep: is all, submissions, none, or",
	} {
		f, err := Parse([]byte(head + then))
		assert.NilError(t, err)
		_, err = f.Compile()
		assert.ErrorContains(t, err, want)
		assert.Equal(t, kinds.Of(err), kinds.Malformed)
	}
	for _, then := range []string{
		"durable = \"journal\"\nkeep = \"all\"", "keep = \"none\"", "once = \"store\"\nkeep = \"submissions\"", "key = \"path:x\"\nkeep = \"1/64\"",
	} {
		f, err := Parse([]byte(head + then))
		assert.NilError(t, err)
		_, err = f.Compile()
		assert.NilError(t, err)
		out, err := Render(f.Rules)
		assert.NilError(t, err)
		again, err := Parse(out)
		assert.NilError(t, err)
		assert.Equal(t, again.Rules[0].Then.Keep, f.Rules[0].Then.Keep)
	}
}

func TestFaultsNameTheLine(t *testing.T) {
	f, err := Parse([]byte(example))
	assert.NilError(t, err)
	_, err = f.Compile()
	assert.ErrorContains(t, err, "line 25: rule early: then.class: must be urgent, normal or bulk")
	f.Rules[2].Then.Class = Bulk
	_, err = f.Compile()
	assert.ErrorContains(t, err, "line 19: rule early: can never match: the earlier rule windows (line 7) takes all its requests")
	var faults Faults
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, faults[0].By, "windows")
}

func TestParseNamesTheLineOfWhatItCannotRead(t *testing.T) {
	for src, want := range map[string]string{
		"[[rule]]\nname = 'a'\nthen = { servce = 'x' }\n":      "line 3: unknown field servce",
		"[[rule]]\nname = \n":                                  "line 2",
		"[[rule]]\nname = 'a'\nthen = { deadline = 'soon' }\n": "line 3",
		"[[rule]]\nname = 'a'\nthen = { retry = 'x' }\n":       "line 3",
		"[[rules]]\nname = 'a'\n":                              "line 1: unknown field rules",
		"[[rule]]\nname = 'a'\nname = 'b'\n":                   "line 3",
		"[[rule]]\nname = 'a'\nthen = { deadline = 5 }\n":      "line 3",
		"[[rule]]\nname = 'a'\nwhen = { method = \"POST\" }\n": "line 3",
	} {
		_, err := Parse([]byte(src))
		assert.ErrorContains(t, err, want, src)
		assert.Equal(t, kinds.Of(err), kinds.Malformed)
	}
	_, err := Parse(make([]byte, MaxFile+1))
	assert.Equal(t, kinds.Of(err), kinds.TooLarge)
}

func TestRenderRoundTrips(t *testing.T) {
	seeds.Check(t, func(t *rapid.T) {
		rules := drawRules(t, 10)
		out, err := Render(rules)
		assert.NilError(t, err)
		f, err := Parse(out)
		assert.NilError(t, err, string(out))
		assert.DeepEqual(t, f.Rules, rules, ignoreUnexported, emptyAsNil)
	})
}

// FuzzParse looks for input that crashes the parser or the checks, and for valid rules
// that do not survive rendering and parsing again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Fuzz(func(t *testing.T, src []byte) {
		file, err := Parse(src)
		if err != nil {
			return
		}
		s, err := file.Compile()
		if err != nil {
			return
		}
		out, err := Render(s.Rules())
		assert.NilError(t, err)
		again, err := Parse(out)
		assert.NilError(t, err, string(out))
		_, err = again.Compile()
		assert.NilError(t, err, string(out))
	})
}

// FuzzMatch looks for requests for which the compiled set and the linear search differ, or
// that crash the key extraction.
func FuzzMatch(f *testing.F) {
	f.Add("/scales/7/receipts", "POST", "scale=7", "grower-1")
	f.Add("/scales/%37/../x", "GET", "%", "")
	f.Add("", "", "", "")
	src, err := Parse([]byte(example))
	assert.NilError(f, err)
	src.Rules[2].Then.Class = Bulk
	src.Rules = src.Rules[:2]
	s, err := src.Compile()
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, path, method, query, caller string) {
		req := &Request{Path: path, Method: method, Query: query, Caller: ident.Caller(caller)}
		r, ok := s.Match(req)
		if path == "" || path[0] != '/' {
			assert.Assert(t, !ok)
			return
		}
		if !ok {
			return
		}
		assert.Equal(t, r.Name, s.Rules()[naive(s.Rules(), req)].Name)
		if _, err := KeyOf(r, req); err != nil {
			assert.Equal(t, kinds.Of(err), kinds.BadRequest)
		}
	})
}
