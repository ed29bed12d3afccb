// Package bench compares scheduling and request policies in virtual time, so
// that policy metrics don't depend on the speed of the machine. Benchmarks of
// heap and planner time measure the machine as well.
package bench
