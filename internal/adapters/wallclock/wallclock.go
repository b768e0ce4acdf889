// Package wallclock implements ports.TimeOfDay with the VM's time of day.
package wallclock

import "time"

// Clock is a ports.TimeOfDay.
type Clock struct{}

// TimeOfDay returns the VM's time of day.
func (Clock) TimeOfDay() time.Time { return time.Now().Round(0) }
