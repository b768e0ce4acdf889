package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"fescuespar/internal/app/relay"
	"fescuespar/internal/core"
	"fescuespar/internal/core/routing"
	"fescuespar/internal/errkind"
	"fescuespar/internal/tables"
)

// relayStatus prints the state of a process on the users' platform.
func (c *statusCommand) relayStatus() error {
	encoded, err := fetchRelayState(c.Address, c.Timeout)
	if err != nil {
		return err
	}
	var state relay.State
	if err := json.Unmarshal(encoded, &state); err != nil {
		return errkind.Wrap(errkind.PeerUnreachable, err, "decode the state of %s", c.Address)
	}
	return c.print(state, func(w io.Writer) { writeRelayStatus(w, &state) })
}

func writeRelayStatus(w io.Writer, state *relay.State) {
	fmt.Fprintf(w, "%s, %d requests in flight, route table %d in force, as read at %s\n",
		state.Phase, state.InFlight, state.Routes, state.RoutesConfirmedAt.Format(time.RFC3339))
	if state.Accounts != nil {
		writeAccounts(w, state.Accounts)
	}
	for _, outage := range state.Outages {
		fmt.Fprintf(w, "platform does not answer: %s, since %s\n", outage.Service, outage.Since.Format(time.RFC3339))
	}
	writeUsageStatus(w, state.Usage)
	const minWidth, tabWidth, padding = 0, 0, 2
	t := tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
	fmt.Fprintln(t, "\nVM\tSTATE\tZONE\tLOAD\tADDRESS")
	for i := range state.Members {
		m := &state.Members[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", m.VM, m.State, m.Zone, m.Load, m.CallAddress)
	}
	fmt.Fprintln(t, "\nLEASE\tSTATE\tOWNER\tFENCE")
	for _, l := range state.Leases {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", l.Name, l.State, orNoValue(l.Owner), l.Fence)
	}
	fmt.Fprintln(t, "\nJOB\tACCOUNT\tWAITING\tRUNNING\tUNSCORED\tUNSTORED\tSTORED")
	for _, j := range state.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", j.Job, orNoValue(string(j.Account)), j.Waiting, j.Running, j.Unscored, j.Unstored, j.Stored)
	}
	fmt.Fprintln(t, "\nSLOTS OF\tREQUESTS\tSLOTS\tIN FLIGHT\tWAITING\tFOUND NO SLOT")
	for _, slots := range state.Slots {
		kind := "calls"
		if slots.Stream {
			kind = "streams"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", slots.Service, kind, slots.Slots, sum(slots.Gate.InFlight), sum(slots.Gate.Waiting), slots.Short)
	}
	fmt.Fprintln(t, "\nSERVER WITHOUT ALL ITS WORK\tSERVICE\tWHY")
	for i := range state.Servers {
		if reason := restrictionReason(&state.Servers[i]); reason != "" {
			fmt.Fprintf(t, "%s\t%s\t%s\n", state.Servers[i].VM.ID, state.Servers[i].VM.Service, reason)
		}
	}
	t.Flush()
}

// writeUsageStatus prints the state of the reports of usage, if there are any.
func writeUsageStatus(w io.Writer, state *relay.UsageState) {
	if state == nil {
		return
	}
	fmt.Fprintf(w, "usage: window %d, counted through %d, %d requests lost, time of day off by %v, reported by %s\n",
		state.Window, state.CountedThrough, state.Lost, state.ClockDeviation.Round(time.Millisecond), orNoValue(state.Holder))
	if reports := state.Reports; reports != nil {
		fmt.Fprintf(w, "usage reports: fixed up to window %d, %d owed, %d of them late, oldest of window %d\n",
			reports.Next-1, reports.Owed, reports.Late, reports.Oldest)
	}
}

// writeAccounts writes which client accounts are in force and why requests were refused.
func writeAccounts(w io.Writer, accounts *tables.AccountsState) {
	fmt.Fprintf(w, "%d accounts with %d keys in force, as read at %s\n", accounts.Accounts, accounts.Keys, accounts.ConfirmedAt.Format(time.RFC3339))
	for _, reason := range slices.Sorted(maps.Keys(accounts.Refused)) {
		fmt.Fprintf(w, "requests refused with %s: %d\n", reason, accounts.Refused[reason])
	}
	for _, name := range slices.Sorted(maps.Keys(accounts.Removed)) {
		fmt.Fprintf(w, "requests with removed keys of account %s: %d\n", name, accounts.Removed[name])
	}
}

// sum returns the sum over all classes.
func sum(byClass [core.ClassCount]int) int {
	total := 0
	for _, count := range byClass {
		total += count
	}
	return total
}

// restrictionReason returns why a backend server gets no new work or only a part of its
// usual work, or an empty string if it gets its usual work.
func restrictionReason(server *routing.View) string {
	switch {
	case server.Unreachable:
		return "cannot be reached"
	case server.Ejected:
		return "is ejected until " + server.EjectedUntil.Format(time.RFC3339)
	case server.Paced != "":
		return fmt.Sprintf("%s, gets %.0f%% of its usual work", server.Paced, 100*server.PaceShare)
	default:
		return ""
	}
}
