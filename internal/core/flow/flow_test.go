package flow

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/group"
)

func TestCounterCountsBothDirections(t *testing.T) {
	near, far := net.Pipe()
	var f Counter
	var g group.Group
	g.Go(func(context.Context) error {
		if _, err := io.ReadFull(far, make([]byte, 5)); err != nil {
			return err
		}
		_, err := far.Write([]byte("abc"))
		return err
	})
	c, err := f.Count(func(context.Context, string, string) (net.Conn, error) { return near, nil })(t.Context(), "", "")
	assert.NilError(t, err)
	_, err = c.Write([]byte("hello"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 3))
	assert.NilError(t, err)
	assert.NilError(t, g.Wait())
	assert.Equal(t, f.Bytes(), int64(8))
	_, err = f.Count(func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no") })(t.Context(), "", "")
	assert.ErrorContains(t, err, "no")
}
