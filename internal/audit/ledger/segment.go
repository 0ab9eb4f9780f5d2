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

// Version is the format version of the segments that this program writes. It reads this
// and older versions; segments of a newer version are left unchanged and reported.
const Version = 1

// Name prefixes of the objects that this package writes.
const (
	LogPrefix       = "log/"  // log/<vm>/<n>: decisions of one entry VM
	OwnershipPrefix = "own/"  // own/<service>/<n>: ownership history of one service
	IndexPrefix     = "logs/" // logs/<path>: an index object for each journal ever created
)

// LogPath returns the path of the journal of one entry VM.
func LogPath(vm ident.VM) string { return LogPrefix + string(vm) }

// OwnershipPath returns the path of the ownership history of one service.
func OwnershipPath(s ident.Service) string { return OwnershipPrefix + string(s) }

// objectName returns the name of the object at one address of a journal.
func objectName(path string, n uint64) string { return path + "/" + strconv.FormatUint(n, 10) }

// Head holds the fields that segments of every version have, so that an older program
// can read past a newer segment.
type Head struct {
	FormatVersion int       `cbor:"v"`
	Path          string    `cbor:"path"`
	Address       uint64    `cbor:"n"`
	WriterToken   string    `cbor:"tok"`  // token of the writing process, which recognises its own writes by it after a lost answer
	From          time.Time `cbor:"from"` // time of the first entry
	To            time.Time `cbor:"to"`   // time of the last entry
	Lost          uint64    `cbor:"lost"` // entries dropped since the previous segment
}

// Segment is one write-once object of a journal.
type Segment struct {
	Head
	Items  []cbor.RawMessage `cbor:"-"`
	Packed []byte            `cbor:"pack"` // the items, encoded and compressed (DEFLATE, RFC 1951)
}

// maxUnpacked is the largest size in bytes of the decompressed items of a segment. A
// damaged or malicious segment of a megabyte could otherwise take a gigabyte of memory
// in a reader.
const maxUnpacked = 16 << 20

// compressors is a pool, because each compressor holds a megabyte of tables.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // happens only for an unknown compression level
	}
	return w
}}

// Encode encodes the segment in its stored form. The items are compressed, because
// decisions repeat the same names of services, rules and servers and shrink a lot.
func (s Segment) Encode() ([]byte, error) {
	plain, err := wire.Encode(s.Items)
	if err != nil {
		return nil, err
	}
	var packed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&packed)
	_, _ = w.Write(plain) // writing to a bytes.Buffer does not fail
	if err := w.Close(); err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "compress segment")
	}
	s.Packed = packed.Bytes()
	return wire.Encode(s)
}

func (s *Segment) unpack() error {
	if len(s.Packed) == 0 {
		return nil
	}
	r := flate.NewReader(bytes.NewReader(s.Packed))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return kinds.Wrap(kinds.Malformed, err, "decompress segment")
	}
	if len(plain) > maxUnpacked {
		return kinds.New(kinds.Malformed, "segment decompresses to more than 16 MiB")
	}
	return wire.Decode(plain, &s.Items)
}

// Index is the value of a journal's index object.
type Index struct {
	FormatVersion int       `cbor:"v"`
	Path          string    `cbor:"path"`
	Created       time.Time `cbor:"at"` // time of creation
	// Window is the window of the writer: holes lie at most this far from the tail.
	Window int `cbor:"window"`
}

// decodeSegment decodes a segment. With an error of kind NewerVersion the head is valid.
func decodeSegment(b []byte) (Segment, error) {
	var s Segment
	if err := wire.Decode(b, &s.Head); err != nil {
		return s, err
	}
	if s.FormatVersion > Version {
		return s, kinds.New(kinds.NewerVersion, "segment "+objectName(s.Path, s.Address)+" has version "+strconv.Itoa(s.FormatVersion))
	}
	if err := wire.Decode(b, &s); err != nil {
		return s, err
	}
	return s, s.unpack()
}

// Decisions decodes the entries. Entries that cannot be decoded are counted in bad, so
// that one damaged entry does not hide the others from an auditor.
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

// Limits bounds the size, rate and memory of a journal. Zero fields take the defaults.
type Limits struct {
	Batch  int           // largest size in bytes of the entries in one object, before compression
	Rate   float64       // largest number of objects that one VM writes a second
	Budget float64       // largest number of objects that all VMs together write a second
	Window int           // largest number of writes in flight; holes lie at most this far from the tail
	Buffer int           // largest size in bytes of the entries buffered while the store does not answer
	Call   time.Duration // timeout of one store call
}

// Defaults of Limits.
//
// The store takes several hundred writes a second from all VMs together. The budget
// leaves most of that to ownership and claims. With ten VMs, 100 writes a second are
// ten for each VM, so that a durable submission waits about 50 ms for its record. With
// 520 VMs each one writes once every 5 s.
const (
	DefaultBatch  = 2 << 20
	DefaultRate   = 10.0
	DefaultBudget = 100.0
	DefaultWindow = 4
	DefaultBuffer = 8 << 20
	DefaultCall   = 2 * time.Second
)

// LimitsFrom returns the limits from the settings; call is the timeout of one store
// call.
func LimitsFrom(c config.Journal, call time.Duration) Limits {
	return Limits{Batch: c.Batch, Rate: c.Rate, Budget: c.Budget, Window: c.Window, Buffer: c.Buffer, Call: call}
}

func (l Limits) withDefaults() Limits {
	l.Batch = cmp.Or(l.Batch, DefaultBatch)
	l.Rate = cmp.Or(l.Rate, DefaultRate)
	l.Budget = cmp.Or(l.Budget, DefaultBudget)
	l.Window = cmp.Or(l.Window, DefaultWindow)
	l.Buffer = cmp.Or(l.Buffer, DefaultBuffer)
	l.Call = cmp.Or(l.Call, DefaultCall)
	return l
}

// interval returns the mean time between the writes of one VM among n.
func (l Limits) interval(n int) time.Duration {
	rate := min(l.Rate, l.Budget/float64(max(n, 1)))
	return time.Duration(float64(time.Second) / rate)
}
