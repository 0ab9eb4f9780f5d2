// Package objcli implements the object store interface over the object API's HTTP
// and JSON protocol, which package fake/objapi serves in tests.
package objcli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"

	"hawthornfield.org/hawthornfield/internal/plat/call"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Client is an [object.Store] over HTTP.
type Client struct {
	call.Client
	base  string
	cache cache
}

var _ object.Store = (*Client)(nil)

// New returns a client of the object API at addr.
func New(addr netip.AddrPort) *Client { return &Client{base: "http://" + addr.String()} }

// Get reads an object. A cached object is read conditionally and returned from the
// cache if it did not change.
func (c *Client) Get(ctx context.Context, name string) (object.Object, error) {
	cached, ok := c.cache.get(name)
	header := http.Header{}
	if ok {
		header.Set(call.HeaderIfNoneMatch, cached.etag)
	}
	a, err := c.Exchange(ctx, http.MethodGet, c.objectURL(name, nil), header, nil)
	if err != nil {
		return object.Object{}, err
	}
	if a.NotModified {
		o := cached.Object
		o.Value = slices.Clone(o.Value)
		return o, nil
	}
	var o object.Object
	if err := call.DecodeError(http.MethodGet, json.Unmarshal(a.Body, &o)); err != nil {
		return object.Object{}, err
	}
	c.cache.add(name, a.Header.Get(call.HeaderETag), o)
	return o, nil
}

// Put writes an object if its version is still old. An error of kind Ambiguous means
// that the write may have taken effect: read the object again to find out.
func (c *Client) Put(ctx context.Context, name string, value []byte, old object.Version) (object.Version, error) {
	var reply struct {
		Version object.Version `json:"version"`
	}
	if value == nil {
		value = []byte{}
	}
	err := c.Do(ctx, http.MethodPut, c.objectURL(name, &old), value, &reply)
	return reply.Version, err
}

// Delete removes an object if its version is still old.
func (c *Client) Delete(ctx context.Context, name string, old object.Version) error {
	return c.Do(ctx, http.MethodDelete, c.objectURL(name, &old), nil, nil)
}

// listReply is the response to a list or a watch.
type listReply struct {
	Objects []object.Object `json:"objects"`
	Changes []object.Change `json:"changes"`
	At      object.Cursor   `json:"at"`
}

// List returns the objects under a prefix and the cursor to watch from.
func (c *Client) List(ctx context.Context, prefix string) ([]object.Object, object.Cursor, error) {
	var reply listReply
	q := url.Values{"prefix": {prefix}}
	err := c.Do(ctx, http.MethodGet, c.base+"/list?"+q.Encode(), nil, &reply)
	return reply.Objects, reply.At, err
}

// Watch waits for changes after a cursor. It returns no changes if the platform
// ended the wait.
func (c *Client) Watch(ctx context.Context, prefix string, after object.Cursor) ([]object.Change, object.Cursor, error) {
	var reply listReply
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}
	err := c.Do(ctx, http.MethodGet, c.base+"/watch?"+q.Encode(), nil, &reply)
	return reply.Changes, reply.At, err
}

// objectURL returns the URL of an object, with the expected version if old is set.
func (c *Client) objectURL(name string, old *object.Version) string {
	u := c.base + "/o/" + (&url.URL{Path: name}).EscapedPath()
	if old != nil {
		u += "?old=" + strconv.FormatUint(uint64(*old), 10)
	}
	return u
}
