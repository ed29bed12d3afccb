// Package evac holds which data centres the operator evacuates, by the operator's records.
package evac
