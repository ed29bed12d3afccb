package meter

// Metric is one row of the table of metrics. Kind is counter, gauge or histogram.
type Metric struct{ Name, Kind, Meaning string }

// Table returns the metrics of an entry instance. docs/OPERATIONS.md shows the
// same table, and a test of package cli compares the two.
func Table() []Metric {
	return []Metric{
		{callsTotal, "counter", "Callers' requests by call (submit, state, cancel, pending) and result code."},
		{givenUpTotal, "counter", "Callers' requests that ended without the verdict of a planner, by state of the planner (lost, pending: its append has no answer, behind, answering: the time was over) and outcome (refused, unknown)."},
		{callSeconds, "histogram", "Time from arrival to answer, by call."},
		{appendsTotal, "counter", "Appends to the store, by result: ok, moved, unavailable, uncertain."},
		{appendSeconds, "histogram", "Time of an append."},
		{readsTotal, "counter", "Reads of the store, by result."},
		{ordersTotal, "counter", "Orders to workers by order (start, stop, pace, lease) and result: ok, refused, unavailable, uncertain."},
		{orderSeconds, "histogram", "Time of an order, by order. A lease may wait at the worker."},
		{advicesTotal, "counter", "Calls of the advice service, by result: ok, unavailable, uncertain."},
		{adviceSeconds, "histogram", "Time of a call of the advice service."},
		{plannerTotal, "counter", "What planners here did: accepted, refused, starts, ends, failed, lost, stops, noRoom, paces, moves, copies, heldUp (tasks that waited for 3 s though a worker had room), crashes (of workers under runs), givenUp (jobs with a task that crashes its workers), ratings (of a worker for the tasks of a step), asked (calls of the advice service), adviceFailed (such calls without an answer), lateTickets (tickets that had ended on arrival), planned (tasks that the look-ahead placement held room for), slipped (times that its plan didn't come true)."},
		{plannerWaits, "counter", "Tasks that planners here placed, by size: small, large, gang, lasting."},
		{plannerWaited, "counter", "Time that these tasks had waited for room."},
		{plannerHeldFree, "counter", "Processor-seconds that the look-ahead placement held free."},
		{plannerSeconds, "counter", "Time in which the thread of a planner here was busy, by work: the kind of message, place (of waiting tasks), flush (records) and effects (orders). Near 1 a second it is overloaded."},
		{plannerWorks, "counter", "Messages and other works behind that time, by work."},
		{plannerWait, "histogram", "Longest time that a message waited for that thread, once a second."},
		{termsTotal, "counter", "Terms that planners here began."},
		{movesTotal, "counter", "Moves of cells from this instance to a better one, by result: ok, failed."},
		{candidateRank, "gauge", "Candidates for a cell that are believed to be alive and rank before this instance, by cell."},
		{cellsPlanned, "gauge", "Cells that are planned here."},
		{catalogVersion, "gauge", "Version of the operator's configuration in force."},
		{readyNow, "gauge", "1 while the instance is ready, else 0."},
		{evacuations, "gauge", "Data centres that are being evacuated, as known here."},
		{evacuatedRuns, "gauge", "Runs in these data centres, of the cells that are planned here."},
		{unknownWorkers, "gauge", "Workers that answer and take no tasks, since not all of their runs are known, of the cells that are planned here."},
		{linesDropped, "counter", "Log lines for which there was no space, or that couldn't be written."},
		{clientBytes, "gauge", "Memory reserved for clients, in bytes, by listener: callers, balancer, peers, metrics."},
		{clientConnections, "gauge", "Open connections of clients, by listener."},
		{clientsRefused, "counter", "Clients refused or closed, by listener and reason: connections, memory, header, slow, evicted (closed for others)."},
	}
}

// Names of metrics.
const (
	callsTotal      = "parsleybarrow_calls_total"
	givenUpTotal    = "parsleybarrow_calls_given_up_total"
	callSeconds     = "parsleybarrow_call_duration_seconds"
	appendsTotal    = "parsleybarrow_store_appends_total"
	appendSeconds   = "parsleybarrow_store_append_duration_seconds"
	readsTotal      = "parsleybarrow_store_reads_total"
	ordersTotal     = "parsleybarrow_worker_orders_total"
	orderSeconds    = "parsleybarrow_worker_order_duration_seconds"
	advicesTotal    = "parsleybarrow_advice_calls_total"
	adviceSeconds   = "parsleybarrow_advice_call_duration_seconds"
	plannerTotal    = "parsleybarrow_planner_total"
	plannerSeconds  = "parsleybarrow_planner_busy_seconds_total"
	plannerWorks    = "parsleybarrow_planner_works_total"
	plannerWait     = "parsleybarrow_planner_longest_wait_seconds"
	plannerWaits    = "parsleybarrow_planner_waits_total"
	plannerWaited   = "parsleybarrow_planner_wait_seconds_total"
	plannerHeldFree = "parsleybarrow_planner_held_free_processor_seconds_total"
	evacuations     = "parsleybarrow_evacuations"
	evacuatedRuns   = "parsleybarrow_evacuated_runs"
	unknownWorkers  = "parsleybarrow_unknown_workers"
	movesTotal      = "parsleybarrow_cell_moves_total"
	termsTotal      = "parsleybarrow_terms_total"
	candidateRank   = "parsleybarrow_candidate_rank"
	cellsPlanned    = "parsleybarrow_cells_planned"
	catalogVersion  = "parsleybarrow_catalog_version"
	readyNow        = "parsleybarrow_entry_ready"
	linesDropped    = "parsleybarrow_log_lines_dropped_total"

	clientBytes       = "parsleybarrow_client_bytes"
	clientConnections = "parsleybarrow_client_connections"
	clientsRefused    = "parsleybarrow_clients_refused_total"
)
