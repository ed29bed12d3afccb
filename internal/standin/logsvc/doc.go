// Package logsvc simulates the platform's append-only log for tests: streams of
// records with offsets, a retention limit, and faults that a test configures and
// that are drawn from a seeded source. It runs in memory and over HTTP.
package logsvc
