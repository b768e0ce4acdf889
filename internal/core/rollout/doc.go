// Package rollout schedules the generation of samples for a trainer's steps:
// how many groups are open, which running samples are moved to another engine
// or restarted, and how far this biases the lengths of delivered samples.
//
// A step's batch consists of complete groups. Extra groups are never discarded:
// they are the groups of the following steps, started early, so that a step can
// be filled while a long group is still being generated. The long group is
// delivered in a later step, if it is still fresh enough, before any group
// planned after it.
package rollout
