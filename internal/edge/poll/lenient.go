package poll

import "encoding/json"

// LenientList is a list whose items are decoded one by one. Items that cannot be decoded,
// because a VM of another version encodes them differently, are left out, and the rest of
// the message stays readable.
type LenientList[T any] []T

// UnmarshalJSON decodes the items that it can.
func (l *LenientList[T]) UnmarshalJSON(b []byte) error {
	*l = nil
	var all []json.RawMessage
	if json.Unmarshal(b, &all) != nil {
		return nil //nolint:nilerr // anything but a list has no items to decode
	}
	for _, raw := range all {
		var item T
		if json.Unmarshal(raw, &item) == nil {
			*l = append(*l, item)
		}
	}
	return nil
}
