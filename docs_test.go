package hawthornfield_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testName = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w+`)
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)[A-Z]\w+)\(`)
	pageLink = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
)

// files lists the tracked kind of file below the module's root.
func files(t *testing.T, ending string) []string {
	t.Helper()
	var found []string
	assert.NilError(t, filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		hidden := strings.HasPrefix(d.Name(), ".") && path != "."
		if d.IsDir() && (hidden || path == "bin" || path == "out" || path == "tools") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ending) {
			found = append(found, path)
		}
		return err
	}))
	return found
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(b)
}

// A page names the test that proves a promise. The test is renamed or dropped
// later, and the page goes on claiming a proof that nobody runs.
func TestPagesNameOnlyTestsThatExist(t *testing.T) {
	var known []string
	for _, path := range files(t, "_test.go") {
		for _, m := range testFunc.FindAllStringSubmatch(read(t, path), -1) {
			known = append(known, m[1])
		}
	}
	for _, path := range files(t, ".md") {
		for _, name := range testName.FindAllString(read(t, path), -1) {
			assert.Assert(t, slices.Contains(known, name), "%s names %s, which does not exist", path, name)
		}
	}
}

// A reader follows a link from one page to the next and finds nothing.
func TestPagesLinkOnlyToWhatExists(t *testing.T) {
	for _, path := range files(t, ".md") {
		for _, m := range pageLink.FindAllStringSubmatch(read(t, path), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), m[1]))
			assert.NilError(t, err, "%s links to %s", path, m[1])
		}
	}
}
