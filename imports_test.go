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
	modulePath = "hawthornfield.org/hawthornfield"
	inner      = modulePath + "/internal/"
)

// mayImport is the table of ARCHITECTURE.md: for each area, the other areas
// whose packages it may use. Tests and the stand-ins are free.
var mayImport = map[string][]string{
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

// A decision module that reaches for a runner, or a runner's package that a
// decision module needs, makes a knot that nobody can test without a network. It
// begins with one import that looks harmless.
func TestAreasImportOnlyWhatTheMapAllows(t *testing.T) {
	for _, path := range files(t, ".go") {
		parts := strings.Split(filepath.ToSlash(path), "/")
		if len(parts) < 3 || parts[0] != "internal" || strings.HasSuffix(path, "_test.go") {
			continue
		}
		allowed, ruled := mayImport[parts[1]]
		if !ruled || measures[parts[1]+"/"+parts[2]] {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		assert.NilError(t, err)
		for _, spec := range f.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			assert.NilError(t, err)
			rest, ours := strings.CutPrefix(imported, inner)
			if !ours {
				continue
			}
			area, _, _ := strings.Cut(rest, "/")
			ok := area == parts[1] || slices.Contains(allowed, area)
			assert.Assert(t, ok, "%s imports %s", path, imported)
		}
	}
}

// measures names the packages that measure their area with stand-ins.
var measures = map[string]bool{"owner/outage": true, "edge/perf": true}

// platformNames are words that only the users' platform speaks. A name that stands
// beside its translation somewhere else is a second translation, which nobody finds
// when the platform changes.
var platformNames = regexp.MustCompile(`X-Attempt-Id|X-Time-Remaining|X-Server-Seal|X-Expected-Instance|X-Instance-|` +
	`X-Not-Executed|X-Shard-Key|X-Handover|staleOk|waitMs|storeRevision|trafficSplit|pathPrefix|warmupLeftS|holdS|` +
	`HAWTHORNFIELD_SETTINGS|internalPortRange`)

// The adapter grows into the product, or the product into the adapter, one
// convenient name or import at a time.
func TestOnlyTheAdapterKnowsThePlatform(t *testing.T) {
	for _, path := range files(t, ".go") {
		slash := filepath.ToSlash(path)
		if strings.HasPrefix(slash, "platform/") || slash == "imports_test.go" {
			continue
		}
		found := platformNames.FindString(read(t, path))
		assert.Assert(t, found == "", "%s speaks of %s", path, found)
		knows := strings.Contains(read(t, path), modulePath+"/platform"+`"`)
		assert.Assert(t, !knows || strings.HasPrefix(slash, "internal/admin/"), "%s imports the adapter", path)
	}
}
