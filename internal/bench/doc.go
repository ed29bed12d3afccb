// Package bench holds the scenarios in which policies are compared in virtual
// time. The figures don't depend on the speed of the machine.
package bench
