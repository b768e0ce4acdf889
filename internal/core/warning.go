package core

import "time"

// WarningKind names what a warning to operators is about.
type WarningKind string

// The kinds of warnings.
const (
	WarnPlatformOut    WarningKind = "platform_out"
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

// Warning is something that an operator should look at.
type Warning struct {
	Kind    WarningKind
	Subject string    // the VM, deployment, service or file that it is about
	Message string    // in plain words
	Since   time.Time // zero when that is not known
	Section string    // fault of the operators' page that says what to do
}

// WarningPage is the page whose sections warnings name.
const WarningPage = "docs/OPERATIONS.md"

// PlatformService is one of the platform's services.
type PlatformService string

// The platform's services.
const (
	PlatformTables  PlatformService = "table service"
	PlatformObjects PlatformService = "object store"
	PlatformVMList  PlatformService = "VM list"
)

// PlatformOutage says that a platform's service has not answered a call between
// two times.
type PlatformOutage struct {
	Service PlatformService
	Since   time.Time // start of the first call that failed
	Seen    time.Time // end of the newest call that failed
}

// KeysState is what a process knows of its certificate.
type KeysState struct {
	CertificateUntil time.Time // end of its validity
	AuthorityUntil   time.Time // earliest end of a trusted authority's validity
	Problem          string    // why changed files are not in use, empty when they are
}
