// Package member keeps the membership of the fleet: which instances there are
// and in which state.
//
// It has three sources. The platform's list lags behind and can be unavailable.
// Heartbeats and answers prove that an instance runs. Answers also show that a
// backend server or a worker takes no new work. Silence proves nothing about
// the work that an instance still does: it makes an instance unreachable, and
// only a list without the instance makes it gone.
//
// A newer incarnation replaces an older one. Leaving takes effect at once, and
// neither the list nor a heartbeat makes a leaving incarnation live again. The
// responsibilities of an instance that falls silent move only after a
// hysteresis time, and move back only after it has been heard for as long.
package member
