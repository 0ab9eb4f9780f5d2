package poll

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/notice"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/load/shed"
	"hawthornfield.org/hawthornfield/internal/node/evac"
	"hawthornfield.org/hawthornfield/internal/owner/assign"
	"hawthornfield.org/hawthornfield/internal/owner/elect"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// Request is a poll request, with what its sender knows and reports.
type Request struct {
	VM          ident.VM                           `json:"vm"`
	Addr        string                             `json:"addr"`  // address at which the sender can be polled
	Lease       elect.Lease                        `json:"lease"` // newest lease that the sender knows
	Incarnation string                             `json:"life"`  // of the leader to which Seqs and CaseSeq refer
	Seqs        map[ident.Service]uint64           `json:"seqs,omitempty"`
	RulesRev    uint64                             `json:"ruleset"` // newest revision that the sender knows to exist
	ServersRev  uint64                             `json:"servers"`
	EvacRev     uint64                             `json:"evac,omitempty"`  // as of which the sender knows the evacuated data centres
	CPUs        float64                            `json:"power,omitempty"` // processors that the sender may use
	Centre      ident.Centre                       `json:"centre,omitempty"`
	Cells       map[ident.Service]CellCounts       `json:"cells,omitempty"`
	LatencySums map[ident.Server]assign.LatencySum `json:"sums,omitempty"`
	Reports     LenientList[poison.Report]         `json:"reports,omitempty"` // of requests during which servers broke off
	CaseSeq     uint64                             `json:"cases,omitempty"`   // last change of suspected requests that the sender received
	TrialAsks   LenientList[poison.TrialAsk]       `json:"trials,omitempty"`
	Notices     LenientList[notice.Report]         `json:"notices,omitempty"`    // notices of servers that the leader may not know
	NoticesRev  uint64                             `json:"noticesrev,omitempty"` // of the leader's notices that the sender knows
	Shedding    LenientList[shed.Report]           `json:"shedding,omitempty"`   // servers that want no requests from the sender
	Samples     *FleetReport                       `json:"fleet,omitempty"`      // what the sender saw of the load of servers
	// TrialGrants is set by the handler on the leader, and sent in the response to this
	// request only: the sender counts their time from when it sent the request.
	TrialGrants []poison.TrialGrant `json:"-"`
	// Lent is set by the handler on the leader, and sent in the response to this request
	// only, like TrialGrants.
	Lent []ident.Server `json:"-"`

	receivedAt time.Time // on the boot clock, see package clock
}

// CellCounts counts requests by cell of the key space.
type CellCounts map[uint16]uint32

// Response is the response to a poll request.
type Response struct {
	VM          ident.VM    `json:"vm"`   // sender of the response
	Incarnation string      `json:"life"` // process of the sender
	Lease       elect.Lease `json:"lease"`
	IsLeader    bool        `json:"leads"` // the sender is the leader
	StoreDown   bool        `json:"away"`  // the sender leads and cannot reach the store
	// ClusterFormed means that the sender has led or has received a leader's news.
	ClusterFormed bool `json:"settled,omitempty"`
	// StoreUpFor is how long the store has answered the sender without interruption; zero
	// if unknown.
	StoreUpFor time.Duration `json:"steady,omitempty"`
	// RulesFreshFor is how long, from the arrival of the request, the sender's rules may
	// be treated as the newest in the store; zero if unknown.
	RulesFreshFor time.Duration `json:"sure,omitempty"`
	// ConfirmedFor is how long, from the arrival of the request, the receiver may rely on the
	// sender to hear what the store holds; zero if unknown.
	ConfirmedFor time.Duration            `json:"confirmed,omitempty"`
	Ages         map[Topic]time.Duration  `json:"ages,omitempty"` // how old the sender's knowledge of each topic is
	Held         time.Duration            `json:"held,omitempty"` // from the arrival of the request until the response was made
	RulesCursor  object.Cursor            `json:"seen,omitempty"` // cursor up to which the sender knows the rules
	ClaimRank    int                      `json:"rank"`           // VMs that may take over before the receiver if the leader is lost
	VMCount      int                      `json:"count"`          // number of VMs that poll the sender, the receiver included
	VMs          []string                 `json:"vms"`            // addresses of some of them
	Changes      map[ident.Service]Change `json:"changes,omitempty"`
	RulesRev     uint64                   `json:"latest,omitempty"` // newest rules that can be fetched from the sender
	Servers      *ServerList              `json:"servers,omitempty"`
	// ServersDigest is that of the servers that the sender, which leads, knows; zero if unknown.
	ServersDigest uint32 `json:"digest,omitempty"`
	// Evacuated is set if it is newer than what the receiver knows.
	Evacuated *evac.List `json:"evac,omitempty"`
	Cases     *Cases     `json:"cases,omitempty"`
	Notices   *Notices   `json:"notices,omitempty"`
	Fleet     *FleetList `json:"fleet,omitempty"` // what all VMs know of the load of servers
	// TrialGrants are attempts that only the receiver may make.
	TrialGrants LenientList[poison.TrialGrant] `json:"grants,omitempty"`
	// Lent are cold servers that only the receiver may use.
	Lent []ident.Server `json:"lent,omitempty"`

	// ReceivedAt is when the response began to arrive. Its news is as of that time.
	ReceivedAt time.Time `json:"-"`
}

// Cases are the requests suspected of crashing servers that changed since the receiver's
// last poll, up to a sequence number.
type Cases struct {
	Seq  uint64                      `json:"seq"`
	List LenientList[poison.Verdict] `json:"list"`
}
