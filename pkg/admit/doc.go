// Package admit implements the admission control and load shedding of an entry
// instance: a request is granted at once, waits in a bounded queue or is
// refused.
//
// The capacity is the instance's part of the slots of the fleet. Every urgency
// class has a guaranteed share of the capacity and every partner a guaranteed
// share of its class. Other classes and partners may borrow the unused part of
// a guarantee and return it as their requests end. A small part of an unused
// guarantee of a class stays free, so that a new request of that class need not
// wait until a borrowed slot is released. A request is refused on arrival when
// it is not expected to end before its deadline.
package admit
