package cmds

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/rules/save"
)

const reportHelp = `Lists decisions out of the platform's store: who received what, when, why, and
under whose rule. Without filters it shows the last hour. Times are RFC 3339, or
durations back from now such as 90m. What is missing from the record is listed at
the end.`

type reportCmd struct {
	platformFlags
	app     *app
	Key     string `long:"key" description:"only this key, with the moves of its slice"`
	Caller  string `long:"caller" description:"only this caller"`
	Server  string `long:"server" description:"only this backend server"`
	Service string `long:"service" description:"only this service"`
	ID      string `long:"id" description:"only this request id"`
	Rule    string `long:"rule" description:"only this rule"`
	Since   string `long:"since" default:"1h" value-name:"TIME" description:"begin"`
	Until   string `long:"until" value-name:"TIME" description:"end; now when left out"`
	Moves   bool   `long:"moves" description:"only moves of keys"`
	By      string `long:"by" choice:"key" choice:"caller" choice:"server" choice:"service" choice:"rule" choice:"hour" description:"count instead of listing"`
	JSON    bool   `long:"json" description:"as JSON"`
}

// Execute prints the decisions that match the flags.
func (c *reportCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	q, err := c.query(time.Now())
	if err != nil {
		return err
	}
	s, err := c.open(c.app.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	q.Slices, q.Author = sliceCounts(s.ctx, s.store), revisionAuthors(s.ctx, s.store)
	r, err := report.Run(s.ctx, s.store, q)
	switch {
	case err != nil:
		return err
	case c.JSON:
		return r.WriteJSON(c.app.out)
	case c.By != "":
		return r.WriteCounts(c.app.out, report.GroupBy(c.By))
	}
	return r.WriteTable(c.app.out)
}

func (c *reportCmd) query(now time.Time) (report.Query, error) {
	q := report.Query{
		Key: ident.Key(c.Key), Caller: ident.Caller(c.Caller), Server: ident.Server(c.Server),
		Service: ident.Service(c.Service), ID: ident.Request(c.ID), Rule: c.Rule,
	}
	if c.Moves {
		q.Action = record.Place
	}
	var err error
	if q.Since, err = parseTime(c.Since, now); err != nil {
		return q, err
	}
	q.Until, err = parseTime(c.Until, now)
	return q, err
}

func parseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	return at, kinds.Wrap(kinds.BadRequest, err, "time")
}

// memoize returns f with a cache of its results. It is safe for concurrent use, because
// several journals are read at once.
func memoize[K comparable, V any](f func(K) V) func(K) V {
	var mu sync.Mutex
	seen := map[K]V{}
	return func(k K) V {
		mu.Lock()
		defer mu.Unlock()
		if v, ok := seen[k]; ok {
			return v
		}
		v := f(k)
		seen[k] = v
		return v
	}
}

// sliceCounts returns a function that reads a service's number of slices from its table.
// It returns 0 if the table cannot be read.
func sliceCounts(ctx context.Context, store object.Store) func(ident.Service) uint32 {
	return memoize(func(s ident.Service) uint32 {
		t, err := readTable(ctx, store, s)
		if err != nil {
			return 0
		}
		return t.Slices()
	})
}

// revisionAuthors returns a function that reads the author of a revision from the history
// of the rules. It returns "" if the revision cannot be read.
func revisionAuthors(ctx context.Context, store object.Store) func(ident.Revision) string {
	return memoize(func(rev ident.Revision) string {
		rec, err := save.Revision(ctx, store, rev)
		if err != nil {
			return ""
		}
		return rec.Author
	})
}

// tablePrefix is the prefix of the ownership tables' names in the object API.
const tablePrefix = "table/"

func readTable(ctx context.Context, store object.Store, s ident.Service) (table.Table, error) {
	o, err := store.Get(ctx, tablePrefix+string(s))
	if err != nil {
		return table.Table{}, err
	}
	t, err := table.Decode(o.Value)
	return t, kinds.Wrap(kinds.Of(err), err, fmt.Sprint("table of ", s))
}
