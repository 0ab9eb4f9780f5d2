package host

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// quarantineObject is the object of the store in which quarantined requests are kept.
type quarantineObject struct {
	name    string
	log     *slog.Logger
	leader  string // the process of this VM that leads and has read it
	version object.Version
	held    string    // what it holds, without ages
	readAt  time.Time // it was last read by a VM that does not lead
}

// keptCases is the object's form. At is the time of day at which the ages were right.
type keptCases struct {
	At    time.Time                  `json:"at"`
	Cases poll.Parts[poison.Verdict] `json:"cases"`
}

// signature names cases and their crashes, and leaves out ages, which always change.
func signature(all []poison.Verdict) string {
	text := ""
	for _, v := range all {
		text += v.Fingerprint.String()
		for _, c := range v.Crashes {
			text += " " + string(c.Server)
		}
		text += "\n"
	}
	return text
}

// read returns what the object holds, and false where the store does not say.
func (c *quarantineObject) read(ctx context.Context, store object.Store) ([]poison.Verdict, bool) {
	o, err := store.Get(ctx, c.name)
	if kinds.Of(err) == kinds.NotFound {
		c.version, c.held = 0, ""
		return nil, true
	}
	if err != nil {
		return nil, false
	}
	c.version = o.Version
	var kept keptCases
	if err := json.Unmarshal(o.Value, &kept); err != nil {
		c.log.Error("the quarantine cannot be read; it will be written anew", "rev", o.Version, "err", err)
		c.held = "unreadable"
		return nil, true
	}
	c.held = signature(kept.Cases)
	age := max(time.Since(kept.At), 0)
	for i := range kept.Cases {
		v := &kept.Cases[i]
		if v.ClearedAge > 0 {
			v.ClearedAge += age
		}
		for j := range v.Crashes {
			v.Crashes[j].Age += age
		}
	}
	return kept.Cases, true
}

// write writes the cases. After a conflict, or a write that may have happened, the object
// is read again first.
func (c *quarantineObject) write(ctx context.Context, store object.Store, all []poison.Verdict, text string) {
	b, err := json.Marshal(keptCases{At: time.Now().Round(0), Cases: all})
	if err != nil {
		c.log.Error("quarantine not written", "err", err)
		return
	}
	version, err := store.Put(ctx, c.name, b, c.version)
	if err != nil {
		c.log.Warn("quarantine not written", "old", c.version, "err", err)
		c.leader = ""
		return
	}
	c.version, c.held = version, text
}
