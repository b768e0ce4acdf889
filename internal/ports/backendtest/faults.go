// Package backendtest holds, for the ports to backend servers, contract tests
// that every implementation must pass and in-memory fakes for the application's
// tests. The fakes pass the same contract tests.
//
// The fakes' locks have the lowest rank, so that a test built with the tag
// lockcheck panics when the application calls a port under a lock.
package backendtest

// EngineFaults are the faults injected into an engine. They apply until they are
// replaced, except those marked "once".
type EngineFaults struct {
	DelayMillis    int    // before each answer
	Refuse         bool   // refuse streams and orders
	CutAfter       int    // once: cut a connection after this many tokens
	HoldAfter      int    // pause streams that have this many tokens
	CrashMarker    string // crash when a prompt that contains it is run
	Freeze         bool   // do not answer calls or generate tokens
	FailNextSwap   bool   // once: a load ends without effect
	DropOrderReply bool   // once: execute an order, but lose the reply
}

// EngineCounts counts an engine's work.
type EngineCounts struct {
	Streams int // accepted
	Tokens  int
	Orders  int // executed
	Swaps   int
	Crashes int
}

// PlainFaults are the faults injected into a plain service. They apply until
// they are replaced, except those marked "once".
type PlainFaults struct {
	DelayMillis int  // before the effect
	Refuse      bool // refuse calls without running them
	DropReply   bool // once: run a call, but lose the reply
	Crash       bool // once: crash after the effect, then refuse calls until Revive
}

// ScorerFaults are the faults injected into a scoring service. They apply until
// they are replaced, except those marked "once".
type ScorerFaults struct {
	DelayMillis int  // before the answer
	Refuse      bool // refuse without scoring
	DropReply   bool // once: score, but lose the reply
	FailEvery   int  // every n-th call fails; zero means none
}
