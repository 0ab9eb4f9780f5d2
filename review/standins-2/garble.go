package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// garbler returns a function that spoils a share of the answers.
func garbler(share float64, rng *rand.Rand) func(http.ResponseWriter, *http.Request, string, int, []byte) bool {
	return func(w http.ResponseWriter, r *http.Request, id string, status int, out []byte) bool {
		fl.mu.Lock()
		hit, how, cut := rng.Float64() < share, rng.IntN(14), 0
		if len(out) > 1 {
			cut = 1 + rng.IntN(len(out)-1)
		}
		n := rng.IntN(3000)
		fl.mu.Unlock()
		if !hit {
			return false
		}
		h := w.Header()
		hj, ok := w.(http.Hijacker)
		if !ok {
			return false
		}
		c, rw, err := hj.Hijack()
		if err != nil {
			return false
		}
		head := func(extra string) string {
			return fmt.Sprintf("HTTP/1.1 %d OK\r\n%s: %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\n%s\r\n", status, names["attempt"], id, names["seal"], h.Get(names["seal"]), extra)
		}
		whole := head("Content-Length: "+strconv.Itoa(len(out))+"\r\n") + string(out)
		tcp, _ := c.(*net.TCPConn)
		reset := func() { _ = tcp.SetLinger(0); _ = tcp.Close() }
		logf("garble %s how %d", id, how)
		switch how {
		case 0:
			fmt.Fprint(c, whole[:len(whole)-len(out)+cut])
			_ = c.Close()
		case 1:
			fmt.Fprint(c, whole[:len(whole)-len(out)+cut])
			time.Sleep(5 * time.Millisecond)
			reset()
		case 2:
			fmt.Fprintf(c, "%s%x\r\n%s\r\n", head("Transfer-Encoding: chunked\r\n"), cut, out[:cut])
			_ = c.Close()
		case 3:
			fmt.Fprintf(c, "%s%x\r\n%s", head("Transfer-Encoding: chunked\r\n"), len(out), out[:cut])
			time.Sleep(5 * time.Millisecond)
			reset()
		case 4:
			b := make([]byte, n+1)
			for i := range b {
				b[i] = byte(rand.IntN(256))
			}
			_, _ = c.Write(b)
			_ = c.Close()
		case 5:
			fmt.Fprint(c, whole+whole)
			serveOn(c, rw.Reader)
		case 6:
			fmt.Fprint(c, whole)
			lateExtra(c, rw.Reader, whole)
		case 7:
			fmt.Fprint(c, whole+"garbage\r\n\r\n")
			serveOn(c, rw.Reader)
		case 8:
			fmt.Fprint(c, head("Connection: close\r\n")+string(out[:cut]))
			time.Sleep(5 * time.Millisecond)
			reset()
		case 9:
			fmt.Fprint(c, head("Connection: close\r\n")+string(out))
			_ = c.Close()
		case 10:
			fmt.Fprint(c, whole[:min(len(whole), 40)])
			time.Sleep(time.Duration(n) * time.Millisecond)
			_ = c.Close()
		case 11:
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
			serveOn(c, rw.Reader)
		case 12:
			fmt.Fprintf(c, "HTTP/1.1 %d Odd\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", []int{0, 99, 101, 102, 199, 600, 999, 1000, 42}[n%9], names["attempt"], id)
			_ = c.Close()
		case 13:
			fmt.Fprintf(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n%s", whole)
			serveOn(c, rw.Reader)
		}
		return true
	}
}

// serveOn answers nothing more and waits for the end of the connection.
func serveOn(c net.Conn, r *bufio.Reader) {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	buf := make([]byte, 4096)
	for {
		if _, err := r.Read(buf); err != nil {
			_ = c.Close()
			return
		}
	}
}

// lateExtra sends an answer once more when the next request comes.
func lateExtra(c net.Conn, r *bufio.Reader, whole string) {
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if req, err := http.ReadRequest(r); err == nil {
		fmt.Fprint(c, whole)
		_ = req
	}
	serveOn(c, r)
}

func exploreGarble() int {
	seed, _ := strconv.ParseUint(os.Args[2], 10, 64)
	secs, _ := strconv.Atoi(os.Args[3])
	l := newLab(3, seed)
	for _, in := range fl.all {
		in.garble = garbler(0.15, l.rng)
		in.work = 20 * time.Millisecond
	}
	l.usualTraffic()
	for i := range 8 {
		l.t.pipeliner(kindOfRequest{name: "pipe", host: "a.example", prefix: "/look/", keyed: true, deadline: 2 * time.Second, pipeline: 24, size: 6000}, 400+i, 100*time.Millisecond)
	}
	for i := range 6 {
		l.t.client(kindOfRequest{name: "big", method: "GET", host: "a.example", prefix: "/look/", keyed: true, deadline: 2 * time.Second, size: 9000}, 500+i, 60*time.Millisecond)
	}
	time.Sleep(time.Duration(secs) * time.Second)
	return l.finish()
}
