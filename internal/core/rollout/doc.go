// Package rollout decides how the samples of a trainer's steps are made: how
// many groups are kept in progress, which running samples are moved to another
// engine or run again, and how much all that skews the lengths of what is
// delivered.
//
// A step waits for groups, not for samples. Extra groups are never thrown
// away: they are the groups of the following steps, started earlier, so that
// a step can be filled while a long group is still being made; the long group
// is delivered in a following step, if still fresh enough, before any group
// planned after it.
package rollout
