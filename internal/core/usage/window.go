package usage

import (
	"fmt"
	"time"

	"fescuespar/internal/core"
	"fescuespar/internal/core/duty"
)

// WindowAt returns the window of a time. Windows of the given length are counted from the
// start of 1970.
func WindowAt(trueTime time.Time, length time.Duration) core.UsageWindow {
	return core.UsageWindow(trueTime.UnixNano() / int64(length))
}

// EndOf returns the end of a window.
func EndOf(window core.UsageWindow, length time.Duration) time.Time {
	return time.Unix(0, (int64(window)+1)*int64(length))
}

// Prefixes of the ids of rows. Windows have twelve digits, so that rows are in their
// order.
const (
	CountsPrefix  = duty.Partition + "usage/"
	ReportsPrefix = duty.Partition + "report/"
)

// CountsKey returns the key of the row with what a process has counted in a window. A
// process that was restarted does not replace the row of the one before. The rows of a
// window differ after the last slash only, so that one call reads them.
func CountsKey(window core.UsageWindow, vm core.VMID, incarnation core.Incarnation) core.RowKey {
	return core.RowKey{Table: core.TableUsage, ID: fmt.Sprintf("%s%012d/%s.%d", CountsPrefix, window, vm, incarnation)}
}

// ReportKey returns the key of a window's report.
func ReportKey(window core.UsageWindow) core.RowKey {
	return core.RowKey{Table: core.TableReport, ID: fmt.Sprintf("%s%012d", ReportsPrefix, window)}
}

// SettledKey is the key of the row that says which windows have a report.
var SettledKey = core.RowKey{Table: core.TableReported, ID: duty.Partition + "usage"}
