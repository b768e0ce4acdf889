package core

import "time"

// TableName is the name of a table in the platform's table service.
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
	TableSettled  TableName = "settled"  // SettledRecord
	TableMember   TableName = "member"   // MemberRecord
	TableCrash    TableName = "crash"    // CrashRecord
	TableUsage    TableName = "usage"    // UsageRecord
	TableReport   TableName = "report"   // ReportRecord
	TableReported TableName = "reported" // ReportedRecord
	TableSoftware TableName = "software" // SoftwareRecord
	TableStream   TableName = "stream"   // StreamRecord
)

// RowKey identifies one row.
type RowKey struct {
	Table TableName
	ID    string
}

// RowVersion increases with every write to a row, also across delete and insert.
// Zero means that the row is absent.
type RowVersion uint64

// Record is the typed content of a row. Only types of this package implement it.
type Record interface{ isRecord() }

// Row is a row as read. An absent row has Version zero and a nil Record.
type Row struct {
	Key     RowKey
	Version RowVersion
	Attempt AttemptID // attempt that last wrote the row
	Record  Record
}

// Condition requires a row to have the given version when a commit takes effect.
type Condition struct {
	Key     RowKey
	Version RowVersion
}

// Write replaces a row; a nil Record deletes it.
type Write struct {
	Key    RowKey
	Record Record
}

// Commit is a transaction: its writes take effect together if all conditions
// hold, otherwise none does.
type Commit struct {
	Attempt    AttemptID
	Conditions []Condition
	Writes     []Write
}

// CommitResult is the reply to a commit.
type CommitResult struct {
	Applied bool
	Version RowVersion // version of every written row, if Applied
	Failed  []RowKey   // keys whose condition did not hold, if not Applied
}

// LeaseRecord is the row that the holder of a lease renews. Observers measure its
// age as the time for which they have seen the same row version, never from its
// content.
type LeaseRecord struct {
	Holder      VMID
	Incarnation Incarnation
	Address     string // peer address of the holder
	Term        time.Duration
	Released    bool
	OrdersClear bool // no order of a holder on another VM can still take effect

	// Yielded is set by a holder that has ended its work while its orders, or those of
	// an earlier holder, may still take effect. Another process may acquire the lease
	// at once, and send orders after OrdersClearIn, which counts from the acquisition.
	// Processes that do not know the two fields wait until the term has passed.
	Yielded       bool
	OrdersClearIn time.Duration
}

// IsFree reports whether the holder has given the lease up.
func (r LeaseRecord) IsFree() bool { return r.Released || r.Yielded }

// FenceRecord changes only when a lease changes its holder. Guarded commits carry
// a condition on the version of its row.
type FenceRecord struct {
	Number      Fence
	Holder      VMID
	Incarnation Incarnation
}

// ClaimState is the execution state of a non-idempotent request.
type ClaimState string

// The claim states.
const (
	ClaimTaken    ClaimState = "taken"    // dispatched, or about to be
	ClaimDone     ClaimState = "done"     // response recorded
	ClaimReleased ClaimState = "released" // the backend server proved that the request did not run
)

// ClaimRecord is written before the first byte of a non-idempotent request is
// sent to a backend server.
type ClaimRecord struct {
	Fingerprint uint64 // hash of method, path and body
	Owner       VMID
	Incarnation Incarnation
	State       ClaimState
	Response    *PlainResponse // set if State is ClaimDone
	TakenAt     time.Time      // wall clock of the owner; used only to decide when the row is removed
}

// StepRecord fixes the batch of a step. It is written once.
type StepRecord struct {
	Version WeightVersion // trainer's weights when the batch was fixed
	Oldest  WeightVersion // oldest weights that produced a token of the batch
	Groups  []GroupRange
	Body    ObjectKey // object holding the groups
}

// DeliveryRecord tracks which groups of one deployment are part of a batch.
type DeliveryRecord struct {
	LastStep    Step          // newest step with a fixed batch
	LastVersion WeightVersion // trainer's weights at LastStep
	Closed      Step          // groups planned for an earlier step can no longer be delivered
	Delivered   []GroupRange  // delivered groups planned for Closed or a later step, sorted and disjoint
}

// ConfigRecord is the row of one generation in the configuration chain, and of
// the head of the chain.
type ConfigRecord struct {
	Generation Generation
	Parent     Generation
	Operator   string
	Body       ObjectKey // object holding the Configuration
}

// WeightRecord holds the newest weight version that a trainer published.
type WeightRecord struct {
	Version WeightVersion
}

// UsageRecord holds what one process has counted in one window. It is replaced when the
// counts change and removed with the commit of the window's report.
type UsageRecord struct {
	Window UsageWindow
	Counts map[AccountName]uint64
}

// ReportRecord fixes the content of a window's report. It is written once, and removed
// some time after the platform has accepted the report.
type ReportRecord struct {
	Report UsageReport
}

// ReportedRecord is written with every commit of reports. Its version orders them.
type ReportedRecord struct {
	Next UsageWindow // first window whose report is not fixed
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
func (SettledRecord) isRecord()  {}
func (MemberRecord) isRecord()   {}
func (CrashRecord) isRecord()    {}
func (UsageRecord) isRecord()    {}
func (ReportRecord) isRecord()   {}
func (ReportedRecord) isRecord() {}
