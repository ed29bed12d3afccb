// Package ahead plans where waiting tasks that are large, wide or lasting start once
// running tasks have ended, and tells which other tasks may start there meanwhile.
//
// It is made for full cells of up to a thousand workers, in which small tasks arrive all
// the time and would take each bit of room that becomes free. Run times are uncertain: a
// forecast counts on late ends, and not on the end of a single run where others suffice.
package ahead
