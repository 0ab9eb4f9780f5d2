package bench

import "time"

// Service describes the size of a service and its requests.
type Service struct {
	Name         string
	VMs          int
	Servers      int
	Slots        int
	Conns        int           // connection limit of a server, over all VMs
	Sharded      bool          // each key has one owner, which alone serves it
	MeanWork     time.Duration // mean work of a short request
	Deadline     time.Duration
	Idempotent   bool
	LongMeanWork time.Duration // mean work of a long request
	LongDeadline time.Duration // deadline of a long request
}

// Phase sets the load from a time on, as a share of the service's capacity.
type Phase struct {
	From time.Duration
	Load float64
}

// FaultKind is the way in which a server fails.
type FaultKind uint8

// The kinds of faults.
const (
	Slow   FaultKind = iota // requests take Factor times as long
	Freeze                  // suspends all work, and later continues with it
	Fail                    // refuses all requests at once, and so looks idle
)

// Fault is a fault of one server for an interval.
type Fault struct {
	Server   int
	Kind     FaultKind
	Factor   float64
	From, To time.Duration
}

// Scenario is one load pattern on one service.
type Scenario struct {
	Name          string
	Service       Service
	WarmUp        time.Duration // requests made before this time are not measured
	End           time.Duration
	Phases        []Phase
	HotCaller     float64 // share of all requests, on top of the others'
	HotKey        float64 // share of all requests, on top of the others'
	LongShare     float64 // share of slot time taken by long requests
	Faults        []Fault
	LyingReports  bool            // a third of the servers always report no load
	HalfCold      bool            // half the servers are cold
	Callers       int             // number of callers; zero means 500
	CallerRetries int             // how often a caller retries after a failure
	Full          *Full           // full servers answer nothing; nil if they refuse
	WindowEnds    []time.Duration // ends of the measured windows; empty means one window
}

// Basin is the lookup service of the beet receiving authority. Slots, connections and
// instances are the users' figures. Work and deadline are assumptions: the work is that
// of an indexed read, and the deadline is a delay that a driver at the weighing scale
// hardly notices.
func Basin() Service {
	return Service{
		Name: "basin-lookup", VMs: 10, Servers: 16, Slots: 4, Conns: 100, Sharded: true,
		MeanWork: 8 * time.Millisecond, Deadline: 250 * time.Millisecond, Idempotent: true,
		LongMeanWork: 400 * time.Millisecond, LongDeadline: 10 * time.Second,
	}
}

// Kerala is the service of the fiscal systems that posts sanctions: few slots, not
// idempotent, not sharded by key.
func Kerala() Service {
	return Service{
		Name: "kerala-sanction", VMs: 9, Servers: 10, Slots: 2, Conns: 45,
		MeanWork: 10 * time.Millisecond, Deadline: 500 * time.Millisecond,
		LongMeanWork: 400 * time.Millisecond, LongDeadline: 10 * time.Second,
	}
}

// Viewer is the forecast viewer of the fiscal systems.
func Viewer() Service {
	return Service{
		Name: "kerala-viewer", VMs: 9, Servers: 17, Slots: 2, Conns: 45, Sharded: true,
		MeanWork: 10 * time.Millisecond, Deadline: 300 * time.Millisecond, Idempotent: true,
		LongMeanWork: 400 * time.Millisecond, LongDeadline: 10 * time.Second,
	}
}

// Ledger is the service that reads the receipt ledger of the beet receiving authority:
// idempotent, any server can answer.
func Ledger() Service {
	return Service{
		Name: "basin-ledger", VMs: 10, Servers: 8, Slots: 4, Conns: 100, Idempotent: true,
		MeanWork: 10 * time.Millisecond, Deadline: 500 * time.Millisecond,
		LongMeanWork: 400 * time.Millisecond, LongDeadline: 10 * time.Second,
	}
}

// Services returns the services that are measured.
func Services() []Service { return []Service{Basin(), Ledger(), Viewer(), Kerala()} }

// Loads of the scenarios, as shares of capacity.
const (
	normalLoad   = 0.7
	overloadLoad = 2.0
	burstLoad    = 10 * normalLoad
)

// Scenarios returns the load patterns for a service.
func Scenarios(s Service) []Scenario {
	flat := func(load float64) []Phase { return []Phase{{0, load}} }
	base := Scenario{Service: s, WarmUp: 3 * time.Second, End: 13 * time.Second, Phases: flat(normalLoad)}
	scenario := func(name string, change func(*Scenario)) Scenario {
		sc := base
		sc.Name = name
		change(&sc)
		return sc
	}
	return []Scenario{
		scenario("normal", func(*Scenario) {}),
		scenario("burst", func(sc *Scenario) {
			sc.Phases = []Phase{{0, normalLoad}, {5 * time.Second, burstLoad}, {7 * time.Second, normalLoad}}
		}),
		scenario("hot-caller", func(sc *Scenario) { sc.HotCaller = 0.5 }),
		scenario("hot-key", func(sc *Scenario) { sc.HotKey = 0.3 }),
		scenario("slow-server", func(sc *Scenario) {
			sc.Faults = []Fault{{Server: 1, Kind: Slow, Factor: 10, From: 4 * time.Second, To: sc.End}}
		}),
		scenario("frozen-server", func(sc *Scenario) {
			sc.Faults = []Fault{{Server: 1, Kind: Freeze, From: 4 * time.Second, To: 8 * time.Second}}
		}),
		scenario("failing-server", func(sc *Scenario) {
			sc.Faults = []Fault{{Server: 1, Kind: Fail, From: 4 * time.Second, To: sc.End}}
		}),
		scenario("long-among-short", func(sc *Scenario) { sc.LongShare = 0.4 }),
		scenario("lying-reports", func(sc *Scenario) { sc.LyingReports = true }),
		scenario("half-cold", func(sc *Scenario) { sc.HalfCold, sc.WarmUp = true, 0 }),
		Overload(s),
		scenario("overload-again", func(sc *Scenario) { sc.Phases, sc.CallerRetries = flat(overloadLoad), 2 }),
	}
}

// Overload is a load of twice the capacity for a minute, then the normal load. Its
// windows are the overload, the 5 s after it, and the rest.
func Overload(s Service) Scenario {
	return Scenario{
		Name: "overload", Service: s, WarmUp: 3 * time.Second, End: 75 * time.Second,
		Phases:     []Phase{{0, normalLoad}, {3 * time.Second, overloadLoad}, {63 * time.Second, normalLoad}},
		WindowEnds: []time.Duration{63 * time.Second, 68 * time.Second, 75 * time.Second},
	}
}
