package objcli

import (
	"slices"
	"sync"

	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Limits of the cache. Some objects are read repeatedly just to see whether they
// changed: each VM that watches the store reads the rules twice a second, which are
// half a megabyte if there are some thousand rules. Cached objects are read with
// their ETag, so the response has no body as long as they are unchanged.
const (
	maxCachedObjects = 4  // at most 1 MiB each
	maxRecentNames   = 16 // names of recently read objects; only an object that is read again is cached
)

// cache holds the objects that are read repeatedly. The zero value is an empty cache.
type cache struct {
	mu          sync.Mutex
	recentNames []string       // in the order of their last full read
	objects     []cachedObject // in the order of their last full read
}

// cachedObject is an object and the ETag of the response that contained it.
type cachedObject struct {
	object.Object
	etag string
}

// get returns the cached object of a name.
func (c *cache) get(name string) (cachedObject, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.objects {
		if x.Name == name {
			return x, true
		}
	}
	return cachedObject{}, false
}

// add records a full read of an object, and caches the object if its name was read
// recently.
func (c *cache) add(name, etag string, o object.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	again := slices.Contains(c.recentNames, name)
	c.recentNames = appendBounded(c.recentNames, maxRecentNames, name, func(s string) bool { return s == name })
	c.objects = slices.DeleteFunc(c.objects, func(x cachedObject) bool { return x.Name == name })
	if !again || etag == "" || o.Name != name || len(o.Value) > object.MaxValue {
		return
	}
	o.Value = slices.Clone(o.Value)
	c.objects = appendBounded(c.objects, maxCachedObjects, cachedObject{o, etag}, func(cachedObject) bool { return false })
}

// appendBounded removes the items that are the same as x, appends x, and drops the
// oldest items beyond limit.
func appendBounded[T any](all []T, limit int, x T, same func(T) bool) []T {
	all = append(slices.DeleteFunc(all, same), x)
	return slices.Delete(all, 0, max(len(all)-limit, 0))
}
