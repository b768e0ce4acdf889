package app

import (
	"fmt"
	"strings"

	"fescuespar/internal/core"
)

const requestIDSeparator = "."

func formatRequestID(vm core.VMID, incarnation core.Incarnation, number uint64) core.RequestID {
	return core.RequestID(fmt.Sprintf("%s%s%x%s%x", vm, requestIDSeparator, uint64(incarnation), requestIDSeparator, number))
}

// issuingVM returns the entry VM that issued a request id, if the id has the
// form of formatRequestID.
func issuingVM(id core.RequestID) (core.VMID, bool) {
	parts := strings.Split(string(id), requestIDSeparator)
	if len(parts) != 3 {
		return "", false
	}
	return core.VMID(parts[0]), true
}

// newAttemptName returns a name for an attempt that is unique among all entry
// VMs.
func (s *Service) newAttemptName() string {
	return string(formatRequestID(s.options.Self.VM, s.options.Self.Incarnation, s.attemptCounter.Add(1)))
}
