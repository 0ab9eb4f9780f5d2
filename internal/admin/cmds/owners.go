package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"hawthornfield.org/hawthornfield/internal/audit/record"
	"hawthornfield.org/hawthornfield/internal/audit/report"
	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/owner/table"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

const ownersHelp = `Shows for each service divided by key which backend server owns how many of its
slices and which single hot keys, the imbalance (most over the mean of those that
own any, so that a server that left does not count), and the moves of the last hour. With --key, who owns that key.`

type ownersCmd struct {
	target
	app     *app
	Service string `long:"service" description:"only this service"`
	Key     string `long:"key" description:"who owns this key"`
	JSON    bool   `long:"json" description:"as JSON"`
}

// holding is what one service's owners hold now.
type holding struct {
	Service   ident.Service  `json:"service"`
	Rev       ident.Revision `json:"rev"`
	Slices    uint32         `json:"slices"`
	Servers   []serverShare  `json:"servers"`
	Hot       []table.Hot    `json:"hot,omitempty"`
	Imbalance float64        `json:"imbalance"` // most slices over the mean of those that own any
	Moves     int            `json:"moves"`     // in the last hour
	Churn     float64        `json:"churn"`     // share of slices moved in the last hour
}

type serverShare struct {
	Server ident.Server `json:"server"`
	Slices int          `json:"slices"`
	Epoch  ident.Epoch  `json:"epoch"`
}

// Execute shows the owners.
func (c *ownersCmd) Execute(args []string) error {
	if err := noMore(args); err != nil {
		return err
	}
	s, err := c.open(c.app.ctx)
	if err != nil {
		return err
	}
	defer s.close()
	tables, err := readTables(s.ctx, s.store)
	if err != nil {
		return err
	}
	tables = slices.DeleteFunc(tables, func(t table.Table) bool { return c.Service != "" && string(t.Service) != c.Service })
	if c.Key != "" {
		return c.ofKey(tables)
	}
	all, err := holdings(s.ctx, s.store, tables)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(c.app.out)
		enc.SetIndent("", "  ")
		return enc.Encode(all)
	}
	return c.print(all)
}

func (c *ownersCmd) ofKey(tables []table.Table) error {
	for _, t := range tables {
		o, ok := table.NewView(t).Owner(ident.Key(c.Key))
		if !ok {
			fmt.Fprintf(c.app.out, "%s: %s has no owner (slice %d, revision %d)\n", t.Service, c.Key, o.Slice, t.Rev)
			continue
		}
		hot := ""
		if o.Hot {
			hot = ", owned apart from its slice"
		}
		fmt.Fprintf(c.app.out, "%s: %s is owned by %s (slice %d, revision %d%s)\n", t.Service, c.Key, o.Server, o.Slice, t.Rev, hot)
	}
	return nil
}

func readTables(ctx context.Context, store object.Store) ([]table.Table, error) {
	objects, _, err := store.List(ctx, tablePrefix)
	if err != nil {
		return nil, err
	}
	var all []table.Table
	for _, o := range objects {
		t, err := table.Decode(o.Value)
		if err != nil {
			return nil, kinds.Wrap(kinds.Of(err), err, o.Name)
		}
		all = append(all, t)
	}
	return all, nil
}

func holdings(ctx context.Context, store object.Store, tables []table.Table) ([]holding, error) {
	moves, err := report.Run(ctx, store, report.Query{Since: time.Now().Add(-time.Hour), Action: record.Place})
	if err != nil {
		return nil, err
	}
	all := make([]holding, 0, len(tables))
	for _, t := range tables {
		h := share(t)
		for i := range moves.Rows {
			// A slice that had no owner before was assigned, not moved.
			if moves.Rows[i].Service == t.Service && moves.Rows[i].PrevOwner != "" {
				h.Moves++
			}
		}
		h.Churn = float64(h.Moves) / float64(max(h.Slices, 1))
		all = append(all, h)
	}
	return all, nil
}

// share counts the slices of each server.
func share(t table.Table) holding {
	h := holding{Service: t.Service, Rev: t.Rev, Slices: t.Slices(), Hot: t.Hot}
	counts := map[ident.Server]int{}
	for s := range t.Slices() {
		counts[t.OwnerOf(ident.Slice(s))]++
	}
	most, owners := 0, 0
	for _, row := range t.Rows {
		n := counts[row.Name]
		most = max(most, n)
		if n > 0 {
			owners++
		}
		h.Servers = append(h.Servers, serverShare{row.Name, n, row.MinEpoch})
	}
	if t.Slices() > 0 {
		h.Imbalance = float64(most) * float64(owners) / float64(t.Slices())
	}
	if n := counts[""]; n > 0 {
		h.Servers = append(h.Servers, serverShare{Server: "(no owner)", Slices: n})
	}
	return h
}

func (c *ownersCmd) print(all []holding) error {
	if len(all) == 0 {
		fmt.Fprintln(c.app.out, "no service divided by key has a table yet")
		return nil
	}
	for _, h := range all {
		fmt.Fprintf(c.app.out, "%s, revision %d: %d slices, imbalance %.2f, %d moves in the last hour (%.1f%% of the slices)\n",
			h.Service, h.Rev, h.Slices, h.Imbalance, h.Moves, 100*h.Churn)
		t := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  SERVER\tSLICES\tEPOCH\tHOT KEYS")
		for _, s := range h.Servers {
			fmt.Fprintf(t, "  %s\t%d\t%d\t%s\n", s.Server, s.Slices, s.Epoch, hotOf(h, s.Server))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func hotOf(h holding, s ident.Server) string {
	var keys []string
	for _, k := range h.Hot {
		if k.Server == s {
			keys = append(keys, string(k.Key))
		}
	}
	if len(keys) == 0 {
		return "-"
	}
	return strings.Join(keys, " ")
}
