// Package mixed simulates services and batch tasks on the same workers, in
// virtual time: one planner, the log and the stand-in workers, whose reports
// lag and are noisy. It measures what policies against interference cost and
// bring.
package mixed
