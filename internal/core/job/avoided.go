package job

import (
	"slices"
	"time"

	"fescuespar/internal/core"
)

// Avoided says which engines new runs keep away from.
type Avoided struct {
	Slow    []core.ServerID
	Loading map[core.ModelName][]core.ServerID // engines that load weights of a model
}

// slowWait is how long an item waits for a slot at an engine that is not slow:
// the time in which most runs end.
const slowWait = time.Second

// For returns the engines on which an item must not start.
func (a Avoided) For(start *Start) []core.ServerID {
	avoided := slices.Clone(a.Loading[start.Model])
	if start.Waited < slowWait {
		avoided = append(avoided, a.Slow...)
	}
	if start.Avoid != "" {
		avoided = append(avoided, start.Avoid)
	}
	return avoided
}
