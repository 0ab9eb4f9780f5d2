// Package news keeps one entry VM's rules and tables up to date: it follows the
// store, hands what it learns to rules/force and to the keeper of seats, and
// carries out what they decide.
package news

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/group"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/core/loop"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/force"
)

// Periods of following the store.
const (
	tick       = 250 * time.Millisecond // of rules/force
	look       = 500 * time.Millisecond // between reads that prove that the store answers
	firstPause = 100 * time.Millisecond // after a failed call
	lastPause  = 2 * time.Second
)

const tablePrefix = "table/"

// Options are what a follower needs. Store and Book are required.
type Options struct {
	Store   object.Store
	Book    *force.Book
	Tables  func(table.Table, object.Version) // told of each table read
	Timeout time.Duration                     // of one call, watches apart
	Log     *slog.Logger
}

// News follows the store. Make one with New.
type News struct {
	Options
	group  group.Group
	effect group.Group
	rules  *loop.Loop

	live  atomic.Int32 // entry VMs that should be there
	heard atomic.Int32 // of them heard lately
}

// New starts following.
func New(o Options) *News {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	n := &News{Options: o}
	n.rules = loop.New(force.Model{}, loop.RunnerFunc(n.run))
	n.group.Go(func(ctx context.Context) error {
		return n.watch(ctx, force.Current, n.onRules)
	})
	n.group.Go(func(ctx context.Context) error {
		return n.watch(ctx, tablePrefix, n.onTable)
	})
	n.group.Go(n.tick)
	return n
}

// Close stops following and waits.
func (n *News) Close() error {
	err := n.group.Close()
	if e := n.rules.Close(); err == nil {
		err = e
	}
	if e := n.effect.Close(); err == nil {
		err = e
	}
	return err
}

// Sight notes how many entry VMs there should be and how many were heard
// lately, this one included in both.
func (n *News) Sight(live, heard int) {
	n.live.Store(int32(live))
	n.heard.Store(int32(heard))
}

// Rules takes the bytes of the rules that an operator just had accepted here.
func (n *News) Rules(raw []byte) { n.rules.Send(force.LoadedMsg{Raw: raw}) }

func (n *News) onRules(o object.Object) {
	if o.Name == force.Current {
		n.rules.Send(force.LoadedMsg{Raw: o.Value})
		n.rules.Send(force.SightMsg{Store: true})
	}
}

func (n *News) onTable(o object.Object) {
	tab, err := table.Decode(o.Value)
	if err != nil {
		n.Log.Error("ownership table", "name", o.Name, "err", err)
		return
	}
	if tablePrefix+string(tab.Service) != o.Name {
		n.Log.Error("ownership table under another name", "name", o.Name, "service", tab.Service)
		return
	}
	if n.Tables != nil {
		n.Tables(tab, o.Version)
	}
}

// tick lets time pass for rules/force and proves now and then that the store
// answers: a watch that waits in silence proves nothing.
func (n *News) tick(ctx context.Context) error {
	last := time.Time{}
	for ctx.Err() == nil {
		n.rules.Send(force.SightMsg{Live: int(n.live.Load()), Heard: int(n.heard.Load())})
		n.rules.Send(force.TickMsg{})
		if time.Since(last) >= look {
			last = time.Now()
			n.probe(ctx)
		}
		sleep(ctx, tick)
	}
	return nil
}

func (n *News) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	o, err := n.Store.Get(ctx, force.Current)
	switch kinds.Of(err) {
	case kinds.None:
		n.onRules(o)
	case kinds.Absent:
		n.rules.Send(force.SightMsg{Store: true})
	}
}

// run carries out what rules/force decides.
func (n *News) run(ctx context.Context, cmd loop.Cmd, _ func(loop.Msg)) {
	switch cmd := cmd.(type) {
	case force.ApplyCmd:
		n.Book.Apply(cmd.Snap)
		n.Log.Info("rules in force", "rev", cmd.Snap.Rev, "author", cmd.Snap.Author, "sum", cmd.Snap.Sum)
	case force.ServeCmd:
		n.Book.SetState(cmd.State)
		n.Log.Info("answering requests", "state", cmd.State.String())
	case force.AlarmCmd:
		n.Log.Error("rules", "from", cmd.From, "rev", cmd.Rev, "err", cmd.Err)
	case force.FetchCmd:
		n.effect.Go(func(context.Context) error {
			n.probe(ctx)
			return nil
		})
	}
}

// watch follows the objects under a prefix through outages of the store.
func (n *News) watch(ctx context.Context, prefix string, news func(object.Object)) error {
	var at object.Cursor
	listed, pause := false, firstPause
	for ctx.Err() == nil {
		var err error
		if listed {
			at, err = n.follow(ctx, prefix, at, news)
		} else {
			at, err = n.list(ctx, prefix, news)
		}
		switch {
		case err == nil:
			listed, pause = true, firstPause
			continue
		case kinds.Of(err) == kinds.Absent:
			listed = false // the cursor is too old
		}
		sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
	return nil
}

func (n *News) list(ctx context.Context, prefix string, news func(object.Object)) (object.Cursor, error) {
	ctx, cancel := context.WithTimeout(ctx, n.Timeout)
	defer cancel()
	all, at, err := n.Store.List(ctx, prefix)
	for _, o := range all {
		news(o)
	}
	return at, err
}

func (n *News) follow(ctx context.Context, prefix string, at object.Cursor, news func(object.Object)) (object.Cursor, error) {
	changes, next, err := n.Store.Watch(ctx, prefix, at)
	if err != nil {
		return at, err
	}
	for _, c := range changes {
		if c.Version != 0 && strings.HasPrefix(c.Name, prefix) {
			news(c.Object)
		}
	}
	return next, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
