package operator

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/registrar"
)

// ServerPut adds a backend server to the record or replaces the one of that name.
type ServerPut struct {
	apiClient
	address         string
	dataCentre      string
	models          string
	service         string
	slots           int
	enforcesFencing bool
	leaving         bool
}

// Name implements commander.Command.
func (*ServerPut) Name() string { return "server put" }

// Arguments implements commander.Command.
func (*ServerPut) Arguments() string { return "SERVER" }

// Short implements commander.Command.
func (*ServerPut) Short() string { return "adds or replaces a backend server" }

// Example implements commander.Command.
func (*ServerPut) Example() string {
	return "jackdawgate server put m1 -address 127.0.0.1:9001 -data-centre east -models clue-writer -slots 16"
}

// Flags implements commander.Command.
func (s *ServerPut) Flags(f *flag.FlagSet) {
	s.apiClient.Flags(f)
	s.addChangeFlags(f)
	f.StringVar(&s.address, "address", "", "IP `address` and port")
	f.StringVar(&s.dataCentre, "data-centre", "", "`data centre`")
	f.StringVar(&s.models, "models", "", "`models` that it serves, separated by commas")
	f.StringVar(&s.service, "service", "", "plain `service` that it provides, instead of models")
	f.IntVar(&s.slots, "slots", 16, "`calls` that it runs at the same time")
	f.BoolVar(&s.enforcesFencing, "enforces-fencing", false, "the server refuses orders with an old epoch")
	f.BoolVar(&s.leaving, "leaving", false, "the server gets no new work")
}

// Run implements commander.Command.
func (s *ServerPut) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "SERVER"); err != nil {
		return err
	}
	if s.address == "" || s.slots < 1 || (s.models == "") == (s.service == "") {
		return &commander.UsageError{Problem: "give -address, -slots of at least 1, and either -models or -service"}
	}
	b := registrar.BackendServer{
		Name: args[0], Address: s.address, DataCentre: s.dataCentre, Kind: registrar.KindPlain, Service: s.service,
		Slots: s.slots, EnforcesFencing: s.enforcesFencing, Leaving: s.leaving,
	}
	if s.models != "" {
		b.Kind, b.Models = registrar.KindModel, strings.Split(s.models, ",")
	}
	return s.change(ctx, e, registrar.PutServer{Server: b}, "server "+b.Name+" put")
}

// ServerRemove removes a backend server from the record.
type ServerRemove struct{ apiClient }

// Name implements commander.Command.
func (*ServerRemove) Name() string { return "server remove" }

// Arguments implements commander.Command.
func (*ServerRemove) Arguments() string { return "SERVER" }

// Short implements commander.Command.
func (*ServerRemove) Short() string {
	return "removes a backend server; put it with -leaving first so that its work can end"
}

// Example implements commander.Command.
func (*ServerRemove) Example() string { return "jackdawgate server remove m1" }

// Flags implements commander.Command.
func (s *ServerRemove) Flags(f *flag.FlagSet) {
	s.apiClient.Flags(f)
	s.addChangeFlags(f)
}

// Run implements commander.Command.
func (s *ServerRemove) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "SERVER"); err != nil {
		return err
	}
	return s.change(ctx, e, registrar.RemoveServer{Name: args[0]}, "server "+args[0]+" removed")
}

// RoutePut adds a route to a plain service or replaces the one of that name.
type RoutePut struct {
	apiClient
	route registrar.Route
}

// Name implements commander.Command.
func (*RoutePut) Name() string { return "route put" }

// Arguments implements commander.Command.
func (*RoutePut) Arguments() string { return "ROUTE" }

// Short implements commander.Command.
func (*RoutePut) Short() string { return "adds or replaces a route to a plain service" }

// Example implements commander.Command.
func (*RoutePut) Example() string {
	return "jackdawgate route put stock -method GET -path /stock/ -service stock -repeatable"
}

// Flags implements commander.Command.
func (p *RoutePut) Flags(f *flag.FlagSet) {
	p.apiClient.Flags(f)
	p.addChangeFlags(f)
	f.StringVar(&p.route.Method, "method", "POST", "HTTP `method`")
	f.StringVar(&p.route.Path, "path", "", "`path`; one that ends in / covers what is below it")
	f.StringVar(&p.route.Service, "service", "", "plain `service`")
	f.BoolVar(&p.route.Repeatable, "repeatable", false, "calls may be sent again")
	f.BoolVar(&p.route.Public, "open", false, "callers need no key")
}

// Run implements commander.Command.
func (p *RoutePut) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args, "ROUTE"); err != nil {
		return err
	}
	if !strings.HasPrefix(p.route.Path, "/") || p.route.Service == "" {
		return &commander.UsageError{Problem: "give -service and a -path that begins with /"}
	}
	p.route.Name = args[0]
	return p.change(ctx, e, registrar.PutRoute{Route: p.route}, "route "+args[0]+" put")
}

// ServerList lists backend servers.
type ServerList struct{ apiClient }

// Name implements commander.Command.
func (*ServerList) Name() string { return "server list" }

// Arguments implements commander.Command.
func (*ServerList) Arguments() string { return "" }

// Short implements commander.Command.
func (*ServerList) Short() string { return "lists backend servers" }

// Example implements commander.Command.
func (*ServerList) Example() string { return "jackdawgate server list" }

// Run implements commander.Command.
func (s *ServerList) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	r, err := s.getRecord(ctx, e)
	if err != nil {
		return err
	}
	all := sortedByKey(r.Servers)
	if s.jsonOutput {
		return printJSON(e.Stdout, all)
	}
	var rows []string
	for _, b := range all {
		serves := b.Service + strings.Join(b.Models, ",")
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%t", b.Name, b.Address, b.DataCentre, serves, b.Slots, b.Leaving))
	}
	return writeTable(e.Stdout, "server\taddress\tdata centre\tserves\tslots\tleaving", rows)
}
