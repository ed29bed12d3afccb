package lead

import "github.com/parsleybarrow/parsleybarrow/pkg/cell"

// Post runs f in the planner's actor, as the results of calls are.
func (l *Leader) Post(f func(*cell.Planner)) { l.post(workLeased, func() { f(l.planner) }) }
