// Package coloc learns how much tasks of each kind raise the latency of each
// service on the same worker, and keeps the services within their latency goals
// by throttling and evicting tasks.
//
// The 99th percentile of a service is modeled as its latency without tasks
// plus, for each task on the same worker, a rise per task kind times the task's
// share of its processors and the service's load. The coefficients are learned
// per service from delayed reports with a Kalman filter: a noisy sample changes
// a coefficient little, and the variance of a coefficient grows with time.
//
// The control loop uses the model's prediction for the tasks that run now
// instead of the delayed measurement alone. It makes one change per worker and
// the next one only after a measurement that was taken after the change, so
// that the delay doesn't cause oscillation. It throttles first and evicts if
// throttling is not enough.
//
// The package does no I/O and takes the time as an argument. Model implements
// plan.Interference and plan.Scorer.
package coloc
