package ledger

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/core/config"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/wire"
)

// Version is the format of segments that this program writes. It reads this
// one and older ones; a newer one is left alone and reported as such.
const Version = 1

// The prefixes of the objects that this package writes.
const (
	LogPrefix   = "log/"  // log/<vm>/<n>: decisions of one entry VM
	OwnPrefix   = "own/"  // own/<service>/<n>: ownership history of one service
	IndexPrefix = "logs/" // logs/<path>: one small object for each journal there ever was
)

// LogPath is the journal of one entry VM.
func LogPath(vm ident.VM) string { return LogPrefix + string(vm) }

// OwnPath is the ownership history of one service.
func OwnPath(s ident.Service) string { return OwnPrefix + string(s) }

// nameOf is the object at one address of a journal.
func nameOf(path string, n uint64) string { return path + "/" + strconv.FormatUint(n, 10) }

// Head is what every version of a segment begins with, so that an older reader
// still finds its way past a newer one.
type Head struct {
	V    int       `cbor:"v"`
	Path string    `cbor:"path"`
	N    uint64    `cbor:"n"`
	Tok  string    `cbor:"tok"`  // the writing process; recognises an own write whose answer was lost
	From time.Time `cbor:"from"` // of the first entry
	To   time.Time `cbor:"to"`   // of the last entry
	Lost uint64    `cbor:"lost"` // entries dropped since the segment before
}

// Segment is one write-once object of a journal.
type Segment struct {
	Head
	Items []cbor.RawMessage `cbor:"-"`
	Pack  []byte            `cbor:"pack"` // the items, encoded and compressed (DEFLATE, RFC 1951)
}

// maxPack bounds what a segment's items unfold to. A damaged or hostile segment
// of a megabyte could otherwise claim a gigabyte of a reader's memory.
const maxPack = 16 << 20

// packers are compressors that are used again: each holds a megabyte of tables.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // only an unknown level fails
	}
	return w
}}

// Encode renders the segment as it is stored. Decisions repeat the same names
// of services, rules and servers, so they compress to a fraction.
func (s Segment) Encode() ([]byte, error) {
	plain, err := wire.Encode(s.Items)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	_, _ = w.Write(plain) // a buffer takes everything
	if err := w.Close(); err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "compress segment")
	}
	s.Pack = packed.Bytes()
	return wire.Encode(s)
}

func (s *Segment) unpack() error {
	if len(s.Pack) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(s.Pack))
	plain, err := io.ReadAll(io.LimitReader(r, maxPack+1))
	if err != nil {
		return kinds.Wrap(kinds.Malformed, err, "unfold segment")
	}
	if len(plain) > maxPack {
		return kinds.New(kinds.Malformed, "segment unfolds to more than 16 MiB")
	}
	return wire.Decode(plain, &s.Items)
}

// Index is the value of a journal's index object.
type Index struct {
	V    int       `cbor:"v"`
	Path string    `cbor:"path"`
	At   time.Time `cbor:"at"` // when the journal began
	// Window is the writer's: no hole lies further from the tail.
	Window int `cbor:"window"`
}

// decodeSegment reads a segment. Kind Newer carries a head that is still valid.
func decodeSegment(b []byte) (Segment, error) {
	var s Segment
	if err := wire.Decode(b, &s.Head); err != nil {
		return s, err
	}
	if s.V > Version {
		return s, kinds.New(kinds.NewerVersion, "segment "+nameOf(s.Path, s.N)+" has version "+strconv.Itoa(s.V))
	}
	if err := wire.Decode(b, &s); err != nil {
		return s, err
	}
	return s, s.unpack()
}

// Decisions decodes the entries. An entry that cannot be decoded is counted,
// not fatal: one bad entry must not hide the others from an auditor.
func (s Segment) Decisions() (all []record.Decision, bad int) {
	for _, item := range s.Items {
		var d record.Decision
		if wire.Decode(item, &d) != nil {
			bad++
			continue
		}
		all = append(all, d)
	}
	return all, bad
}

// Limits bound a journal. The zero value works.
type Limits struct {
	Batch  int           // most bytes of entries in one object, before they are compressed
	Rate   float64       // objects a second that one VM writes at most
	Budget float64       // objects a second that all VMs together write at most
	Window int           // writes in flight; also bounds the holes at the tail
	Buffer int           // most bytes of entries held while the store does not answer
	Call   time.Duration // longest wait for one call
}

// Defaults of Limits.
//
// The store takes several hundred writes a second from everybody. The budget
// leaves most of that to ownership and claims: 100 a second are ten for each of
// ten VMs, so that a durable submission waits about 50 ms for its record, and
// one every 5 s for each of 520.
const (
	DefaultBatch  = 2 << 20
	DefaultRate   = 10.0
	DefaultBudget = 100.0
	DefaultWindow = 4
	DefaultBuffer = 8 << 20
	DefaultCall   = 2 * time.Second
)

// LimitsFrom takes the bounds from the settings; call is the longest wait for
// one store call.
func LimitsFrom(c config.Journal, call time.Duration) Limits {
	return Limits{Batch: c.Batch, Rate: c.Rate, Budget: c.Budget, Window: c.Window, Buffer: c.Buffer, Call: call}
}

func (l Limits) fill() Limits {
	l.Batch = cmp.Or(l.Batch, DefaultBatch)
	l.Rate = cmp.Or(l.Rate, DefaultRate)
	l.Budget = cmp.Or(l.Budget, DefaultBudget)
	l.Window = cmp.Or(l.Window, DefaultWindow)
	l.Buffer = cmp.Or(l.Buffer, DefaultBuffer)
	l.Call = cmp.Or(l.Call, DefaultCall)
	return l
}

// interval is the mean time between the writes of one VM among n.
func (l Limits) interval(n int) time.Duration {
	rate := min(l.Rate, l.Budget/float64(max(n, 1)))
	return time.Duration(float64(time.Second) / rate)
}
