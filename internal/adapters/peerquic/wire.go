package peerquic

import (
	"time"

	"fescuespar/internal/core"
)

// The wire types have the same fields as the types of package core, so that the
// nested ones are converted with plain Go conversions and a change of a core type
// fails to compile here. Keys are integers that are never reused.

type wireMember struct {
	VM          core.VMID        `cbor:"1,keyasint"`
	Incarnation core.Incarnation `cbor:"2,keyasint,omitempty"`
	PeerAddress string           `cbor:"3,keyasint,omitempty"`
	CallAddress string           `cbor:"4,keyasint,omitempty"`
	Zone        core.ZoneName    `cbor:"5,keyasint,omitempty"`
	Region      core.RegionName  `cbor:"6,keyasint,omitempty"`
	State       core.MemberState `cbor:"7,keyasint,omitempty"`
	Sequence    uint64           `cbor:"8,keyasint,omitempty"`
	Generation  core.Generation  `cbor:"9,keyasint,omitempty"`
	Load        uint32           `cbor:"10,keyasint,omitempty"`
	Power       int              `cbor:"11,keyasint,omitempty"`
}

type wireWeightUpdate struct {
	Deployment core.DeploymentName `cbor:"1,keyasint"`
	Version    core.WeightVersion  `cbor:"2,keyasint"`
}

type wireAccountEpoch struct {
	Incarnation core.Incarnation `cbor:"1,keyasint,omitempty"`
	Reset       uint32           `cbor:"2,keyasint,omitempty"`
}

type wireLimitUpdate struct {
	Deployment         core.DeploymentName `cbor:"1,keyasint"`
	Epoch              wireAccountEpoch    `cbor:"2,keyasint"`
	Seen               wireAccountEpoch    `cbor:"3,keyasint"`
	Lent               uint64              `cbor:"4,keyasint,omitempty"`
	Demand             uint32              `cbor:"5,keyasint,omitempty"`
	Held               uint32              `cbor:"6,keyasint,omitempty"`
	WaitingInteractive uint32              `cbor:"8,keyasint,omitempty"`
	Cleared            bool                `cbor:"7,keyasint,omitempty"`
}

type wireCrashUpdate struct {
	Fingerprint uint64          `cbor:"1,keyasint"`
	Round       uint32          `cbor:"2,keyasint"`
	State       core.CrashState `cbor:"3,keyasint"`
	First       core.ServerID   `cbor:"4,keyasint,omitempty"`
	Second      core.ServerID   `cbor:"5,keyasint,omitempty"`
	Age         uint32          `cbor:"6,keyasint,omitempty"`
	Trial       core.VMID       `cbor:"7,keyasint,omitempty"`
	TrialServer core.ServerID   `cbor:"8,keyasint,omitempty"`
	InFlight    bool            `cbor:"9,keyasint,omitempty"`
}

type wireHeartbeat struct {
	Sender    wireMember         `cbor:"1,keyasint"`
	Known     uint32             `cbor:"2,keyasint,omitempty"`
	Members   []wireMember       `cbor:"3,keyasint,omitempty"`
	Unreached []core.VMID        `cbor:"4,keyasint,omitempty"`
	Newest    core.Generation    `cbor:"5,keyasint,omitempty"`
	Applied   []byte             `cbor:"6,keyasint,omitempty"` // member tags, 4 bytes each, big endian
	Weights   []wireWeightUpdate `cbor:"7,keyasint,omitempty"`
	Limits    []wireLimitUpdate  `cbor:"8,keyasint,omitempty"`
	Crashes   []wireCrashUpdate  `cbor:"9,keyasint,omitempty"`
}

type wireLimits struct {
	Concurrent     int           `cbor:"1,keyasint,omitempty"`
	QueueLength    int           `cbor:"2,keyasint,omitempty"`
	QueueTimeout   time.Duration `cbor:"3,keyasint,omitempty"`
	RequestTimeout time.Duration `cbor:"4,keyasint,omitempty"`
}

type wireCallPattern struct {
	Method     string `cbor:"1,keyasint,omitempty"`
	PathPrefix string `cbor:"2,keyasint,omitempty"`
}

type wireVersionPolicy struct {
	Pinned core.WeightVersion `cbor:"1,keyasint,omitempty"`
}

type wireRollout struct {
	Trainer        core.CallerName `cbor:"1,keyasint,omitempty"`
	Scorer         string          `cbor:"2,keyasint,omitempty"`
	Prompts        core.ObjectKey  `cbor:"3,keyasint,omitempty"`
	GroupSize      int             `cbor:"4,keyasint,omitempty"`
	GroupsPerStep  int             `cbor:"5,keyasint,omitempty"`
	MaxTokens      int             `cbor:"6,keyasint,omitempty"`
	StalenessBound uint64          `cbor:"7,keyasint,omitempty"`
	IdleWeight     float64         `cbor:"8,keyasint,omitempty"`
}

