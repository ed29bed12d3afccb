// Package roster stands in for the platform's list of live and leaving
// instances, which shows changes only after a lag. It runs in memory and over
// HTTP.
package roster
