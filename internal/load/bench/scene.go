package bench

import "time"

// Service is the size of a service of the users.
type Service struct {
	Name       string
	VMs        int
	Servers    int
	Slots      int
	Conns      int
	Divided    bool          // by key
	Mean       time.Duration // of a short request's work
	Deadline   time.Duration
	Idempotent bool
	Long       time.Duration // mean work of a long request
	LongBy     time.Duration // deadline of a long request
}

// Phase sets the load from a moment on, as a share of the service's capacity.
type Phase struct {
	From time.Duration
	Load float64
}

// Trouble says what happens to a server.
type Trouble uint8

// The troubles of servers.
const (
	Slow   Trouble = iota // answers take Factor times as long
	Freeze                // stops, and later goes on as if nothing had happened
	Fail                  // refuses everything at once, and so looks idle
)

// Fault is trouble on one server for a while.
type Fault struct {
	Server   int
	Trouble  Trouble
	Factor   float64
	From, To time.Duration
}

// Scenario is one load pattern on one service.
type Scenario struct {
	Name      string
	Service   Service
	Warm      time.Duration // not measured
	Last      time.Duration
	Phases    []Phase
	HotCaller float64 // share of all requests, on top of the others'
	HotKey    float64
	LongShare float64 // of slot time
	Faults    []Fault
	Lies      bool            // a third of the servers always report no load
	Cold      bool            // half the servers are cold
	Callers   int             // how many there are; zero is 500
	Again     int             // how often a caller asks again after a failure
	Marks     []time.Duration // ends of measured windows; empty is one
}

// Basin is the lookup service of the beet receiving authority. Slots,
// connections and instances are the users' figures; work and deadline are
// assumed: an indexed read, and what a driver at the scale hardly notices.
func Basin() Service {
	return Service{
		Name: "basin-lookup", VMs: 10, Servers: 16, Slots: 4, Conns: 100, Divided: true,
		Mean: 8 * time.Millisecond, Deadline: 250 * time.Millisecond, Idempotent: true,
		Long: 400 * time.Millisecond, LongBy: 10 * time.Second,
	}
}

// Kerala is the sanction posting of the fiscal systems: few slots, not
// idempotent, not divided by key.
func Kerala() Service {
	return Service{
		Name: "kerala-sanction", VMs: 9, Servers: 10, Slots: 2, Conns: 45,
		Mean: 10 * time.Millisecond, Deadline: 500 * time.Millisecond,
		Long: 400 * time.Millisecond, LongBy: 10 * time.Second,
	}
}

// Viewer is the forecast viewer of the fiscal systems.
func Viewer() Service {
	return Service{
		Name: "kerala-viewer", VMs: 9, Servers: 17, Slots: 2, Conns: 45, Divided: true,
		Mean: 10 * time.Millisecond, Deadline: 300 * time.Millisecond, Idempotent: true,
		Long: 400 * time.Millisecond, LongBy: 10 * time.Second,
	}
}

// Ledger is reading from the receipt ledger of the beet receiving authority:
// idempotent, on any server.
func Ledger() Service {
	return Service{
		Name: "basin-ledger", VMs: 10, Servers: 8, Slots: 4, Conns: 100, Idempotent: true,
		Mean: 10 * time.Millisecond, Deadline: 500 * time.Millisecond,
		Long: 400 * time.Millisecond, LongBy: 10 * time.Second,
	}
}

// Services lists the services that are measured.
func Services() []Service { return []Service{Basin(), Ledger(), Viewer(), Kerala()} }

// Loads that the scenes use, as shares of capacity.
const (
	normal = 0.7
	twice  = 2.0
	burst  = 10 * normal
)

// Scenarios lists the load patterns for a service.
func Scenarios(s Service) []Scenario {
	flat := func(load float64) []Phase { return []Phase{{0, load}} }
	base := Scenario{Service: s, Warm: 3 * time.Second, Last: 13 * time.Second, Phases: flat(normal)}
	scene := func(name string, change func(*Scenario)) Scenario {
		sc := base
		sc.Name = name
		change(&sc)
		return sc
	}
	return []Scenario{
		scene("normal", func(*Scenario) {}),
		scene("burst", func(sc *Scenario) {
			sc.Phases = []Phase{{0, normal}, {5 * time.Second, burst}, {7 * time.Second, normal}}
		}),
		scene("hot-caller", func(sc *Scenario) { sc.HotCaller = 0.5 }),
		scene("hot-key", func(sc *Scenario) { sc.HotKey = 0.3 }),
		scene("slow-server", func(sc *Scenario) {
			sc.Faults = []Fault{{Server: 1, Trouble: Slow, Factor: 10, From: 4 * time.Second, To: sc.Last}}
		}),
		scene("frozen-server", func(sc *Scenario) {
			sc.Faults = []Fault{{Server: 1, Trouble: Freeze, From: 4 * time.Second, To: 8 * time.Second}}
		}),
		scene("failing-server", func(sc *Scenario) {
			sc.Faults = []Fault{{Server: 1, Trouble: Fail, From: 4 * time.Second, To: sc.Last}}
		}),
		scene("long-among-short", func(sc *Scenario) { sc.LongShare = 0.4 }),
		scene("lying-reports", func(sc *Scenario) { sc.Lies = true }),
		scene("half-cold", func(sc *Scenario) { sc.Cold, sc.Warm = true, 0 }),
		Overload(s),
		scene("overload-again", func(sc *Scenario) { sc.Phases, sc.Again = flat(twice), 2 }),
	}
}

// Overload is twice the capacity for a minute, then back to normal. Its windows
// are the overload, the 5 s after it, and the time from then on.
func Overload(s Service) Scenario {
	return Scenario{
		Name: "overload", Service: s, Warm: 3 * time.Second, Last: 75 * time.Second,
		Phases: []Phase{{0, normal}, {3 * time.Second, twice}, {63 * time.Second, normal}},
		Marks:  []time.Duration{63 * time.Second, 68 * time.Second, 75 * time.Second},
	}
}
