// Package platform holds stand-ins of the users' platform for the cases of the second
// review: the store, the workers, the operator, the balancer and the callers. They do
// what the users' protocol says and behave soundly where it says nothing.
package platform
