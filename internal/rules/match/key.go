package match

import (
	"net/textproto"
	"net/url"
	"strings"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Sources of a key, as written before the colon in Then.Key.
const (
	fromPath   = "path"
	fromHeader = "header"
	fromQuery  = "query"
)

// KeyOf returns the key of a request as its rule defines it, or an empty key when the rule
// reads none.
//
// It fails with kind BadRequest when the key is missing, longer than MaxKey or given more
// than once. If a key given twice were accepted, the router and the backend server could
// read different ones, and the request would run at a server that does not own the key it
// changes. Escapes are decoded, so that two spellings of one key never have two owners.
func KeyOf(r *Rule, req *Request) (ident.Key, error) {
	source, name, _ := strings.Cut(r.Then.Key, ":")
	var (
		raw string
		err error
	)
	switch source {
	case "":
		return "", nil
	case fromPath:
		raw, err = pathKey(r, req, name)
	case fromHeader:
		raw, err = headerKey(req, name)
	case fromQuery:
		raw, err = queryKey(req.Query, name)
	default:
		return "", kinds.New(kinds.Internal, "rule "+r.Name+" has a bad key source")
	}
	if err != nil {
		return "", err
	}
	if raw == "" || len(raw) > MaxKey {
		return "", kinds.New(kinds.BadRequest, "the key is missing or too long")
	}
	return ident.Key(raw), nil
}

func pathKey(r *Rule, req *Request, name string) (string, error) {
	p := r.path
	if !p.nonEmpty { // the rule does not come from a Set, which compiles its path
		var err error
		if p, err = parsePath(r.When.Path); err != nil {
			return "", err
		}
	}
	i := p.varIndex(name)
	if i < 0 {
		return "", kinds.New(kinds.Internal, "rule "+r.Name+" has no path variable "+name)
	}
	raw := p.varText(req.Path, i)
	if strings.IndexByte(raw, '%') < 0 {
		return raw, nil
	}
	key, err := url.PathUnescape(raw)
	return key, kinds.Wrap(kinds.BadRequest, err, "decode the key in the path")
}

func headerKey(req *Request, name string) (string, error) {
	values := req.Header[name]
	if values == nil {
		values = req.Header[textproto.CanonicalMIMEHeaderKey(name)]
	}
	if len(values) > 1 {
		return "", kinds.New(kinds.BadRequest, "the header with the key occurs more than once")
	}
	if len(values) == 0 {
		return "", nil
	}
	return strings.TrimSpace(values[0]), nil
}

func queryKey(query, name string) (string, error) {
	found, seen := "", false
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		k, v, _ := strings.Cut(pair, "=")
		k, err := unescapeQuery(k)
		if err != nil {
			return "", err
		}
		if k != name {
			continue
		}
		if seen {
			return "", kinds.New(kinds.BadRequest, "the query parameter with the key occurs more than once")
		}
		if found, err = unescapeQuery(v); err != nil {
			return "", err
		}
		seen = true
	}
	return found, nil
}

func unescapeQuery(s string) (string, error) {
	if !strings.ContainsAny(s, "%+") {
		return s, nil
	}
	out, err := url.QueryUnescape(s)
	return out, kinds.Wrap(kinds.BadRequest, err, "decode the key in the query")
}