type wireDeployment struct {
	Name          core.DeploymentName `cbor:"1,keyasint"`
	Kind          core.ServerKind     `cbor:"2,keyasint,omitempty"`
	Service       string              `cbor:"3,keyasint,omitempty"`
	Adapter       core.AdapterName    `cbor:"4,keyasint,omitempty"`
	Class         core.Class          `cbor:"5,keyasint,omitempty"`
	Callers       []core.CallerName   `cbor:"6,keyasint,omitempty"`
	Limits        wireLimits          `cbor:"7,keyasint"`
	NonIdempotent []wireCallPattern   `cbor:"8,keyasint,omitempty"`
	Rollout       *wireRollout        `cbor:"9,keyasint,omitempty"`
	Fencing       bool                `cbor:"10,keyasint,omitempty"`
	Versions      wireVersionPolicy   `cbor:"11,keyasint"`
}

type wireConfiguration struct {
	Generation  core.Generation  `cbor:"1,keyasint"`
	Parent      core.Generation  `cbor:"2,keyasint,omitempty"`
	Operator    string           `cbor:"3,keyasint,omitempty"`
	Deployments []wireDeployment `cbor:"4,keyasint,omitempty"`
}

type wireBatchRequest struct {
	Deployment core.DeploymentName `cbor:"1,keyasint"`
	Step       core.Step           `cbor:"2,keyasint"`
	Version    core.WeightVersion  `cbor:"3,keyasint,omitempty"`
}

type wireGroupID struct {
	Step  core.Step `cbor:"1,keyasint"`
	Index int       `cbor:"2,keyasint"`
}

type wireSpan struct {
	From    int                `cbor:"1,keyasint"`
	To      int                `cbor:"2,keyasint"`
	Version core.WeightVersion `cbor:"3,keyasint"`
}

// wireSample is a sample without the fields that its group and batch hold.
type wireSample struct {
	Index  int               `cbor:"1,keyasint"`
	Prompt string            `cbor:"2,keyasint,omitempty"`
	Tokens []string          `cbor:"3,keyasint,omitempty"`
	Spans  []wireSpan        `cbor:"4,keyasint,omitempty"`
	Finish core.FinishReason `cbor:"5,keyasint,omitempty"`
	Score  float64           `cbor:"6,keyasint,omitempty"`
}

type wireGroup struct {
	ID      wireGroupID  `cbor:"1,keyasint"`
	Samples []wireSample `cbor:"2,keyasint,omitempty"`
}

type wireBatch struct {
	Deployment core.DeploymentName `cbor:"1,keyasint"`
	Step       core.Step           `cbor:"2,keyasint"`
	Version    core.WeightVersion  `cbor:"3,keyasint,omitempty"`
	Groups     []wireGroup         `cbor:"4,keyasint,omitempty"`
}

type wireAnswerRequest struct {
	Caller core.CallerName `cbor:"1,keyasint"`
	ID     core.RequestID  `cbor:"2,keyasint"`
	Offset int             `cbor:"3,keyasint,omitempty"`
}

type wireChunk struct {
	Offset  int                `cbor:"1,keyasint,omitempty"`
	Tokens  []string           `cbor:"2,keyasint,omitempty"`
	Version core.WeightVersion `cbor:"3,keyasint,omitempty"`
}

type wireAnswerPart struct {
	Found  bool              `cbor:"1,keyasint,omitempty"`
	Chunks []wireChunk       `cbor:"2,keyasint,omitempty"`
	Finish core.FinishReason `cbor:"3,keyasint,omitempty"`
}

type wireVM struct {
	ID      core.ServerID   `cbor:"1,keyasint"`
	Kind    core.ServerKind `cbor:"2,keyasint,omitempty"`
	Service string          `cbor:"3,keyasint,omitempty"`
	Address string          `cbor:"4,keyasint,omitempty"`
	Zone    core.ZoneName   `cbor:"5,keyasint,omitempty"`
	Region  core.RegionName `cbor:"6,keyasint,omitempty"`
	State   core.VMState    `cbor:"7,keyasint,omitempty"`
	Slots   int             `cbor:"8,keyasint,omitempty"`

	Software core.SoftwareVersion `cbor:"9,keyasint,omitempty"`
}

type wireVMListChangesRequest struct {
	Digest uint64 `cbor:"1,keyasint,omitempty"`
}

type wireVMListChanges struct {
	Known   bool            `cbor:"1,keyasint,omitempty"`
	Digest  uint64          `cbor:"2,keyasint,omitempty"`
	Age     time.Duration   `cbor:"3,keyasint,omitempty"`
	Listed  []wireVM        `cbor:"4,keyasint,omitempty"`
	Removed []core.ServerID `cbor:"5,keyasint,omitempty"`
}
