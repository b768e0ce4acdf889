package engine

import (
	"context"
	"net/http"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/standin/httpjson"
)

// takeOrder obeys or refuses an order, and says whether the reply is dropped.
func (e *Engine) takeOrder(order enginehttp.OrderBody) (refused *httpjson.Refusal, drop bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.Refuse || e.dead:
		return httpjson.NotRun("engine refuses orders"), false
	case e.options.Fencing == FencingChecks && order.Fence < e.fence:
		return &httpjson.Refusal{
			Status: http.StatusConflict, Kind: serverhttp.RefusalFenced, Message: "order carries an old fencing number",
		}, false
	}
	if refused := e.obey(order); refused != nil {
		return refused, false
	}
	e.fence = max(e.fence, order.Fence)
	e.counts.Orders++
	drop = e.faults.DropOrderReply
	e.faults.DropOrderReply = false
	return nil, drop
}

// obey begins what an order asks. The caller holds the lock.
func (e *Engine) obey(order enginehttp.OrderBody) *httpjson.Refusal {
	switch order.Kind {
	case core.OrderLoadVersion:
		target := load{model: e.model, adapter: e.adapter, version: order.Version}
		if adapter := core.AdapterName(order.Adapter); e.options.MoreAdapters > 0 && adapter != e.adapter {
			if _, held := e.more[adapter]; !held && len(e.more) >= e.options.MoreAdapters {
				return httpjson.NotRun("engine holds as many adapters as it can")
			}
			target.adapter, target.more = adapter, true
		}
		e.begin(target)
	case core.OrderLoadModel:
		target := load{
			model: core.ModelName(order.Model), adapter: core.AdapterName(order.Adapter), version: order.Version,
		}
		e.begin(target)
	case core.OrderSetRole:
		e.role = order.Role
	default:
		return httpjson.BadRequest("unknown kind of order")
	}
	return nil
}

// load is what the engine runs once the load has taken effect.
type load struct {
	model   core.ModelName
	adapter core.AdapterName
	version core.WeightVersion
	more    bool // an adapter beside the engine's own
}

// begin starts a load in place of an earlier one. The caller holds the lock.
func (e *Engine) begin(target load) {
	slot := e.slot(target)
	e.loads[slot]++
	if !target.more {
		e.loading = target.version
	}
	number := e.loads[slot]
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		e.finish(number, target, e.prepare(target.version))
	}()
}

// slot names what a load replaces: an adapter beside the engine's own, or all
// the rest under the empty name.
func (e *Engine) slot(target load) core.AdapterName {
	if target.more {
		return target.adapter
	}
	return ""
}

// prepare fetches the weights and waits for the time that loading takes.
func (e *Engine) prepare(version core.WeightVersion) error {
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	if e.options.Fetch != nil {
		if err := e.options.Fetch(ctx, version); err != nil {
			return err
		}
	}
	return httpjson.Sleep(ctx, e.options.LoadTime)
}

// finish makes a load take effect unless it failed or was replaced.
func (e *Engine) finish(number uint64, target load, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number != e.loads[e.slot(target)] {
		return
	}
	if !target.more {
		e.loading = 0
	}
	if err == nil && !e.faults.FailNextSwap {
		e.apply(target)
		e.counts.Swaps++
	}
	e.faults.FailNextSwap = false
	e.notify()
}

// apply makes a load take effect. The caller holds the lock.
func (e *Engine) apply(target load) {
	if target.more {
		e.more[target.adapter] = target.version
		return
	}
	e.model, e.adapter, e.version = target.model, target.adapter, target.version
}

// holds is called with the lock held.
func (e *Engine) holds(adapter core.AdapterName) bool {
	_, more := e.more[adapter]
	return more || adapter == e.adapter
}

// versionOf is what streams of an adapter start on. The caller holds the lock.
func (e *Engine) versionOf(adapter core.AdapterName) core.WeightVersion {
	if version, ok := e.more[adapter]; ok {
		return version
	}
	return e.version
}
