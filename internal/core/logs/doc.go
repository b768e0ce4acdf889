// Package logs says what the log lines of processes tell: the story of one
// thing in the order of time, and the figures of a whole directory of logs.
// Processes take the messages of the lines that are looked for from here.
//
// Nothing here reads files or clocks. Reports and stories are not safe for
// concurrent use. No function returns an error.
package logs
