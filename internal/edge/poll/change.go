package poll

import (
	"encoding/json"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/ranges"
)

// Change is a change of the owners of a service's keys.
type Change struct {
	Epoch uint64
	Seq   uint64
	Full  bool
	Spans []ranges.Assignment
}

// wireChange is the format of a Change between VMs. A span is its first key, its last
// key, and the position of its server in Names, counted from 1; 0 means no server. When
// the leader changes, each VM is sent all spans, over a thousand that belong to a few
// dozen servers. With the server's name in each span the new leader would have to send
// three times as many bytes, to all VMs at once.
type wireChange struct {
	Epoch uint64         `json:"epoch"`
	Seq   uint64         `json:"seq"`
	Full  bool           `json:"full,omitempty"`
	Names []ident.Server `json:"names"`
	Spans [][3]uint16    `json:"spans"`
}

// MarshalJSON encodes a change for other VMs.
func (c Change) MarshalJSON() ([]byte, error) {
	w := wireChange{Epoch: c.Epoch, Seq: c.Seq, Full: c.Full, Spans: make([][3]uint16, len(c.Spans))}
	positions := map[ident.Server]uint16{"": 0}
	for i, s := range c.Spans {
		position, known := positions[s.Server]
		if !known {
			w.Names = append(w.Names, s.Server)
			position = uint16(len(w.Names))
			positions[s.Server] = position
		}
		w.Spans[i] = [3]uint16{s.First, s.Last, position}
	}
	return json.Marshal(w)
}

// UnmarshalJSON decodes what MarshalJSON encoded. The error has kind Malformed for a span
// with an unknown server or one that ends before it begins.
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
