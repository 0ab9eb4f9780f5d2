package match

import "hawthornfield.org/hawthornfield/internal/core/ident"

// Part is one service of a split, and its weight relative to the others.
type Part struct {
	Service ident.Service `cbor:"service" json:"service"`
	Weight  uint32        `cbor:"weight" json:"weight"`
}

// Target returns the service of the nth request under the rule.
//
// Requests are shared out in turn and not by chance: at a weight of one in ten,
// fifty requests drawn at random give the part between none and a fifth of them,
// and an operator who tries a new version on a tenth of the callers sees either.
// Multiples of the golden ratio spread over the unit interval more evenly than
// any draw, whatever the weights are and wherever the count begins.
func (t *Then) Target(n uint64) ident.Service {
	if len(t.Split) == 0 {
		return t.Service
	}
	total := uint64(0)
	for _, p := range t.Split {
		total += uint64(p.Weight)
	}
	const golden = 0x9E3779B97F4A7C15 // 2^64 over the golden ratio
	at := (n * golden >> 32) * total >> 32
	for _, p := range t.Split {
		if at < uint64(p.Weight) {
			return p.Service
		}
		at -= uint64(p.Weight)
	}
	return t.Split[len(t.Split)-1].Service
}

// Services lists every service that the rule may send a request to.
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
