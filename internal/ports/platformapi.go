package ports

import (
	"context"

	"fescuespar/internal/core"
)

// PlatformAPI is the platform's interface for calls that one entry process makes for
// all of them. Each call is sent at most once, and not at all once its duty has ended.
//
// Errors of all calls: NotOwner if the duty had ended and StoreUnavailable if there was
// no connection, both without any effect; Overloaded if the call was refused because of
// its rate; BadRequest if it was refused for good; OutcomeUnknown if it may have taken
// effect.
type PlatformAPI interface {
	// ReportUsage reports the usage of one window. It may be repeated with the same
	// content.
	ReportUsage(ctx context.Context, duty core.Duty, report core.UsageReport) error
	// SetDesired sets the number of servers of a service in an availability zone.
	// Errors: NoServer if no more are available there now.
	SetDesired(ctx context.Context, duty core.Duty, desired core.DesiredServers) error
}
