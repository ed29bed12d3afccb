// Package coloc learns how much tasks of each kind slow down each service on
// the same worker, and keeps the services within their latency goals.
//
// The 99th percentile of a service is estimated as its latency alone plus, for
// each task next to it, a rise per task kind times the task's share of its
// processors and the service's load. The coefficients are learned per service
// from lagging reports with a Kalman filter: a noisy sample moves little, and
// what has not been seen for long loses confidence.
//
// The control loop works on the model's prediction for what runs now rather
// than on the lagging measurement alone. Per worker it makes one change, and
// the next only after a measurement that was taken after it, so it does not
// oscillate on the delay. It throttles first and evicts when that is not
// enough.
//
// The package does no I/O and takes the time as an argument. Model has the
// methods of plan.Interference and plan.Scorer.
package coloc
