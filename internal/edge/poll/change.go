package poll

import (
	"encoding/json"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// Change is what changed in who serves a service's keys.
type Change struct {
	Epoch uint64
	Seq   uint64
	Full  bool
	Spans []ranges.Assignment
}

// wireChange is a Change between VMs: a span is its first key, its last, and the
// server's place among the names, from one; zero is nobody. Each VM is told all spans
// when the lead changes, a thousand and more of some dozen servers. Naming the server
// in each would make that three times the bytes, all of them the new leader's at once.
type wireChange struct {
	Epoch uint64         `json:"epoch"`
	Seq   uint64         `json:"seq"`
	Full  bool           `json:"full,omitempty"`
	Names []ident.Server `json:"names"`
	Spans [][3]uint16    `json:"spans"`
}

// MarshalJSON renders a change for other VMs.
func (c Change) MarshalJSON() ([]byte, error) {
	w := wireChange{Epoch: c.Epoch, Seq: c.Seq, Full: c.Full, Spans: make([][3]uint16, len(c.Spans))}
	places := map[ident.Server]uint16{"": 0}
	for i, s := range c.Spans {
		place, known := places[s.Server]
		if !known {
			w.Names = append(w.Names, s.Server)
			place = uint16(len(w.Names))
			places[s.Server] = place
		}
		w.Spans[i] = [3]uint16{s.First, s.Last, place}
	}
	return json.Marshal(w)
}

// UnmarshalJSON reads what MarshalJSON wrote. A span of a server that is not named, or
// that ends before it begins, is Malformed.
func (c *Change) UnmarshalJSON(b []byte) error {
	var w wireChange
	if err := json.Unmarshal(b, &w); err != nil {
		return kinds.Wrap(kinds.Malformed, err, "decode change")
	}
	*c = Change{Epoch: w.Epoch, Seq: w.Seq, Full: w.Full, Spans: make([]ranges.Assignment, len(w.Spans))}
	for i, s := range w.Spans {
		if s[0] > s[1] || int(s[2]) > len(w.Names) {
			return kinds.New(kinds.Malformed, "decode change: bad span")
		}
		c.Spans[i].Span = ranges.Span{First: s[0], Last: s[1]}
		if s[2] > 0 {
			c.Spans[i].Server = w.Names[s[2]-1]
		}
	}
	return nil
}
