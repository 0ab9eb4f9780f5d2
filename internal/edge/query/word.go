package query

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Word is what the leader says of itself before the rest of its answer. The rest may
// take seconds over a thin link, and whoever waited for its end would believe meanwhile
// that the leader is gone, take the lead from it, and so make all VMs ask for everything
// once more.
type Word struct {
	Epoch uint64
	Away  bool // it does not reach the store
}

// Headers of a Word. A VM that does not lead, or of an earlier version, sends none.
const (
	headerEpoch = "Hawthorn-Epoch"
	headerAway  = "Hawthorn-Away"
)

// wordEvery is how often the word is passed on while the answer comes: well within the
// leader's silence after which others take over.
const wordEvery = 200 * time.Millisecond

// word is the word of an answer, if it has one.
func (n *News) word() (Word, bool) { return Word{Epoch: n.Lease.Epoch, Away: n.Away}, n.Leads }

// write adds the word to the header of an answer.
func (w Word) write(h http.Header) {
	h.Set(headerEpoch, strconv.FormatUint(w.Epoch, 10))
	h.Set(headerAway, strconv.FormatBool(w.Away))
}

// readWord reads the word in the header of an answer, if there is one.
func readWord(h http.Header) (Word, bool) {
	epoch, err := strconv.ParseUint(h.Get(headerEpoch), 10, 64)
	if err != nil {
		return Word{}, false
	}
	return Word{Epoch: epoch, Away: h.Get(headerAway) == strconv.FormatBool(true)}, true
}

// speaker passes the word on as the answer comes.
type speaker struct {
	io.Reader
	word  Word
	heard func(Word)
	next  time.Time
}

// Read passes the word on with the first bytes, and again and again as others follow.
func (s *speaker) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if now := time.Now(); n > 0 && !now.Before(s.next) {
		s.next = now.Add(wordEvery)
		s.heard(s.word)
	}
	return n, err
}
