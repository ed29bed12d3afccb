// Package fleet records which workers of a cell are listed, or were until recently,
// and tells whether a task is one that none of them could ever run.
package fleet
