package hawthornfield_test

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	modulePath   = "hawthornfield.org/hawthornfield"
	internalPath = modulePath + "/internal/"
)

// allowedImports is the table of ARCHITECTURE.md: for each area, that is each directory
// below internal, the other areas whose packages it may import. Tests and areas that
// are not listed, such as the fakes, may import anything.
var allowedImports = map[string][]string{
	"core":  {},
	"plat":  {"core"},
	"peer":  {"core"},
	"load":  {"core"},
	"rules": {"core", "plat"},
	"owner": {"core", "plat"},
	"node":  {"core", "plat", "rules", "owner"},
	"audit": {"core", "plat"},
	"edge":  {"core", "plat", "peer", "load", "rules", "owner", "node", "audit"},
}

// Guards against state machines that import the packages which execute their effects.
// Such state machines cannot be tested without a network.
func TestAreasImportOnlyWhatTheMapAllows(t *testing.T) {
	for _, path := range filesWithSuffix(t, ".go") {
		parts := strings.Split(filepath.ToSlash(path), "/")
		if len(parts) < 3 || parts[0] != "internal" || strings.HasSuffix(path, "_test.go") {
			continue
		}
		allowed, listed := allowedImports[parts[1]]
		if !listed || measurePackages[parts[1]+"/"+parts[2]] {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		assert.NilError(t, err)
		for _, spec := range f.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			assert.NilError(t, err)
			rest, isInternal := strings.CutPrefix(imported, internalPath)
			if !isInternal {
				continue
			}
			area, _, _ := strings.Cut(rest, "/")
			ok := area == parts[1] || slices.Contains(allowed, area)
			assert.Assert(t, ok, "%s imports %s", path, imported)
		}
	}
}

// measurePackages are the packages that measure their area with the help of fakes. They
// are exempt.
var measurePackages = map[string]bool{"owner/outage": true, "edge/perf": true}

// platformNames are the users' platform's own names of headers, settings and
// environment variables. Package platform translates them. Any other use would be a
// second translation, which is missed when the platform changes.
var platformNames = regexp.MustCompile(`X-Attempt-Id|X-Time-Remaining|X-Server-Seal|X-Expected-Instance|X-Instance-|` +
	`X-Not-Executed|X-Shard-Key|X-Handover|staleOk|waitMs|storeRevision|trafficSplit|pathPrefix|warmupLeftS|holdS|` +
	`HAWTHORNFIELD_SETTINGS|internalPortRange`)

// Guards against coupling between the router and the platform's adapter: outside of the
// adapter no code uses the platform's names, and only internal/admin imports it.
func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	for _, path := range filesWithSuffix(t, ".go") {
		slash := filepath.ToSlash(path)
		if strings.HasPrefix(slash, "platform/") || slash == "imports_test.go" {
			continue
		}
		found := platformNames.FindString(readFile(t, path))
		assert.Assert(t, found == "", "%s uses the platform's name %s", path, found)
		imports := strings.Contains(readFile(t, path), modulePath+"/platform"+`"`)
		assert.Assert(t, !imports || strings.HasPrefix(slash, "internal/admin/"), "%s imports the adapter", path)
	}
}
