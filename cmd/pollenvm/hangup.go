package main

// The Go runtime ends the process on SIGHUP until main listens to the signal. A signal that is
// ignored when the runtime starts stays so until then. This runs before the runtime starts.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
