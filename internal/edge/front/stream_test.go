package front

import (
	"io"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// Most memory that one upload may cost an entry VM, callers' and server's side
// of the test included.
const uploadMemory = 16 << 20

// watched counts the bytes of a body and the most heap seen while it was read.
type watched struct {
	left, read int64
	most       uint64
}

// Read gives zeros.
func (w *watched) Read(b []byte) (int, error) {
	if w.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), w.left))
	clear(b[:n])
	w.left -= int64(n)
	w.read += int64(n)
	if w.read>>20 != (w.read-int64(n))>>20 {
		w.most = max(w.most, heap())
	}
	return n, nil
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A laboratory uploads a morning's images as one body. If the entry VM collected
// the body before sending it on, a few such uploads at once would end its
// process, and every other caller's request with it.
func TestALargeUploadCostsLittleMemory(t *testing.T) {
	size := int64(200 << 20)
	if testing.Short() {
		size = 3 * uploadMemory
	}
	for name, length := range map[string]int64{"with its length": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, w *world) {
				w.front.Limit.Body = 1 << 30
				body := &watched{left: size}
				r := w.request("POST", "/lab/images", body)
				r.ContentLength = length
				runtime.GC()
				before := heap()
				resp, _, err := w.do(r)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, w.origins["u1"].Record.All()[0].Bytes, size)
				grown := int64(body.most) - int64(before)
				t.Logf("%d MB uploaded, heap grew by %d KB at most", size>>20, grown>>10)
				assert.Assert(t, grown < uploadMemory)
			})
		})
	}
}

// A body without a length turns out larger than allowed. Part of it has reached
// the server, so the caller is not told that nothing ran.
func TestABodyThatGrowsTooLargeIsCutOff(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		r := w.request("POST", "/lab/images", &watched{left: 2 << 20})
		r.ContentLength = -1
		resp, _, err := w.do(r)
		if err == nil {
			assert.Assert(t, resp.StatusCode >= http.StatusBadRequest)
		}
		assert.Equal(t, w.log.last().Ran != "no", true)
		assert.Equal(t, w.origins["u1"].Record.All()[0].Bytes, int64(0))
	})
}
