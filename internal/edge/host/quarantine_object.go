package host

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// quarantineObject is the store object that holds the quarantined requests.
type quarantineObject struct {
	name    string
	log     *slog.Logger
	leader  string // incarnation under which this VM leads and has read the object
	version object.Version
	stored  string    // signature of the stored cases
	readAt  time.Time // last read by a VM that does not lead
}

// storedCases is the format of the object. At is the wall-clock time at which the ages in
// Cases were valid.
type storedCases struct {
	At    time.Time                        `json:"at"`
	Cases poll.LenientList[poison.Verdict] `json:"cases"`
}

// signature identifies cases and their crashes. It leaves out the ages, which always
// change.
func signature(all []poison.Verdict) string {
	text := ""
	for _, v := range all {
		text += v.Fingerprint.String()
		for _, c := range v.Crashes {
			text += fmt.Sprintf(" %s@%d %t", c.Server, c.Incarnation, c.Announced)
		}
		text += "\n"
	}
	return text
}

// read returns the stored cases, and false if the store does not answer.
func (q *quarantineObject) read(ctx context.Context, store object.Store) ([]poison.Verdict, bool) {
	o, err := store.Get(ctx, q.name)
	if kinds.Of(err) == kinds.NotFound {
		q.version, q.stored = 0, ""
		return nil, true
	}
	if err != nil {
		return nil, false
	}
	q.version = o.Version
	var stored storedCases
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		q.log.Error("stored quarantine cannot be decoded; it will be rewritten", "rev", o.Version.Revision(), "err", err)
		q.stored = "unreadable"
		return nil, true
	}
	q.stored = signature(stored.Cases)
	age := max(time.Since(stored.At), 0)
	for i := range stored.Cases {
		v := &stored.Cases[i]
		if v.ClearedAge > 0 {
			v.ClearedAge += age
		}
		if v.TriedAge > 0 {
			v.TriedAge += age
		}
		for j := range v.Crashes {
			v.Crashes[j].Age += age
			if v.Crashes[j].Sent > 0 {
				v.Crashes[j].Sent += age
			}
		}
	}
	return stored.Cases, true
}

// write stores the cases. After an error, such as a conflict or an ambiguous write, the
// object is read again before the next write.
func (q *quarantineObject) write(ctx context.Context, store object.Store, all []poison.Verdict, sig string) {
	b, err := json.Marshal(storedCases{At: time.Now().Round(0), Cases: all})
	if err != nil {
		q.log.Error("quarantine write failed", "err", err)
		return
	}
	version, err := store.Put(ctx, q.name, b, q.version)
	if err != nil {
		q.log.Warn("quarantine write failed", "old", q.version.Revision(), "err", err)
		q.leader = ""
		return
	}
	q.version, q.stored = version, sig
}
