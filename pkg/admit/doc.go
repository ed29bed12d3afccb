// Package admit decides which requests an entry instance takes: at once, after
// a wait in a bounded queue, or not at all.
//
// The capacity is the instance's part of the slots of the fleet. Every urgency
// class has a guaranteed share of it and every partner a guaranteed share of
// its class. Unused shares are lent and taken back as requests end; a small
// part of an unused guarantee is never lent, so that its owner doesn't wait
// for a loan to end. A request is refused on arrival when its estimated wait
// exceeds its deadline.
package admit
