package delivery

import (
	"fmt"
	"strconv"
	"strings"

	"fescuespar/internal/core"
)

// bodyPrefix is the prefix of the key of every batch body.
const bodyPrefix = "batch/"

// BodyPrefix returns the key prefix of a deployment's batch bodies.
func BodyPrefix(deployment core.DeploymentName) core.ObjectKey {
	return core.ObjectKey(bodyPrefix + string(deployment) + "/")
}

// BodyKey returns the key of a batch body. It is unique to the attempt, so an
// object is never overwritten with different content.
func BodyKey(deployment core.DeploymentName, step core.Step, fence core.Fence, id core.AttemptID) core.ObjectKey {
	return BodyPrefix(deployment) + core.ObjectKey(fmt.Sprintf("%020d/%020d/%s", step, fence, id))
}

// parseBodyKey returns the step and the fencing number contained in the key of
// a batch body.
func parseBodyKey(deployment core.DeploymentName, key core.ObjectKey) (step core.Step, fence core.Fence, ok bool) {
	rest, found := strings.CutPrefix(string(key), string(BodyPrefix(deployment)))
	if !found {
		return 0, 0, false
	}
	parts := strings.SplitN(rest, "/", 3)
	if len(parts) != 3 {
		return 0, 0, false
	}
	stepNumber, stepErr := strconv.ParseUint(parts[0], 10, 64)
	fenceNumber, fenceErr := strconv.ParseUint(parts[1], 10, 64)
	return core.Step(stepNumber), core.Fence(fenceNumber), stepErr == nil && fenceErr == nil
}

// OrphanedBodies returns the batch bodies of a deployment that are no longer needed:
// those of acknowledged steps, those of the newest fixed step that are not
// referenced by its row, and those written for later steps by earlier lease
// holders, whose commits can no longer take effect. The rows must have been
// read by the lease holder with the given fencing number, and rows.Step must be
// the row of LastStep.
func OrphanedBodies(deployment core.DeploymentName, keys []core.ObjectKey, rows Rows, fence core.Fence) []core.ObjectKey {
	record, hasRecord := rows.Delivery.Record.(core.DeliveryRecord)
	referenced, found := rows.Step.Record.(core.StepRecord)
	if hasRecord && !found {
		return nil
	}
	var orphans []core.ObjectKey
	for _, key := range keys {
		step, bodyFence, ok := parseBodyKey(deployment, key)
		if !ok || key == referenced.Body {
			continue
		}
		if (hasRecord && step <= record.LastStep) || bodyFence < fence {
			orphans = append(orphans, key)
		}
	}
	return orphans
}
