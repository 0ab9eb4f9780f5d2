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
	platformFlags
	app     *app
	Service string `long:"service" description:"only this service"`
	Key     string `long:"key" description:"who owns this key"`
	JSON    bool   `long:"json" description:"as JSON"`
}

// serviceOwners is the current ownership of one service.
type serviceOwners struct {
	Service   ident.Service  `json:"service"`
	Rev       ident.Revision `json:"rev"`
	Slices    uint32         `json:"slices"`
	Servers   []serverShare  `json:"servers"`
	Hot       []table.Hot    `json:"hot,omitempty"`
	Imbalance float64        `json:"imbalance"` // most slices of a server / mean over the servers that own any
	Moves     int            `json:"moves"`     // in the last hour
	Churn     float64        `json:"churn"`     // share of slices moved in the last hour
}

type serverShare struct {
	Server ident.Server `json:"server"`
	Slices int          `json:"slices"`
	Epoch  ident.Epoch  `json:"epoch"`
}

// Execute prints the owners of all slices, or of one key.
func (c *ownersCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
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
		return c.printKeyOwner(tables)
	}
	all, err := readOwners(s.ctx, s.store, tables)
	if err != nil {
		return err
	}
	if c.JSON {
		enc := json.NewEncoder(c.app.out)
		enc.SetIndent("", "  ")
		return enc.Encode(all)
	}
	return c.printTables(all)
}

func (c *ownersCmd) printKeyOwner(tables []table.Table) error {
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

func readOwners(ctx context.Context, store object.Store, tables []table.Table) ([]serviceOwners, error) {
	moves, err := report.Run(ctx, store, report.Query{Since: time.Now().Add(-time.Hour), Action: record.Place})
	if err != nil {
		return nil, err
	}
	all := make([]serviceOwners, 0, len(tables))
	for _, t := range tables {
		owners := countSlices(t)
		for i := range moves.Rows {
			// Assigning a slice that had no owner does not count as a move.
			if moves.Rows[i].Service == t.Service && moves.Rows[i].PrevOwner != "" {
				owners.Moves++
			}
		}
		owners.Churn = float64(owners.Moves) / float64(max(owners.Slices, 1))
		all = append(all, owners)
	}
	return all, nil
}

// countSlices counts the slices of each server.
func countSlices(t table.Table) serviceOwners {
	result := serviceOwners{Service: t.Service, Rev: t.Rev, Slices: t.Slices(), Hot: t.Hot}
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
		result.Servers = append(result.Servers, serverShare{row.Name, n, row.MinEpoch})
	}
	if t.Slices() > 0 {
		result.Imbalance = float64(most) * float64(owners) / float64(t.Slices())
	}
	if n := counts[""]; n > 0 {
		result.Servers = append(result.Servers, serverShare{Server: "(no owner)", Slices: n})
	}
	return result
}

func (c *ownersCmd) printTables(all []serviceOwners) error {
	if len(all) == 0 {
		fmt.Fprintln(c.app.out, "no service divided by key has a table yet")
		return nil
	}
	for _, owners := range all {
		fmt.Fprintf(c.app.out, "%s, revision %d: %d slices, imbalance %.2f, %d moves in the last hour (%.1f%% of the slices)\n",
			owners.Service, owners.Rev, owners.Slices, owners.Imbalance, owners.Moves, 100*owners.Churn)
		t := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  SERVER\tSLICES\tEPOCH\tHOT KEYS")
		for _, s := range owners.Servers {
			fmt.Fprintf(t, "  %s\t%d\t%d\t%s\n", s.Server, s.Slices, s.Epoch, hotKeys(owners, s.Server))
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func hotKeys(owners serviceOwners, s ident.Server) string {
	var keys []string
	for _, k := range owners.Hot {
		if k.Server == s {
			keys = append(keys, string(k.Key))
		}
	}
	if len(keys) == 0 {
		return "-"
	}
	return strings.Join(keys, " ")
}
