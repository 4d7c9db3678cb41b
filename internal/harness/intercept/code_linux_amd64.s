#include "textflag.h"

// The code below is copied into other processes. It is position-independent; 64-bit
// constants of one repeated digit are places that are filled in when it is copied:
// 1 the words (see the offsets in target), 2 where the function goes on, 3 the
// function that it stands in front of. The last 8 bytes of each piece mark its end.

#define WORDS $0x1111111111111111
#define BACK $0x2222222222222222
#define FRONTED $0x3333333333333333
#define END QUAD $0x7fe1d0c3b2a59687

// Entered instead of the first four instructions of Go's Syscall6, with its registers:
// AX the number, BX, CX, DI, SI, R8, R9 the arguments. The kernel changes AX, CX, R11.
TEXT ·syscallCode(SB), NOSPLIT|NOFRAME, $0-0
	MOVQ WORDS, R11
	CMPQ AX, $42 // connect
	JEQ  connect
	CMPQ AX, $74 // fsync
	JEQ  sync
	CMPQ AX, $75 // fdatasync
	JEQ  sync
pass:
	MOVQ SI, R10
	MOVQ DI, DX
	MOVQ CX, SI
	MOVQ BX, DI
	MOVQ BACK, R11
	JMP  R11
connect:
	MOVQ 40(R11), R12 // the port to lead to, 0 for none
	TESTQ R12, R12
	JEQ  pass
	MOVWLZX 0(CX), R13 // the family
	CMPL R13, $2 // AF_INET
	JNE  pass
	MOVWLZX 2(CX), R13 // the port, as it goes over the wire
	CMPQ R13, 32(R11)
	JNE  pass
	MOVBLZX 4(CX), R13 // the first number of the address
	CMPL R13, $127
	JNE  pass
	MOVBLZX 7(CX), R13 // the last one
	CMPQ R13, 48(R11)
	JGT  pass
	MOVW R12, 2(CX)
	JMP  pass
sync:
	MOVQ AX, R12
	MOVQ BX, R13
	MOVQ R11, DX
again:
	LEAQ 16(DX), DI // pause: seconds, nanoseconds
	XORL SI, SI
	MOVQ $35, AX // nanosleep
	SYSCALL
	CMPQ 8(DX), $0 // stalled
	JNE  again
	MOVQ 56(DX), CX // the error, 0 for none
	TESTQ CX, CX
	JNE  fail
	MOVQ R12, AX
	MOVQ R13, BX
	XORL CX, CX
	XORL DI, DI
	JMP  pass
fail:
	MOVQ $-1, AX
	XORL BX, BX
	RET
	END

// Entered instead of the kernel's clock_gettime in user space, as a C function.
TEXT ·clockCode(SB), NOSPLIT|NOFRAME, $0-0
	PUSHQ DI
	PUSHQ SI
	SUBQ $8, SP
	MOVQ FRONTED, AX
	CALL AX
	ADDQ $8, SP
	POPQ SI
	POPQ DI
	TESTL DI, DI // CLOCK_REALTIME
	JNE  out
	MOVQ WORDS, CX
	MOVQ 0(CX), CX // seconds to add
	ADDQ CX, 0(SI)
out:
	RET
	END

// func codeAddrs() (syscallAddr, clockAddr uint64)
TEXT ·codeAddrs(SB), NOSPLIT, $0-16
	MOVQ $·syscallCode(SB), AX
	MOVQ AX, syscallAddr+0(FP)
	MOVQ $·clockCode(SB), AX
	MOVQ AX, clockAddr+8(FP)
	RET
