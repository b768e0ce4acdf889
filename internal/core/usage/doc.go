// Package usage counts the requests that backend servers begin to run for each account, by
// windows of true time, and decides what is reported of them.
//
// Every process has a Counter and writes what it has counted to a row for each window. The
// holder of the duty has a Ledger: after a window's end it adds up the rows, fixes the
// report in a commit under its lease's guard and sends it until the platform has accepted
// it. A report has one content, whoever sends it: it is fixed by a commit on the version of
// a row that every such commit writes, and is not sent before that commit is known to have
// taken effect.
package usage
