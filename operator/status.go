package operator

import (
	"context"
	"flag"
	"fmt"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/commander"
)

// Status prints the state of one host, and the members and backend servers as that
// host sees them.
type Status struct{ apiClient }

// Name implements commander.Command.
func (*Status) Name() string { return "status" }

// Arguments implements commander.Command.
func (*Status) Arguments() string { return "" }

// Short implements commander.Command.
func (*Status) Short() string { return "shows one host's view of the fleet" }

// Example implements commander.Command.
func (*Status) Example() string { return "jackdawgate status -host 127.0.0.1:8480" }

// Run implements commander.Command.
func (s *Status) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	var a administrator.Status
	if err := s.get(ctx, e, administrator.StatusPath, &a); err != nil {
		return err
	}
	if s.jsonOutput {
		return printJSON(e.Stdout, a)
	}
	_, err := fmt.Fprintf(e.Stdout, "host %s in %s: version %d, epoch %d, preset %s, member %t, draining %t, permitted for %d ms\n\n",
		a.Host, a.DataCentre, a.Version, a.Epoch, a.Preset, a.Member, a.Draining, a.PermittedFor)
	if err != nil {
		return err
	}
	return printStatus(e, a)
}

// printStatus prints the tables of members and backend servers.
func printStatus(e commander.Env, a administrator.Status) error {
	var rows []string
	for _, m := range a.Members {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", m.Name, m.DataCentre, m.Caller, m.Incarnation))
	}
	if err := writeTable(e.Stdout, "host\tdata centre\tcallers\tincarnation", rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(e.Stdout); err != nil {
		return err
	}
	rows = nil
	for _, b := range a.Servers {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%t\t%t\t%d\t%d\t%d",
			b.Name, b.DataCentre, b.Keeper, b.Healthy, b.Leaving, b.Online, b.Batch, b.Waiting))
	}
	return writeTable(e.Stdout, "server\tdata centre\tkeeper\thealthy\tleaving\tonline\tbatch\twaiting", rows)
}

// HostRemove removes a host that will not return from the fleet. With -force it does so
// although a majority of the hosts is lost; the operator then guarantees that the
// host's process has ended.
type HostRemove struct {
	apiClient
	incarnation string
	force       bool
}

// Name implements commander.Command.
func (*HostRemove) Name() string { return "host remove" }

// Arguments implements commander.Command.
func (*HostRemove) Arguments() string { return "HOST" }

// Short implements commander.Command.
func (*HostRemove) Short() string {
	return "removes a host that will not return; needed only if a majority of the hosts was lost at once"
}

// Example implements commander.Command.
func (*HostRemove) Example() string { return "jackdawgate host remove east-2 -force" }

// Flags implements commander.Command.
func (h *HostRemove) Flags(f *flag.FlagSet) {
	h.apiClient.Flags(f)
	h.addChangeFlags(f)
	f.StringVar(&h.incarnation, "incarnation", "", "`incarnation` to remove; default the one in the record")
	f.BoolVar(&h.force, "force", false, "guarantee that its process has ended and cannot resume")
}

// Run implements commander.Command.
func (h *HostRemove) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "HOST"); err != nil {
		return err
	}
	q := administrator.RemoveRequest{ID: h.changeID(), Name: args[0], Incarnation: h.incarnation, Force: h.force}
	return h.postChange(ctx, e, administrator.RemovePath, q, "host "+args[0]+" removed")
}
