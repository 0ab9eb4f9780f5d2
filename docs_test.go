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

// filesWithSuffix lists the files below the module's root whose paths end in suffix. It
// skips hidden directories, tools and build output.
func filesWithSuffix(t *testing.T, suffix string) []string {
	t.Helper()
	var found []string
	assert.NilError(t, filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		hidden := strings.HasPrefix(d.Name(), ".") && path != "."
		if d.IsDir() && (hidden || path == "bin" || path == "out" || path == "tools") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, suffix) {
			found = append(found, path)
		}
		return err
	}))
	return found
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(b)
}

// Guards against pages that name a test as proof of a promise after the test was renamed
// or deleted.
func TestPagesNameOnlyTestsThatExist(t *testing.T) {
	var known []string
	for _, path := range filesWithSuffix(t, "_test.go") {
		for _, m := range testFunc.FindAllStringSubmatch(readFile(t, path), -1) {
			known = append(known, m[1])
		}
	}
	for _, path := range filesWithSuffix(t, ".md") {
		for _, name := range testName.FindAllString(readFile(t, path), -1) {
			assert.Assert(t, slices.Contains(known, name), "%s names %s, which does not exist", path, name)
		}
	}
}

// Guards against broken links between pages.
func TestPagesLinkOnlyToWhatExists(t *testing.T) {
	for _, path := range filesWithSuffix(t, ".md") {
		for _, m := range pageLink.FindAllStringSubmatch(readFile(t, path), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), m[1]))
			assert.NilError(t, err, "%s links to %s", path, m[1])
		}
	}
}
