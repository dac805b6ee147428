package emulator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Orders that an Engine accepts.
const (
	OrderLoadModel   = "load-model"
	OrderUnloadModel = "unload-model"
	OrderLoadAdapter = "load-adapter"
	OrderLoadVersion = "load-version"
	OrderSetRole     = "set-role"
)

// firstVersion is the version of a model for which none is specified.
const firstVersion = "1"

// Order is the body of POST /orders.
type Order struct {
	Order string `json:"order"`
	Model string `json:"model,omitempty"`
	// Adapter is the name of an adapter. It is served as model "MODEL:ADAPTER".
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Epoch is the fencing number in HeaderEpoch, zero if there is none.
	Epoch uint64 `json:"epoch,omitempty"`
	// Refused reports that the order was refused on arrival because of a stale
	// epoch.
	Refused bool `json:"refused,omitempty"`
}

// loadedModels are the models that an engine has loaded, and its role. It is
// guarded by the engine's lock.
type loadedModels struct {
	// versions has the version of each model by its name.
	versions map[string]string
	role     string
}

func newLoadedModels(names []string) loadedModels {
	m := loadedModels{versions: make(map[string]string), role: "mixed"}
	for _, n := range names {
		m.versions[n] = firstVersion
	}
	return m
}

// apply executes o. It returns false if the order is unknown.
func (m *loadedModels) apply(o Order) bool {
	switch o.Order {
	case OrderLoadModel, OrderLoadVersion:
		m.versions[o.Model] = cmp.Or(o.Version, firstVersion)
	case OrderUnloadModel:
		delete(m.versions, o.Model)
	case OrderLoadAdapter:
		m.versions[o.Model+":"+o.Adapter] = cmp.Or(o.Version, firstVersion)
	case OrderSetRole:
		m.role = o.Role
	default:
		return false
	}
	return true
}

func (m *loadedModels) names() []string { return slices.Sorted(maps.Keys(m.versions)) }

// handleOrder executes an order after OrderTime. It checks the epoch on arrival
// and again when the order takes effect.
func (e *Engine) handleOrder(ctx context.Context, q *fasthttp.RequestCtx) {
	var o Order
	if !decodeBody(q, &o) {
		return
	}
	o.Epoch, _ = strconv.ParseUint(string(q.Request.Header.Peek(HeaderEpoch)), 10, 64)
	if !e.admitOrder(o) {
		refuseOrder(q)
		return
	}
	if !sleep(ctx, e.options.OrderTime.Duration()) {
		cutCall(q)
		return
	}
	known, accepted := e.applyOrder(o)
	switch {
	case !accepted:
		refuseOrder(q)
	case !known:
		respondAPIError(q, fasthttp.StatusBadRequest, "unknown-order", o.Order)
	default:
		respondJSON(q, e.loadReport())
	}
}

func refuseOrder(q *fasthttp.RequestCtx) {
	respondAPIError(q, fasthttp.StatusConflict, "stale-epoch", "a later epoch has given orders")
}

// admitOrder records o and reports whether its epoch is accepted.
func (e *Engine) admitOrder(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.Refused = e.isStale(o)
	e.orders = append(e.orders, o)
	return !o.Refused
}

// applyOrder executes o if its epoch is still accepted. It reports whether the
// order is known and whether the epoch was accepted.
func (e *Engine) applyOrder(o Order) (known, accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isStale(o) {
		return true, false
	}
	return e.models.apply(o), true
}

// isStale reports whether o must be refused because an earlier order had a higher
// epoch and fencing is enforced. The caller must hold e.mu.
func (e *Engine) isStale(o Order) bool {
	if !e.options.EnforcesFencing || e.faults.IgnoreFencing {
		return false
	}
	return slices.ContainsFunc(e.orders, func(p Order) bool { return p.Epoch > o.Epoch })
}

// Orders returns all orders received, in order of arrival, including those that
// were refused.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// LoadReport is the response to GET /load. Running, Waiting and CacheBlocksUsed
// are as old as EngineOptions.LoadLag; the other fields are current.
type LoadReport struct {
	Running         int      `json:"running"`
	Waiting         int      `json:"waiting"`
	Slots           int      `json:"slots"`
	CacheBlocks     int      `json:"cache-blocks"`
	CacheBlocksUsed int      `json:"cache-blocks-used"`
	Models          []string `json:"models"`
	Role            string   `json:"role"`
}

func (e *Engine) loadReport() LoadReport {
	l := e.batch.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	r := LoadReport{Slots: e.options.Slots, CacheBlocks: e.options.CacheBlocks, Models: e.models.names(), Role: e.models.role}
	if !e.faults.ReportIdle {
		r.Running, r.Waiting, r.CacheBlocksUsed = l.running, l.waiting, l.blocks
	}
	return r
}

// cacheEvents is the response to GET /cache-events.
type cacheEvents struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) handleCacheEvents(q *fasthttp.RequestCtx) {
	after, _ := strconv.Atoi(string(q.QueryArgs().Peek("after")))
	respondJSON(q, cacheEvents{Events: e.batch.events(after)})
}

func (e *Engine) handleCancel(q *fasthttp.RequestCtx) {
	var body struct {
		ID string `json:"id"`
	}
	if !decodeBody(q, &body) {
		return
	}
	respondJSON(q, map[string]int{"cancelled": e.batch.cancel(body.ID)})
}

func itoa(n int) string { return strconv.Itoa(n) }
