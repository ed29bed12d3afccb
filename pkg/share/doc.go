// Package share estimates how much filler tasks slow down the serving tasks on the
// same worker. From that it derives the paces at which fillers may work, and
// whether a worker can take another filler. It is made for floods of fillers on
// workers whose own services are busy.
//
// The model works with utilization instead of latency: a serving task whose tail
// latency is L, and would be B without any load, has the utilization 1 - B/L, as
// in a queue with one server. Its own load and the fillers on the worker add up to
// that utilization. A filler adds the share of the worker's processors that it
// uses times a factor that depends on the images of both tasks.
package share
