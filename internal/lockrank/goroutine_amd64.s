//go:build lockcheck

#include "textflag.h"

// func currentGoroutine() goroutine
TEXT ·currentGoroutine(SB), NOSPLIT, $0-8
	MOVQ (TLS), AX
	MOVQ AX, ret+0(FP)
	RET
