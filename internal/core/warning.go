package core

import "time"

// WarningKind is the kind of a warning to operators.
type WarningKind string

// The kinds of warning.
const (
	WarnPlatformOutage WarningKind = "platform_out"
	WarnMemberSilent   WarningKind = "entry_vm_silent"
	WarnMemberBehind   WarningKind = "entry_vm_behind"
	WarnServerEjected  WarningKind = "server_ejected"
	WarnQueueFull      WarningKind = "queue_full"
	WarnKeysExpire     WarningKind = "keys_expire"
	WarnKeysUnusable   WarningKind = "keys_unusable"
	WarnWeightsLag     WarningKind = "weights_lag"
	WarnPromptsMissing WarningKind = "prompts_missing"
	WarnTrainerWaits   WarningKind = "trainer_waits"
)

// Warning reports a condition that an operator should look into.
type Warning struct {
	Kind    WarningKind
	Subject string    // the affected VM, deployment, service or file
	Message string    // human-readable description
	Since   time.Time // zero if unknown
	Section string    // section of WarningPage that describes the remedy
}

// WarningPage is the page that Warning.Section refers to.
const WarningPage = "docs/OPERATIONS.md"

// PlatformService is the name of a platform service.
type PlatformService string

// The platform services.
const (
	PlatformTables  PlatformService = "table service"
	PlatformObjects PlatformService = "object store"
	PlatformVMList  PlatformService = "VM list"
)

// PlatformOutage is a period in which a platform service did not answer any call.
type PlatformOutage struct {
	Service PlatformService
	Since   time.Time // start of the first call that failed
	Seen    time.Time // end of the newest call that failed
}

// KeysState is the state of a process's certificate and trusted authorities.
type KeysState struct {
	CertificateUntil time.Time // end of validity of the certificate
	AuthorityUntil   time.Time // earliest end of validity of a trusted authority
	Problem          string    // why changed key files are not in use; empty if they are
}
