// Package logs evaluates the log lines of processes. A timeline is the history
// of one subject, such as a request, in chronological order. A report
// summarizes a complete directory of logs. Processes write the lines that are
// evaluated here with the message constants of this package.
//
// No code here reads files or clocks. The builders are not safe for concurrent use.
// No function returns an error.
package logs
