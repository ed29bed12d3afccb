package sched

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// Processors is in thousandths of a processor.
	Processors int64
	// Memory is in bytes.
	Memory       int64
	Accelerators int64
}

// Plus returns r + o, resource by resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns r - o, resource by resource. The result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}
