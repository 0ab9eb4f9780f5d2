package poll

import "encoding/json"

// LenientList is a list of which each part is read by itself. One that a VM of another version
// writes differently is left out, and the news around it can be read.
type LenientList[T any] []T

// UnmarshalJSON reads what it can.
func (p *LenientList[T]) UnmarshalJSON(b []byte) error {
	*p = nil
	var all []json.RawMessage
	if json.Unmarshal(b, &all) != nil {
		return nil //nolint:nilerr // something else than a list has no part that could be read
	}
	for _, raw := range all {
		var part T
		if json.Unmarshal(raw, &part) == nil {
			*p = append(*p, part)
		}
	}
	return nil
}
