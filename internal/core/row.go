package core

import "time"

// TableName names a table of the platform's table service.
type TableName string

// The tables and the record type that each holds.
const (
	TableLease    TableName = "lease"    // LeaseRecord
	TableFence    TableName = "fence"    // FenceRecord
	TableClaim    TableName = "claim"    // ClaimRecord
	TableStep     TableName = "step"     // StepRecord
	TableDelivery TableName = "delivery" // DeliveryRecord
	TableConfig   TableName = "config"   // ConfigRecord
	TableWeight   TableName = "weight"   // WeightRecord
	TableJob      TableName = "job"      // JobRecord
	TableResult   TableName = "result"   // ResultRecord
	TableMember   TableName = "member"   // MemberRecord
)

// RowKey names one row.
type RowKey struct {
	Table TableName
	ID    string
}

// RowVersion grows with every write to a row, also across delete and insert.
// Zero stands for an absent row.
type RowVersion uint64

// Record is the typed content of a row. Only this package implements it.
type Record interface{ isRecord() }

// Row is a row as read. An absent row has Version zero and a nil Record.
type Row struct {
	Key     RowKey
	Version RowVersion
	Attempt AttemptID // attempt that wrote the row last
	Record  Record
}

// Condition requires a row to be at a version when a commit takes effect.
type Condition struct {
	Key     RowKey
	Version RowVersion
}

// Write replaces a row; a nil Record deletes it.
type Write struct {
	Key    RowKey
	Record Record
}

// Commit is one transaction: all writes take effect if all conditions hold,
// otherwise none does.
type Commit struct {
	Attempt    AttemptID
	Conditions []Condition
	Writes     []Write
}

// CommitResult says what became of a commit whose reply arrived.
type CommitResult struct {
	Applied bool
	Version RowVersion // version of every written row when Applied
	Failed  []RowKey   // keys whose condition did not hold otherwise
}

// LeaseRecord is renewed by its holder. Observers measure its age by the time
// for which they have seen the same row version, never by its content.
type LeaseRecord struct {
	Holder      VMID
	Incarnation Incarnation
	Address     string // peer address of the holder
	Term        time.Duration
	Released    bool
	OrdersClear bool // no order of a holder on another VM can still have an effect
}

// FenceRecord changes only when a lease changes hands. Guarded commits carry a
// condition on its row version.
type FenceRecord struct {
	Number      Fence
	Holder      VMID
	Incarnation Incarnation
}

// ClaimState is the state of a non-idempotent request.
type ClaimState string

// The states of a claim.
const (
	ClaimTaken    ClaimState = "taken"    // dispatched, or about to be
	ClaimDone     ClaimState = "done"     // outcome recorded
	ClaimReleased ClaimState = "released" // the backend server proved that it did not run
)

// ClaimRecord is written before the first byte of a non-idempotent request
// leaves for a backend server.
type ClaimRecord struct {
	Fingerprint uint64 // of method, path and body
	Owner       VMID
	Incarnation Incarnation
	State       ClaimState
	Response    *PlainResponse // set when State is ClaimDone
	TakenAt     time.Time      // wall clock of the owner; decides only when the row is removed
}

// StepRecord fixes a step's batch. It is written once.
type StepRecord struct {
	Version WeightVersion // trainer's weights when the batch was fixed
	Oldest  WeightVersion // oldest weights that produced a token of the batch
	Groups  []GroupRange
	Body    ObjectKey // object holding the groups
}

// DeliveryRecord marks, for one deployment, which groups any batch holds.
type DeliveryRecord struct {
	LastStep    Step          // newest step with a fixed batch
	LastVersion WeightVersion // trainer's weights at LastStep
	Closed      Step          // groups planned before this step can no longer be delivered
	Delivered   []GroupRange  // delivered groups planned at Closed or later, sorted and disjoint
}

// ConfigRecord is the head of the configuration chain.
type ConfigRecord struct {
	Generation Generation
	Parent     Generation
	Operator   string
	Body       ObjectKey // object holding the Configuration
}

// WeightRecord is the newest weight version that a trainer published.
type WeightRecord struct {
	Version WeightVersion
}

func (LeaseRecord) isRecord()    {}
func (FenceRecord) isRecord()    {}
func (ClaimRecord) isRecord()    {}
func (StepRecord) isRecord()     {}
func (DeliveryRecord) isRecord() {}
func (ConfigRecord) isRecord()   {}
func (WeightRecord) isRecord()   {}
func (JobRecord) isRecord()      {}
func (ResultRecord) isRecord()   {}
func (MemberRecord) isRecord()   {}
