package app

import (
	"context"

	"fescuespar/internal/core"
	"fescuespar/internal/core/configuration"
	"fescuespar/internal/errkind"
)

// Configuration returns the configuration in force in this process.
func (s *Service) Configuration() *core.Configuration { return s.configuration.InForce() }
