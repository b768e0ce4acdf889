package core

import "time"

// JobID identifies a job.
type JobID string

// ItemID identifies an item of a job. An item that comes back in a later job
// keeps its id.
type ItemID string

// Job is many items submitted at once, run later, each on its own.
type Job struct {
	ID     JobID
	Host   string
	Path   string // of the submission
	Model  ModelName
	Step   Step
	Oldest WeightVersion // oldest weights that may make an event of a text
	Wanted int           // whole groups that the trainer waits for; zero for all
	Items  []JobItem
}

// JobItem is one request for tokens of a job.
type JobItem struct {
	ID     ItemID
	Path   string
	Header Header
	Body   []byte
	Tokens int // prompt and longest answer
	Length int // caller's estimate of the answer's tokens; zero when not told
	Group  string
	Parts  []PromptPart
	Scorer *ScorerCall // nil when the text needs no score
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// ScorerCall is the request that scores an item's text once it is whole.
type ScorerCall struct {
	ID   RequestID
	Host string
	Path string
	Body []byte
}

// ItemState is how an item ended.
type ItemState string

// The states of a listed item.
const (
	ItemCompleted ItemState = "completed"
	ItemFailed    ItemState = "failed"
)

// ItemResult is an item's end as listed. It never changes.
type ItemResult struct {
	Item     ItemID
	State    ItemState
	Text     string // data of all events in order, separated by line feeds
	Versions []WeightVersion
	Score    string // signature of the scorer's answer
}

// Checkpoint is what the items of a service's jobs have made so far, kept so
// that another coordinator can go on with it.
type Checkpoint struct {
	Texts []CheckpointText
}

// CheckpointText is one item's text.
type CheckpointText struct {
	Item     ItemID
	Text     []string // data of the events so far
	Versions []WeightVersion
	Newest   WeightVersion // weights of the last event
	Whole    bool          // the text is complete and waits for its score
}

// ResultPage is a part of a job's results.
type ResultPage struct {
	Total   int // items of the job
	Next    int // position after the last result of the page
	Results []ItemResult
}

// JobRecord is a job's row. It is written once when the job is accepted and
// once when it is ended.
type JobRecord struct {
	Service string // whose coordinator runs the job
	Items   int
	Body    ObjectKey // object holding the Job
	Ended   bool
}

// ResultRecord is one position of a job's results.
type ResultRecord struct {
	Result   ItemResult
	Overflow ObjectKey // object holding the result when it is too long for a row
}

// MemberRecord announces an entry process to the others. Its age is measured
// by the time for which its row has not changed.
type MemberRecord struct {
	Incarnation Incarnation
	Zone        ZoneName
	Region      RegionName
	CallAddress string
	PeerAddress string
	Power       int           // thousandths of a core that the VM gives the process; zero when not told
	Beat        uint64        // grows with every announcement
	Every       time.Duration // until the next one
	Leaving     bool
}
