package pipe

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// parse reads a head, its end included, if the request may be started ahead of its
// turn: it asks for nothing to be changed, has no body, leaves the connection open, and
// is so plain that net/http will read it in the same way. It returns nil for all others;
// net/http then decides about them in their turn. A request that is started here and
// refused there would have run although its caller is told that it was malformed.
func parse(head []byte) *http.Request {
	if !plain(head) {
		return nil
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || r.ContentLength != 0 || r.Close || len(r.TransferEncoding) > 0 {
		return nil
	}
	return r
}

// headers that change how a message or its connection is read.
var special = map[string]bool{
	"connection": true, "content-length": true, "transfer-encoding": true, "expect": true,
	"upgrade": true, "trailer": true, "te": true, "http2-settings": true,
}

// plain reports whether a head is one of a lookup in the simplest form: printable
// ASCII, lines that end as they should, one host.
func plain(head []byte) bool {
	lines := strings.Split(strings.TrimSuffix(string(head), endOfHead), "\r\n")
	target, ok := strings.CutPrefix(lines[0], http.MethodGet+" ")
	if !ok {
		target, ok = strings.CutPrefix(lines[0], http.MethodHead+" ")
	}
	target, proto := strings.CutSuffix(target, " HTTP/1.1")
	if !ok || !proto || !strings.HasPrefix(target, "/") || strings.ContainsAny(target, " #") || !printable(target) {
		return false
	}
	hosts := 0
	for _, line := range lines[1:] {
		name, value, found := strings.Cut(line, ":")
		if !found || !token(name) || !printable(value) {
			return false
		}
		name = strings.ToLower(name)
		if special[name] && (name != "connection" || !strings.EqualFold(strings.TrimSpace(value), "keep-alive")) {
			return false
		}
		if name == "host" {
			hosts++
			if !hostname(strings.TrimSpace(value)) {
				return false
			}
		}
	}
	return hosts == 1
}

func printable(s string) bool {
	return strings.IndexFunc(s, func(c rune) bool { return c < ' ' || c > '~' }) < 0
}

func token(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return !letter(c) && c != '-' && c != '_' }) < 0
}

func hostname(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool { return !letter(c) && !strings.ContainsRune(".-:", c) }) < 0
}

func letter(c rune) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
