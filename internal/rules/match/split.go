package match

import "hawthornfield.org/hawthornfield/internal/core/ident"

// Part is one service of a split and its weight relative to the other parts.
type Part struct {
	Service ident.Service `cbor:"service" json:"service"`
	Weight  uint32        `cbor:"weight" json:"weight"`
}

// Target returns the service for the nth request of the rule.
//
// Requests are distributed deterministically and not at random. With a weight of one in
// ten, of fifty requests drawn at random anything between none and a fifth would go to
// that part, which is useless to an operator who tries a new version on a tenth of the
// callers. The multiples of the golden ratio modulo one are spread more evenly than random
// numbers, for any weights and any starting number.
func (t *Then) Target(n uint64) ident.Service {
	if len(t.Split) == 0 {
		return t.Service
	}
	total := uint64(0)
	for _, p := range t.Split {
		total += uint64(p.Weight)
	}
	const golden = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio
	at := (n * golden >> 32) * total >> 32
	for _, p := range t.Split {
		if at < uint64(p.Weight) {
			return p.Service
		}
		at -= uint64(p.Weight)
	}
	return t.Split[len(t.Split)-1].Service
}

// Services lists every service to which the rule may send a request.
func (t *Then) Services() []ident.Service {
	if len(t.Split) == 0 {
		return []ident.Service{t.Service}
	}
	all := make([]ident.Service, len(t.Split))
	for i, p := range t.Split {
		all[i] = p.Service
	}
	return all
}
