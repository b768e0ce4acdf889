package core

import "time"

// JobID identifies a job.
type JobID string

// ItemID identifies an item of a job. An item that is submitted again in a later
// job has the same id.
type ItemID string

// Job is a batch of items that are submitted together and run later,
// independently of each other.
type Job struct {
	ID      JobID
	Account AccountName `cbor:"-"` // account that submitted it, stored in its row; empty if there is none
	Host    string
	Path    string // URL path of the submission
	Model   ModelName
	Step    Step
	Oldest  WeightVersion // oldest weights that may produce an event of a text
	Wanted  int           // complete groups that the trainer waits for; zero for all
	Items   []JobItem
}

// JobItem is one generation request of a job.
type JobItem struct {
	ID     ItemID
	Path   string
	Header Header
	Body   []byte
	Tokens int // tokens of the prompt plus the longest answer
	Length int // caller's estimate of the answer's length in tokens; zero if not given
	Group  string
	Parts  []PromptPart
	Scorer *ScorerCall // nil if the text is not scored
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// ScorerCall is the request that scores an item's text once it is complete.
type ScorerCall struct {
	ID   RequestID
	Host string
	Path string
	Body []byte
}

// ItemState is the final state of an item.
type ItemState string

// The final states of an item.
const (
	ItemCompleted ItemState = "completed"
	ItemFailed    ItemState = "failed"
)

// ItemResult is the listed result of an item. It is immutable.
type ItemResult struct {
	Item     ItemID
	State    ItemState
	Text     string // data of all events in order, joined by line feeds
	Versions []WeightVersion
	Score    string // signature of the scorer's answer
}

// Checkpoint is the partial output of the items of a service's jobs, stored so
// that another coordinator can continue from it.
type Checkpoint struct {
	Texts []CheckpointText
}

// CheckpointText is the partial text of one item.
type CheckpointText struct {
	Account  AccountName `cbor:",omitempty"` // of the item's job; empty if there is none
	Item     ItemID
	Text     []string // data of the events so far
	Versions []WeightVersion
	Newest   WeightVersion   // weights that produced the last event
	Software SoftwareVersion `cbor:",omitempty"` // of the servers that generated it; empty in checkpoints of older releases
	Whole    bool            // the text is complete and has yet to be scored
}

// ResultPage is one page of a job's results.
type ResultPage struct {
	Total   int // number of items of the job
	Next    int // position after the last result of the page
	Results []ItemResult
}

// JobRecord is the row of a job. It is written when the job is accepted and
// again when it ends.
type JobRecord struct {
	Service string // service whose coordinator runs the job
	Items   int
	Body    ObjectKey // object holding the Job
	Ended   bool
	Account AccountName `cbor:",omitempty"` // account that submitted the job; empty if there is none
	Losses  int         `cbor:",omitempty"` // coordinators in a row that ended within a moment after they opened the job
	Memory  int64       `cbor:",omitempty"` // bytes that a coordinator needs to read it; zero in rows of older releases
}

// ResultRecord is the row of one position in a job's results.
type ResultRecord struct {
	Result   ItemResult // without text, versions and score if it is too long for a row
	Overflow ObjectKey  // object holding the result if it is too long for a row
}

// SettledRecord is the row that names the items of a job whose results are listed. It is
// written together with the results, so that a new coordinator reads no results.
type SettledRecord struct {
	Items []byte // one bit for each item of the job, in order, the lowest bit of a byte first
}

// MemberRecord is the row with which an entry process announces itself. Readers
// measure its age as the time for which they have seen the row unchanged.
type MemberRecord struct {
	Incarnation Incarnation
	Zone        ZoneName
	Region      RegionName
	CallAddress string
	PeerAddress string
	Power       int           // CPU of the VM that the process may use, in thousandths of a core; zero if unknown
	Beat        uint64        // incremented by every announcement
	Every       time.Duration // interval until the next announcement
	Leaving     bool
	Demand      []ServiceDemand // of this process, sorted by service

	Usage *MemberUsage `cbor:",omitempty"` // nil if usage is not reported
	Rooms []JobRoom    `cbor:",omitempty"` // of the services that the process coordinates, while it has little memory left for jobs
}

// JobRoom is the memory that a coordinator has left for a job of a service.
type JobRoom struct {
	Service string
	Bytes   int64
}

// MemberUsage is the part of an announcement that serves reports of usage. Its encoded names
// are short, because every process reads the announcements of all.
type MemberUsage struct {
	// ClockOffset is the VM's time of day minus the clock of the platform's store, zero if
	// it is not known yet.
	ClockOffset time.Duration `cbor:"o,omitempty"`
	// CountedThrough is the last window of which the process has written all counts, zero
	// while true time is not known.
	CountedThrough UsageWindow `cbor:"c,omitempty"`
}

// ServiceDemand is the number of requests a second that an entry process sends to the
// servers of a service, or would send without their rate limits.
type ServiceDemand struct {
	Service   string
	PerSecond float64
}
