package poll

import "hawthornfield.org/hawthornfield/internal/load/notice"

// Notices are what backend servers say about themselves, as of a revision of the sender.
type Notices struct {
	Rev uint64                     `json:"rev"`
	All LenientList[notice.Report] `json:"all"`
}

// NoticeSource provides the notices on the leader.
type NoticeSource interface {
	// Since returns the notices, and false if the receiver knows them as of rev.
	Since(rev uint64) (Notices, bool)
}

// SetNotices sets the source of notices. Its methods must not call the hub's.
func (h *Hub) SetNotices(s NoticeSource) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noticeSource = s
}

// addNotices adds the notices of servers if they are news, and reports whether they are. The
// caller holds mu.
func (h *Hub) addNotices(req *Request, resp *Response) bool {
	if h.noticeSource == nil {
		return false
	}
	rev := req.NoticesRev
	if req.Incarnation != h.incarnation {
		rev = 0
	}
	if n, news := h.noticeSource.Since(rev); news {
		resp.Notices = &n
	}
	return resp.Notices != nil
}
