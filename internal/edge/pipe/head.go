package pipe

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// parseHead parses a request head, including its end, if the request may be started
// before its turn: it is a GET or HEAD without a body, leaves the connection open, and
// has so simple a form that net/http is certain to parse it in the same way. It returns
// nil for all others, which net/http handles in their turn. A request that was started
// here and refused by net/http would have run although its caller is told that it was
// malformed.
func parseHead(head []byte) *http.Request {
	if !isSimple(head) {
		return nil
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || r.ContentLength != 0 || r.Close || len(r.TransferEncoding) > 0 {
		return nil
	}
	return r
}

// framingHeaders are the headers that change how a message or its connection is read.
var framingHeaders = map[string]bool{
	"connection": true, "content-length": true, "transfer-encoding": true, "expect": true,
	"upgrade": true, "trailer": true, "te": true, "http2-settings": true,
}

// isSimple reports whether a head is a GET or HEAD in the simplest form: printable ASCII,
// lines that end with CRLF, one Host header.
func isSimple(head []byte) bool {
	lines := strings.Split(strings.TrimSuffix(string(head), endOfHead), "\r\n")
	target, ok := strings.CutPrefix(lines[0], http.MethodGet+" ")
	if !ok {
		target, ok = strings.CutPrefix(lines[0], http.MethodHead+" ")
	}
	target, proto := strings.CutSuffix(target, " HTTP/1.1")
	if !ok || !proto || !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " #") || !isPrintable(target) {
		return false
	}
	hosts := 0
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) || !isPrintable(value) {
			return false
		}
		name = strings.ToLower(name)
		if framingHeaders[name] && (name != "connection" || !strings.EqualFold(strings.TrimSpace(value), "keep-alive")) {
			return false
		}
		if name == "host" {
			hosts++
			if !isHostname(strings.TrimSpace(value)) {
				return false
			}
		}
	}
	return hosts == 1
}

func isPrintable(s string) bool {
	return strings.IndexFunc(s, func(c rune) bool { return c < ' ' || c > '~' }) < 0
}

func isToken(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return !isAlphanumeric(c) && c != '-' && c != '_' }) < 0
}

func isHostname(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return !isAlphanumeric(c) && !strings.ContainsRune(".-:", c) }) < 0
}

func isAlphanumeric(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
