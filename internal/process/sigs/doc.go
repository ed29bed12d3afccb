// Package sigs receives the signals of the process from its first milliseconds to its
// end. Only main packages import it, since that alone changes what signals do.
package sigs
