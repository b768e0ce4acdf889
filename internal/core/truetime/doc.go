// Package truetime derives true time from the clock of the platform's store, which is
// monotonic and the same for all processes but has an unknown origin, and from an offset
// on which the processes agree: the median of what each measured between its VM's time of
// day and the store's clock. A VM's time of day may jump by seconds, and back; neither
// the store's clock nor the median of many VMs does.
//
// The time from a process's call until the store reads its clock is not known. Whatever
// share of the round trip it is, it cancels out as far as it is the same for all
// processes: the offset is measured against the same estimate to which it is added.
package truetime
