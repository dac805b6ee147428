package storer

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// healthEntry is the part of a health endpoint's entry that Hosts needs. encoding/json
// matches its field names.
type healthEntry struct {
	Node    struct{ Address string }
	Service struct {
		ID      string
		Address string
		Port    int
	}
	Checks []struct{ CheckID string }
}

// Hosts implements Store.
func (c *Consul) Hosts(ctx context.Context) ([]Host, error) {
	a, err := c.do(ctx, fasthttp.MethodGet, "/v1/health/service/"+url.PathEscape(c.options.HostService), nil, 0)
	if err != nil {
		return nil, &UnavailableError{Call: "hosts", Err: err}
	}
	var entries []healthEntry
	if err := a.decode(&entries); err != nil {
		return nil, &UnavailableError{Call: "hosts", Err: err}
	}
	hosts := make([]Host, len(entries))
	for i, e := range entries {
		hosts[i] = e.host()
	}
	return hosts, nil
}

func (e healthEntry) host() Host {
	address := e.Service.Address
	if address == "" {
		address = e.Node.Address
	}
	h := Host{Name: e.Service.ID, Address: net.JoinHostPort(address, strconv.Itoa(e.Service.Port))}
	for _, k := range e.Checks {
		if k.CheckID == "_node_maintenance" || strings.HasPrefix(k.CheckID, "_service_maintenance") {
			h.Leaving = true
		}
	}
	return h
}
