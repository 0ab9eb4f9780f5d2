package front

import (
	"io"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// maxUploadMemory is the most memory, in bytes, that one upload may take, including the
// test's own client and server.
const maxUploadMemory = 16 << 20

// zeroBody is a body of zeros. It counts the bytes read and samples the largest heap, in
// bytes, while it is read.
type zeroBody struct {
	left, read int64
	maxHeap    uint64
}

// Read returns zeros.
func (z *zeroBody) Read(b []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(b)), z.left))
	clear(b[:n])
	z.left -= int64(n)
	z.read += int64(n)
	if z.read>>20 != (z.read-int64(n))>>20 {
		z.maxHeap = max(z.maxHeap, heapAlloc())
	}
	return n, nil
}

func heapAlloc() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against buffering a large upload in memory before it is sent on: a few of them
// at once would end the entry VM's process and every other request with it.
func TestALargeUploadCostsLittleMemory(t *testing.T) {
	size := int64(200 << 20)
	if testing.Short() {
		size = 3 * maxUploadMemory
	}
	for name, length := range map[string]int64{"with its length": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			runWithTestbed(t, func(t *testing.T, tb *testbed) {
				tb.front.Limit.Body = 1 << 30
				body := &zeroBody{left: size}
				r := tb.request("POST", "/lab/images", body)
				r.ContentLength = length
				runtime.GC()
				before := heapAlloc()
				resp, _, err := tb.do(r)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, tb.origins["u1"].Record.All()[0].Bytes, size)
				grown := int64(body.maxHeap) - int64(before)
				t.Logf("%d MB uploaded, heap grew by %d KB at most", size>>20, grown>>10)
				assert.Assert(t, grown < maxUploadMemory)
			})
		})
	}
}

// A body of unknown length exceeds the limit while it is streamed. Part of it has reached
// the server, so the caller must not be told that the request did not run.
func TestABodyThatGrowsTooLargeIsCutOff(t *testing.T) {
	runWithTestbed(t, func(t *testing.T, tb *testbed) {
		r := tb.request("POST", "/lab/images", &zeroBody{left: 2 << 20})
		r.ContentLength = -1
		resp, _, err := tb.do(r)
		if err == nil {
			assert.Assert(t, resp.StatusCode >= http.StatusBadRequest)
		}
		assert.Equal(t, tb.decisions.last().Ran != "no", true)
		assert.Equal(t, tb.origins["u1"].Record.All()[0].Bytes, int64(0))
	})
}
