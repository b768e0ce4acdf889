//go:build lockcheck

#include "textflag.h"

// func current() goroutine
TEXT ·current(SB), NOSPLIT, $0-8
	MOVQ (TLS), AX
	MOVQ AX, ret+0(FP)
	RET
