package fleet

import "hawthornfield.org/hawthornfield/internal/core/kinds"

// Mode is the operator's setting of how full servers behave. The zero value is Auto.
type Mode uint8

// The modes.
const (
	Auto   Mode = iota // as the fleet has observed
	Silent             // full servers answer nothing
	Answer             // full servers answer
)

var modeNames = [...]string{Auto: "auto", Silent: "silent", Answer: "answer"}

// String returns the name of the mode, as in the settings.
func (m Mode) String() string { return modeNames[m] }

// ParseMode returns the mode with a name. An empty name means Auto. The error has kind
// BadRequest.
func ParseMode(name string) (Mode, error) {
	if name == "" {
		return Auto, nil
	}
	for m, known := range modeNames {
		if known == name {
			return Mode(m), nil
		}
	}
	return Auto, kinds.New(kinds.BadRequest, "full servers: "+name+" is not one of auto, silent, answer")
}

// Full is what the fleet has observed of the full servers of a service. Of two
// observations the greater holds: a refusal proves that full servers answer.
type Full uint8

// The observations.
const (
	FullUnknown Full = iota
	FullSilent       // several did not answer
	FullAnswers      // one has refused a request because it was full
)

// Decide returns whether the full servers of a service are treated as silent, and why.
func (m Mode) Decide(f Full) (silent bool, why string) {
	switch {
	case m != Auto:
		return m == Silent, "setting"
	case f == FullSilent:
		return true, "attempts at two or more servers that served later requests were not answered"
	case f == FullAnswers:
		return false, "a full server refused a request"
	default:
		return false, "no full server observed"
	}
}
