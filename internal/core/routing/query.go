package routing

import (
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/outlier"
)

// Query describes a request to be routed.
type Query struct {
	Kind             core.ServerKind
	Service          string // model, plain service or scoring service
	Adapter          core.AdapterName
	Version          core.WeightVersion // oldest weights that may serve the request, zero for any
	ExactVersion     bool               // only weights of exactly Version may serve the request
	Software         core.SoftwareVersion
	ExactSoftware    bool            // only servers whose software is known to have the version Software may serve the request
	Zone             core.ZoneName   // of the requesting entry VM
	Region           core.RegionName // of the requesting entry VM
	Class            core.Class
	ExpectedTokens   int             // expected tokens of prompt and answer
	ExpectedBytes    int             // expected bytes of prompt and answer; zero for bytesPerToken for each expected token
	BodyBytes        int             // size of the request's body
	Prefix           []uint64        // core.PrefixHashes of the prompt; nil when it is shorter than one block
	CostPerVersion   time.Duration   // waiting time equivalent to being one version behind the newest
	Exclude          []core.ServerID // servers that must not be chosen
	RequiresFreeSlot bool            // only servers on which this process has a free slot
	KeepsPace        bool            // the request waits rather than exceed the pace of a server, unless most servers are paced
}

// allowsVersion reports whether weights of a version may serve the request.
func (q *Query) allowsVersion(version core.WeightVersion) bool {
	return version == q.Version || !q.ExactVersion && version > q.Version
}

// bytesPerToken converts between tokens and bytes of text.
const bytesPerToken = 4

// tokensPerBlock is the number of tokens in one block of a prompt.
const tokensPerBlock = core.PrefixBlockBytes / bytesPerToken

// crossRegionBytes returns the expected bytes sent over the link when the
// request runs in another region.
func (q *Query) crossRegionBytes() float64 {
	if q.ExpectedBytes > 0 {
		return float64(q.ExpectedBytes)
	}
	return float64(q.ExpectedTokens * bytesPerToken)
}

// workTokens returns the request's expected work, in generated tokens, on a
// server that has the given number of its prompt's tokens cached: the tokens of
// the answer, plus prefillCost for each uncached token of the prompt.
func (q *Query) workTokens(cached float64) float64 {
	prompt := float64(len(q.Prefix) * tokensPerBlock)
	answer := max(0, float64(q.ExpectedTokens)-prompt)
	return answer + prefillCost*max(0, prompt-cached)
}

// Dispatch is a request that counts as in flight on a server from Begin to End.
type Dispatch struct {
	VM             core.VM
	ExpectedTokens int
	Started        time.Time
	incarnation    uint32  // of the server, which may be removed before the request ends
	loadBefore     float64 // tokens in flight on the server before the request
	prefillWork    float64 // expected work for the prompt, in generated tokens
	answerTokens   float64 // expected tokens of the answer
	reservedBytes  float64 // reserved on the link, zero within a region
	bodyBytes      int     // of the request, while it is in flight
}

func (r *Result) failed() bool    { return r.Outcome == outlier.Failed }
func (r *Result) succeeded() bool { return r.Outcome == outlier.Succeeded }

// Result describes how a dispatch ended.
type Result struct {
	Outcome outlier.Outcome
	Refused bool // the server did not run the request: it has no capacity or accepts no connection
	Tokens  int  // tokens generated, zero when unknown
	Bytes   int  // bytes sent over the link, zero when none or unknown
}
