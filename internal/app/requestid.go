package app

import (
	"fmt"
	"strings"

	"fescuespar/internal/core"
)

// requestIDSeparator stands between the parts of a request id.
const requestIDSeparator = "."

func requestID(vm core.VMID, incarnation core.Incarnation, number uint64) core.RequestID {
	return core.RequestID(fmt.Sprintf("%s%s%x%s%x", vm, requestIDSeparator, uint64(incarnation), requestIDSeparator, number))
}

// issuer returns the entry VM that issued a request id, if the id is of the
// form that this service issues.
func issuer(id core.RequestID) (core.VMID, bool) {
	parts := strings.Split(string(id), requestIDSeparator)
	if len(parts) != 3 {
		return "", false
	}
	return core.VMID(parts[0]), true
}

// newAttempt names an attempt so that no other one, here or on another entry
// VM, has the same name.
func (s *Service) newAttempt() string {
	return string(requestID(s.options.Self.VM, s.options.Self.Incarnation, s.attemptCounter.Add(1)))
}
