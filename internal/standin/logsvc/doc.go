// Package logsvc stands in for the platform's append-only log: streams of
// records with offsets, bounded retention, and faults that are switched on by
// hand and drawn from a seeded source. It runs in memory and over HTTP.
package logsvc
