package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/edge/feed"
	"hawthornfield.org/hawthornfield/internal/edge/poll"
	"hawthornfield.org/hawthornfield/internal/node/member"
)

// take takes in the list that another VM told, or the part of it that changed.
func (f *fleet) take(l poll.ServerList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Rev < f.rev || l.Rev == f.rev && (l.Delta || !f.doubt) {
		return
	}
	list := make([]member.Entry[feed.Server], len(l.List))
	for i, s := range l.List {
		list[i] = member.Entry[feed.Server]{Name: s.Name, Rev: s.Rev, Value: s, Leaving: s.Leaving}
	}
	now := time.Now()
	var news bool
	if l.Delta {
		news = f.census.MergePeerDelta(now, l.Rev, list, l.Gone)
	} else {
		news = f.census.MergePeer(now, l.Rev, list)
	}
	if news {
		f.publish(l.Rev)
	} else {
		f.pass(l.Rev)
	}
	f.doubt = l.Delta && l.Rev == f.rev && l.Sum != poll.SumOf(f.list())
}

// wholeEvery is the least time between two questions for the whole list: a VM may
// differ from the leader for good reason, for example as long as it waits for a server
// to be listed again.
const wholeEvery = 5 * time.Second

// known is the place of the servers known here, or zero to ask for all of them because
// the last part did not add up to what the other VM has.
func (f *fleet) known(now time.Time) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doubt && !now.Before(f.wholeAt) {
		f.wholeAt = now.Add(wholeEvery)
		f.log.Info("servers differ from the leader's", "rev", f.rev)
		return 0
	}
	return f.rev
}

// pass notes that a newer list held no news. Without it this VM goes on saying that it
// knows the older one, and is answered with the newer at once, each time: as many
// questions as fit into a second, seen as processor time and as bytes between data
// centres. The caller holds mu.
func (f *fleet) pass(rev uint64) {
	f.rev = rev
	f.board.SetServers(poll.ServerList{Rev: rev, List: f.list()})
}
