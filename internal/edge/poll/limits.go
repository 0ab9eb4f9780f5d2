package poll

import "hawthornfield.org/hawthornfield/internal/load/quota"

// Limits are the limits that backend servers state, as of a revision of the sender.
type Limits struct {
	Rev uint64                    `json:"rev"`
	All LenientList[quota.Report] `json:"all"`
}

// LimitSource provides the limits on the leader.
type LimitSource interface {
	// Limits returns the limits, and false if the receiver knows them as of rev.
	Limits(rev uint64) (Limits, bool)
}

// SetLimits sets the source of limits. Its methods must not call the hub's.
func (h *Hub) SetLimits(s LimitSource) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limitSource = s
}

// addLimits adds the limits of servers if they are news, and reports whether they are. The
// caller holds mu.
func (h *Hub) addLimits(req *Request, resp *Response) bool {
	if h.limitSource == nil {
		return false
	}
	rev := req.LimitsRev
	if req.Incarnation != h.incarnation {
		rev = 0
	}
	if l, news := h.limitSource.Limits(rev); news {
		resp.Limits = &l
	}
	return resp.Limits != nil
}
