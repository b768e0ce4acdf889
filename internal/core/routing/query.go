package routing

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// Query describes the request to be routed.
type Query struct {
	Kind    core.ServerKind
	Service string // model, plain service or scoring service
	Adapter core.AdapterName
	Version core.WeightVersion // oldest weights that may serve it, zero for any
	Exact   bool               // newer weights than Version may not serve it either
	Zone    core.ZoneName      // of the asking entry VM
	Region  core.RegionName    // of the asking entry VM
	Class   core.Class
	Tokens  int             // expected tokens of prompt and answer
	Bytes   int             // expected bytes of prompt and answer; zero takes bytesPerToken for each token
	Prefix  []uint64        // core.PrefixHashes of the prompt; nil when it has no whole block
	LagCost time.Duration   // waiting that is as dear as one version behind the newest
	Exclude []core.ServerID // servers that must not be chosen
	InSlot  bool            // only servers on which this process has a slot free
}

// allows reports whether weights of a version may serve the request.
func (q *Query) allows(version core.WeightVersion) bool {
	return version == q.Version || !q.Exact && version > q.Version
}

// bytesPerToken converts between tokens and bytes of text.
const bytesPerToken = 4

// tokensPerBlock is the tokens of one block of a prompt.
const tokensPerBlock = core.PrefixBlockBytes / bytesPerToken

// linkBytes returns the bytes that the request sends over the link when it
// runs in another region.
func (q *Query) linkBytes() float64 {
	if q.Bytes > 0 {
		return float64(q.Bytes)
	}
	return float64(q.Tokens * bytesPerToken)
}

// work returns the request's expected tokens of work at a server that has some
// of its prompt cached: generated tokens, and the rest of the prompt's at
// prefillCost.
func (q *Query) work(cached float64) float64 {
	prompt := float64(len(q.Prefix) * tokensPerBlock)
	answer := max(0, float64(q.Tokens)-prompt)
	return answer + prefillCost*max(0, prompt-cached)
}

// Dispatch is a request counted as in flight on a server, from Begin to End.
type Dispatch struct {
	VM      core.VM
	Tokens  int
	Started time.Time
	row     uint32  // number of the server's row, which may leave before the request ends
	load    float64 // tokens of load that were there before the request
	prefill float64 // expected tokens of work for the prompt
	answer  float64 // expected tokens of the answer
	bytes   float64 // reserved on the link, zero within the region
}

// Result says how a dispatch ended.
type Result struct {
	Outcome outlier.Outcome
	Refused bool // the server ran nothing: it has no room, or takes no connection
	Tokens  int  // tokens produced, zero when not known
	Bytes   int  // bytes that crossed the link if any did, zero when not known
}
