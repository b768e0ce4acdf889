package enginehttp

import "fescuespar/internal/core"

// Paths of the engine protocol; docs/protocols/backends.md describes it.
const (
	GeneratePath = "/generate" // POST GenerateBody, answered with Lines
	StreamPath   = "/streams/" // GET id?offset=N answered with Lines; DELETE id
	StatusPath   = "/status"   // GET ?cursor=N answered with StatusBody
	OrderPath    = "/orders"   // POST OrderBody
)

// MaxLineBytes is the largest size of one line of a stream.
const MaxLineBytes = 1 << 20

// GenerateBody is the body of a request to generate an answer, one attempt of it.
type GenerateBody struct {
	Stream    string   `json:"stream"`
	Model     string   `json:"model"`
	Adapter   string   `json:"adapter,omitempty"`
	Prompt    string   `json:"prompt"`
	Prefix    []string `json:"prefix,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	Priority  int      `json:"priority"`
	Seed      int64    `json:"seed"`
}

// Line is one line of a stream: a chunk if it has tokens, the end mark if End is
// set, otherwise a keep-alive.
type Line struct {
	Offset        int                `json:"offset,omitempty"`
	Tokens        []string           `json:"tokens,omitempty"`
	WeightVersion core.WeightVersion `json:"weight_version,omitempty"`
	End           *End               `json:"end,omitempty"`
}

// End is the end mark of a stream. Tokens is the length of the complete answer,
// including the prefix of the request.
type End struct {
	FinishReason string `json:"finish_reason"`
	Tokens       int    `json:"tokens"`
}

// StatusBody is the status report of an engine.
type StatusBody struct {
	Model        string             `json:"model"`
	Adapter      string             `json:"adapter,omitempty"`
	Role         string             `json:"role,omitempty"`
	Version      core.WeightVersion `json:"weight_version"`
	Loading      core.WeightVersion `json:"loading_version,omitempty"`
	Versions     []AdapterVersion   `json:"versions,omitempty"` // of all loaded adapters, empty if Adapter is the only one
	Running      int                `json:"running"`
	Queued       int                `json:"queued"`
	QueuedTokens int                `json:"queued_tokens"`
	CacheEvents  []CacheEvent       `json:"cache_events,omitempty"`
	NextEvent    uint64             `json:"next_event"`
}

// AdapterVersion is the weight version of one loaded adapter.
type AdapterVersion struct {
	Adapter string             `json:"adapter"`
	Version core.WeightVersion `json:"weight_version"`
	Loading core.WeightVersion `json:"loading_version,omitempty"`
}

// CacheEvent reports that a prompt prefix was stored in the cache or evicted.
type CacheEvent struct {
	PrefixHash uint64 `json:"prefix_hash,string"`
	Evicted    bool   `json:"evicted,omitempty"`
}

// OrderBody is the body of an order to an engine.
type OrderBody struct {
	Kind    core.OrderKind     `json:"kind"`
	Model   string             `json:"model,omitempty"`
	Adapter string             `json:"adapter,omitempty"`
	Version core.WeightVersion `json:"weight_version,omitempty"`
	Role    string             `json:"role,omitempty"`
	Fence   core.Fence         `json:"fence"`
}

func encodeGenerate(r core.GenerateRequest) GenerateBody {
	return GenerateBody{
		Stream: r.Stream, Model: string(r.Model), Adapter: string(r.Adapter), Prompt: r.Prompt,
		Prefix: r.Prefix, MaxTokens: r.MaxTokens, Priority: r.Priority, Seed: r.Seed,
	}
}

func encodeOrder(o core.Order) OrderBody {
	return OrderBody{
		Kind: o.Kind, Model: string(o.Model), Adapter: string(o.Adapter),
		Version: o.Version, Role: o.Role, Fence: o.Fence,
	}
}

func decodeStatus(server core.ServerID, b StatusBody) core.EngineStatus {
	events := make([]core.CacheEvent, len(b.CacheEvents))
	for i, event := range b.CacheEvents {
		events[i] = core.CacheEvent{PrefixHash: event.PrefixHash, Evicted: event.Evicted}
	}
	var versions []core.AdapterVersion
	for _, v := range b.Versions {
		versions = append(versions, core.AdapterVersion{Adapter: core.AdapterName(v.Adapter), Version: v.Version, Loading: v.Loading})
	}
	return core.EngineStatus{
		Server: server, Model: core.ModelName(b.Model), Adapter: core.AdapterName(b.Adapter),
		Version: b.Version, Loading: b.Loading, Versions: versions,
		RunningCount: b.Running, QueuedCount: b.Queued, QueuedTokens: b.QueuedTokens,
		CacheEvents: events, NextEvent: b.NextEvent,
	}
}
