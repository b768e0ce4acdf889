package engine

import (
	"context"
	"net/http"

	"fescuespar/internal/adapters/enginehttp"
	"fescuespar/internal/adapters/serverhttp"
	"fescuespar/internal/core"
	"fescuespar/standin/httpjson"
)

// handleOrder executes or refuses an order. It returns true if the reply must
// be dropped.
func (e *Engine) handleOrder(order enginehttp.OrderBody) (refused *httpjson.Refusal, dropReply bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.Refuse || e.crashed:
		return httpjson.NotRun("engine refuses orders (injected fault)"), false
	case e.options.Fencing == FencingChecks && order.Fence < e.highestFence:
		return &httpjson.Refusal{
			Status: http.StatusConflict, Kind: serverhttp.RefusalFenced, Message: "order has an outdated fencing number",
		}, false
	}
	if refused := e.executeOrder(order); refused != nil {
		return refused, false
	}
	e.highestFence = max(e.highestFence, order.Fence)
	e.counts.Orders++
	dropReply = e.faults.DropOrderReply
	e.faults.DropOrderReply = false
	return nil, dropReply
}

// executeOrder starts what an order requests. The caller must hold mu.
func (e *Engine) executeOrder(order enginehttp.OrderBody) *httpjson.Refusal {
	switch order.Kind {
	case core.OrderLoadVersion:
		target := loadTarget{model: e.model, adapter: e.adapter, version: order.Version}
		if adapter := core.AdapterName(order.Adapter); e.options.ExtraAdapters > 0 && adapter != e.adapter {
			if _, held := e.extraAdapters[adapter]; !held && len(e.extraAdapters) >= e.options.ExtraAdapters {
				return httpjson.NotRun("engine already holds its maximum number of adapters")
			}
			target.adapter, target.isExtra = adapter, true
		}
		e.startLoad(target)
	case core.OrderLoadModel:
		target := loadTarget{
			model: core.ModelName(order.Model), adapter: core.AdapterName(order.Adapter), version: order.Version,
		}
		e.startLoad(target)
	case core.OrderSetRole:
		e.role = order.Role
	default:
		return httpjson.BadRequest("unknown order kind")
	}
	return nil
}

// loadTarget is the model, adapter and version that the engine serves once a
// load has finished.
type loadTarget struct {
	model   core.ModelName
	adapter core.AdapterName
	version core.WeightVersion
	isExtra bool // the adapter is held in addition to the engine's own
}

// startLoad starts a load and supersedes an earlier one in the same slot. The
// caller must hold mu.
func (e *Engine) startLoad(target loadTarget) {
	slot := e.loadSlot(target)
	e.loadNumbers[slot]++
	if !target.isExtra {
		e.loading = target.version
	}
	number := e.loadNumbers[slot]
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		e.finishLoad(number, target, e.prepareLoad(target.version))
	}()
}

// loadSlot returns the key of a load in loadNumbers: the name of an additional
// adapter, or the empty name for the engine's own model and adapter.
func (e *Engine) loadSlot(target loadTarget) core.AdapterName {
	if target.isExtra {
		return target.adapter
	}
	return ""
}

// prepareLoad downloads the weights and waits for LoadTime.
func (e *Engine) prepareLoad(version core.WeightVersion) error {
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	if e.options.FetchWeights != nil {
		if err := e.options.FetchWeights(ctx, version); err != nil {
			return err
		}
	}
	return httpjson.Sleep(ctx, e.options.LoadTime)
}

// finishLoad applies a load unless it failed or was superseded.
func (e *Engine) finishLoad(number uint64, target loadTarget, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number != e.loadNumbers[e.loadSlot(target)] {
		return
	}
	if !target.isExtra {
		e.loading = 0
	}
	if err == nil && !e.faults.FailNextSwap {
		e.applyLoad(target)
		e.counts.Swaps++
	}
	e.faults.FailNextSwap = false
	e.notifyWaiters()
}

// applyLoad makes a load take effect. The caller must hold mu.
func (e *Engine) applyLoad(target loadTarget) {
	if target.isExtra {
		e.extraAdapters[target.adapter] = target.version
		return
	}
	e.model, e.adapter, e.version = target.model, target.adapter, target.version
}

// holdsAdapter reports whether the engine can run streams of an adapter. The
// caller must hold mu.
func (e *Engine) holdsAdapter(adapter core.AdapterName) bool {
	_, isExtra := e.extraAdapters[adapter]
	return isExtra || adapter == e.adapter
}

// adapterVersion returns the version with which streams of an adapter generate
// tokens. The caller must hold mu.
func (e *Engine) adapterVersion(adapter core.AdapterName) core.WeightVersion {
	if version, ok := e.extraAdapters[adapter]; ok {
		return version
	}
	return e.version
}
