// Package hosts holds a planner's state of its workers: the runs that are placed
// on each, the end of the leases granted to it, the reading of its clock, and the
// count in its fencing token that makes earlier orders void.
package hosts
