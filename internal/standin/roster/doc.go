// Package roster simulates the platform's list of live and leaving instances for
// tests. The list shows changes only after a lag. It runs in memory and over
// HTTP.
package roster
