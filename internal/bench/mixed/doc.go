// Package mixed simulates services and batch tasks on the same workers, in
// virtual time: one planner, the log and stand-in workers with delayed, noisy
// reports. It measures service latency, batch throughput and evictions under
// policies that limit interference.
package mixed
