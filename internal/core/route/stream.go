package route

// StreamOutcome is how one attempt of a request for an event stream ended.
type StreamOutcome int

// The outcomes.
const (
	StreamCompleted StreamOutcome = iota // the stream ended as complete
	StreamError                          // the backend server answered with a 5xx response
	StreamRejected                       // the backend server answered with another response without events
	StreamRefused                        // the backend server did not run the request
	StreamBroken                         // no response, or the stream broke off
	StreamUnplaced                       // no backend server was available, or the caller has left
)

// StreamStep is what follows an attempt.
type StreamStep int

// The steps.
const (
	EndStream    StreamStep = iota // the caller has the complete stream
	PassResponse                   // pass the backend server's response on to the caller
	RetryStream                    // send the request to another backend server
	AbortStream                    // end with an error, so that a stream that has begun does not look complete
)

// StreamProgress is the state of a caller's request for an event stream.
//
// The load is a stream that breaks off after its first events while other backend
// servers fail: a response that is not the rest of the stream must not reach a caller
// who has part of it.
type StreamProgress struct {
	Resumable   bool // another backend server may continue the stream
	MaxAttempts int
	Attempts    int  // begun so far
	Begun       bool // the caller has received the head of a response
	PossiblyRun bool // an attempt may have run
}

// After records the outcome of an attempt and returns the next step.
func (p *StreamProgress) After(outcome StreamOutcome) StreamStep {
	if outcome != StreamRefused && outcome != StreamUnplaced {
		p.PossiblyRun = true
	}
	canRetry := (p.Resumable || !p.PossiblyRun) && p.Attempts < max(1, p.MaxAttempts)
	switch {
	case outcome == StreamCompleted:
		return EndStream
	case outcome == StreamUnplaced:
		return AbortStream
	case outcome == StreamRejected && !p.Begun:
		return PassResponse
	case canRetry:
		return RetryStream
	case outcome == StreamError && !p.Begun:
		return PassResponse
	default:
		return AbortStream
	}
}
