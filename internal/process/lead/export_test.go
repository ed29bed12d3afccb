package lead

// Post runs f in the planner's actor, as the results of calls are.
func (l *Leader) Post(f func()) { l.post(f) }
