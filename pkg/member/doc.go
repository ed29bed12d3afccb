// Package member keeps the membership of the fleet.
//
// It has three sources. The platform's list is late and can be unavailable.
// Heartbeats and exchanges prove that an instance runs. Traffic shows that a
// backend server or a worker takes no new work. Silence proves nothing about
// what an instance still runs: it makes an instance unreachable, and only a
// list without the instance makes it gone.
//
// A newer incarnation replaces an older one. Leaving takes effect at once and
// is never undone for the same incarnation. Responsibilities move only after an
// instance has been silent for a while, and move back only after it has been
// heard for as long.
package member
