// Package errkind defines the closed list of error kinds and the only table that
// maps a kind to the answer a caller gets.
package errkind

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
)

// Kind is a kind of error. Only the kinds in this file exist.
type Kind string

// The error kinds.
const (
	BadRequest         Kind = "bad_request"
	TooLarge           Kind = "too_large"
	BodyTooSlow        Kind = "body_too_slow"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	UnknownDeployment  Kind = "unknown_deployment"
	UnknownRequest     Kind = "unknown_request"
	KeyRequired        Kind = "idempotency_key_required"
	KeyReused          Kind = "idempotency_key_reused"
	Overloaded         Kind = "overloaded"
	DeadlineTooShort   Kind = "deadline_too_short"
	NoServer           Kind = "no_server"
	SoftwareUnknown    Kind = "software_unknown"
	Canceled           Kind = "canceled"
	Timeout            Kind = "timeout"
	ServerFailed       Kind = "server_failed"
	ServerRefused      Kind = "server_refused"
	CrashesServers     Kind = "crashes_servers"
	Quarantined        Kind = "quarantined"
	MayHaveRun         Kind = "may_have_run"
	KeyUnconfirmed     Kind = "key_unconfirmed"
	RouteUnconfirmed   Kind = "route_unconfirmed"
	ClaimUnsettled     Kind = "claim_unsettled"
	AnswerIncomplete   Kind = "answer_incomplete"
	StoreUnavailable   Kind = "store_unavailable"
	OutcomeUnknown     Kind = "outcome_unknown"
	GenerationConflict Kind = "generation_conflict"
	InvalidConfig      Kind = "invalid_configuration"
	NotOwner           Kind = "not_owner"
	Fenced             Kind = "fenced"
	StepConflict       Kind = "step_conflict"
	BatchNotReady      Kind = "batch_not_ready"
	PeerUnreachable    Kind = "peer_unreachable"
	Starting           Kind = "starting"
	ShuttingDown       Kind = "shutting_down"
	NotFound           Kind = "not_found"
	MethodNotAllowed   Kind = "method_not_allowed"
	Internal           Kind = "internal"
)

// Execution tells whether the request that failed may have been run.
type Execution string

// The values of Execution.
const (
	NotRun      Execution = "not_run"      // the request was not run and will not be
	PossiblyRun Execution = "may_have_run" // unknown, or the kind alone does not determine it
)

// Answer is the answer that a caller gets for an error kind.
type Answer struct {
	Status    int // HTTP status code
	Execution Execution
	Retryable bool // the caller may retry the same request later
}

// answers maps every kind to its answer.
var answers = map[Kind]Answer{
	BadRequest:         {http.StatusBadRequest, NotRun, false},
	TooLarge:           {http.StatusRequestEntityTooLarge, NotRun, false},
	BodyTooSlow:        {http.StatusRequestTimeout, NotRun, true},
	Unauthenticated:    {http.StatusUnauthorized, NotRun, false},
	Forbidden:          {http.StatusForbidden, NotRun, false},
	UnknownDeployment:  {http.StatusNotFound, NotRun, false},
	UnknownRequest:     {http.StatusNotFound, PossiblyRun, false},
	KeyRequired:        {http.StatusBadRequest, NotRun, false},
	KeyReused:          {http.StatusUnprocessableEntity, NotRun, false},
	Overloaded:         {http.StatusTooManyRequests, NotRun, true},
	DeadlineTooShort:   {http.StatusServiceUnavailable, NotRun, true},
	NoServer:           {http.StatusServiceUnavailable, NotRun, true},
	SoftwareUnknown:    {http.StatusServiceUnavailable, NotRun, true},
	Canceled:           {http.StatusRequestTimeout, PossiblyRun, true},
	Timeout:            {http.StatusGatewayTimeout, PossiblyRun, false},
	ServerFailed:       {http.StatusBadGateway, PossiblyRun, false},
	ServerRefused:      {http.StatusServiceUnavailable, NotRun, true},
	CrashesServers:     {http.StatusUnprocessableEntity, PossiblyRun, false},
	Quarantined:        {http.StatusServiceUnavailable, NotRun, true},
	MayHaveRun:         {http.StatusConflict, PossiblyRun, false},
	KeyUnconfirmed:     {http.StatusServiceUnavailable, NotRun, true},
	RouteUnconfirmed:   {http.StatusServiceUnavailable, NotRun, true},
	ClaimUnsettled:     {http.StatusServiceUnavailable, NotRun, false},
	AnswerIncomplete:   {http.StatusBadGateway, PossiblyRun, true},
	StoreUnavailable:   {http.StatusServiceUnavailable, NotRun, true},
	OutcomeUnknown:     {http.StatusBadGateway, PossiblyRun, true},
	GenerationConflict: {http.StatusConflict, NotRun, false},
	InvalidConfig:      {http.StatusUnprocessableEntity, NotRun, false},
	NotOwner:           {http.StatusServiceUnavailable, NotRun, true},
	Fenced:             {http.StatusConflict, NotRun, true},
	StepConflict:       {http.StatusConflict, NotRun, false},
	BatchNotReady:      {http.StatusServiceUnavailable, NotRun, true},
	PeerUnreachable:    {http.StatusServiceUnavailable, PossiblyRun, true},
	Starting:           {http.StatusServiceUnavailable, NotRun, true},
	ShuttingDown:       {http.StatusServiceUnavailable, NotRun, true},
	NotFound:           {http.StatusNotFound, NotRun, false},
	MethodNotAllowed:   {http.StatusMethodNotAllowed, NotRun, false},
	Internal:           {http.StatusInternalServerError, PossiblyRun, false},
}

const namespaceName = "fescuespar"

var (
	namespace = errorx.NewNamespace(namespaceName)
	types     = buildTypes()
)

func buildTypes() map[Kind]*errorx.Type {
	built := make(map[Kind]*errorx.Type, len(answers))
	for kind := range answers {
		built[kind] = namespace.NewType(string(kind))
	}
	return built
}

// Kinds returns all kinds, unsorted.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Known reports whether kind is one of the kinds of this package.
func Known(kind Kind) bool {
	_, found := answers[kind]
	return found
}

// New returns an error of the kind, which must be one of this package's, with a
// formatted message.
func New(kind Kind, format string, args ...any) error {
	return types[kind].New(format, args...)
}

// Wrap returns an error of the kind with a formatted message and err as its
// cause. It returns nil if err is nil.
func Wrap(kind Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return types[kind].Wrap(err, format, args...)
}

// Of returns the kind of an error: Canceled or Timeout for context errors,
// Internal for any other error that was not created by this package.
func Of(err error) Kind {
	var typed *errorx.Error
	if errors.As(err, &typed) {
		if kind := Kind(strings.TrimPrefix(typed.Type().FullName(), namespaceName+".")); answers[kind].Status != 0 {
			return kind
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Timeout
	}
	if errors.Is(err, context.Canceled) {
		return Canceled
	}
	return Internal
}

// Is reports whether err is of the kind.
func Is(err error, kind Kind) bool { return err != nil && Of(err) == kind }

// AnswerTo returns the answer for an error.
func AnswerTo(err error) Answer { return answers[Of(err)] }
