package egress

// Settings of the learned sizes.
const (
	meanWeight = 0.05 // weight of a new size in the mean
	// A size above the high value raises it quickly and one below lowers it slowly, so that
	// it stays near the largest twentieth of the sizes.
	highUp   = 0.25
	highDown = 0.01
	// maxRules bounds the memory for rules that no longer exist.
	maxRules = 4096
)

// size is what is known about the responses of a rule, in bytes.
type size struct{ mean, high float64 }

// sizeBook holds the sizes by rule.
type sizeBook map[string]*size

func (s sizeBook) estimate(rule string) size {
	if known := s[rule]; known != nil {
		return *known
	}
	return size{firstExpected, firstExpected}
}

func (s *sizeBook) learn(rule string, n int64) {
	if *s == nil || len(*s) >= maxRules {
		*s = sizeBook{}
	}
	known, x := (*s)[rule], float64(n)
	if known == nil {
		(*s)[rule] = &size{x, x}
		return
	}
	known.mean += (x - known.mean) * meanWeight
	if x > known.high {
		known.high += (x - known.high) * highUp
	} else {
		known.high += (x - known.high) * highDown
	}
}
