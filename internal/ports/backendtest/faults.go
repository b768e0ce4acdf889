// Package backendtest holds, for the ports to backend servers, contract suites
// that every implementation passes and in-memory fakes for the application's
// tests. The fakes pass the same suites.
//
// The fakes' locks have the lowest rank, so a test built with the tag
// lockcheck panics when the application calls a port while it holds a lock.
package backendtest

// EngineFaults are an engine's fault orders. They hold until replaced, but
// those marked "once".
type EngineFaults struct {
	DelayMillis    int    // before each answer
	Refuse         bool   // refuse streams and orders
	CutAfter       int    // once: cut a connection after so many tokens
	HoldAfter      int    // pause streams that have so many tokens
	CrashMarker    string // crash when a prompt that contains it is run
	Freeze         bool   // answer nothing and generate nothing
	FailNextSwap   bool   // once: a load ends without effect
	DropOrderReply bool   // once: obey an order, but lose the reply
}

// EngineCounts tells what an engine has done.
type EngineCounts struct {
	Streams int // accepted
	Tokens  int
	Orders  int // obeyed
	Swaps   int
	Crashes int
}

// PlainFaults are a plain service's fault orders. They hold until replaced,
// but those marked "once".
type PlainFaults struct {
	DelayMillis int  // before the effect
	Refuse      bool // refuse calls without running them
	DropReply   bool // once: run a call, but lose the reply
	Crash       bool // once: crash after the effect, then refuse until revived
}

// ScorerFaults are a scoring service's fault orders. They hold until replaced,
// but those marked "once".
type ScorerFaults struct {
	DelayMillis int  // before the answer
	Refuse      bool // refuse without scoring
	DropReply   bool // once: score, but lose the reply
	FailEvery   int  // every n-th call fails; zero fails none
}
