//go:build cgo

#include <signal.h>

static int hangup_ignored;

// Runs before the Go runtime starts. A hang-up that is ignored here is not lost: it
// announces a settings file that the process has yet to read.
__attribute__((constructor)) static void ignore_hangup(void) {
	hangup_ignored = signal(SIGHUP, SIG_IGN) == SIG_IGN;
}

int sigs_hangup_ignored(void) { return hangup_ignored; }
