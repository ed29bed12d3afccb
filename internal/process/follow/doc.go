// Package follow reads a keyed partition of the platform's store, first the newest
// record of every key and then each record that is appended.
package follow
