package sigs

// int sigs_hangup_ignored(void);
import "C"

// hangupIgnoredAtStart reports whether SIGHUP was ignored before early.c made it so,
// which it does to bridge the time until listen.
func hangupIgnoredAtStart() bool { return C.sigs_hangup_ignored() != 0 }
