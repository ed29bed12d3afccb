// Package book holds the ground truth of emulated jobs: the real run time of
// each task, its failures and its load. Schedulers see only what workers report.
package book
