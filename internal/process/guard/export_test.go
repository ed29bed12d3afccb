package guard

// Sweep closes slow connections now.
func (g *Guard) Sweep() { g.sweep() }
