// Package world emulates the platform that entry instances use: the store, the
// workers, and the records by which workers register themselves. It injects
// faults into the calls between them. Tests run it in a bubble of testing/synctest,
// on virtual time.
package world
