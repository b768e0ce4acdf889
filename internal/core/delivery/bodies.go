package delivery

import (
	"fmt"
	"strconv"
	"strings"

	"fescuespar/internal/core"
)

// bodyPrefix starts the key of every batch body.
const bodyPrefix = "batch/"

// BodyPrefix returns the prefix of all batch bodies of a deployment.
func BodyPrefix(deployment core.DeploymentName) core.ObjectKey {
	return core.ObjectKey(bodyPrefix + string(deployment) + "/")
}

// BodyKey returns the key of a batch body. Each attempt has its own, so an
// object never gets a second content.
func BodyKey(deployment core.DeploymentName, step core.Step, fence core.Fence, id core.AttemptID) core.ObjectKey {
	return BodyPrefix(deployment) + core.ObjectKey(fmt.Sprintf("%020d/%020d/%s", step, fence, id))
}

// parseBodyKey returns the step and fencing number in a batch body's key.
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

// Orphans returns the batch bodies of a deployment that nobody can need: those
// of acknowledged steps, those of the newest fixed step that its row does not
// name, and those for later steps from holders before the current one, whose
// commits can no longer take effect. The rows must have been read by the
// holder of the given fencing number, and rows.Step is that of LastStep.
func Orphans(deployment core.DeploymentName, keys []core.ObjectKey, rows Rows, fence core.Fence) []core.ObjectKey {
	record, started := rows.Delivery.Record.(core.DeliveryRecord)
	named, found := rows.Step.Record.(core.StepRecord)
	if started && !found {
		return nil
	}
	var orphans []core.ObjectKey
	for _, key := range keys {
		step, madeUnder, ok := parseBodyKey(deployment, key)
		if !ok || key == named.Body {
			continue
		}
		if (started && step <= record.LastStep) || madeUnder < fence {
			orphans = append(orphans, key)
		}
	}
	return orphans
}
