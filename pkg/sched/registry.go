package sched

// OperatorRecord is one decoded record that the operator wrote. At most one
// field is set.
type OperatorRecord struct {
	Catalog *Catalog
	Wave    *MaintenanceWave
	// Evacuation tells whether a data centre is evacuated from the record on.
	Evacuation *Evacuation
}

// Evacuation is a change of the evacuation of a data centre: from the record at Offset on,
// nothing may start there, or, if it isn't in force, tasks may start there again.
type Evacuation struct {
	DataCentre DataCentre
	InForce    bool
	Offset     Offset
}

// Registry locates and decodes the records that the operator and the workers
// write to the store.
type Registry interface {
	// Operator returns the partition with the operator's records.
	Operator() Partition
	// DecodeOperator decodes a record of the operator. It returns an empty
	// OperatorRecord for a key that the scheduler doesn't use.
	DecodeOperator(r KeyedRecord) (OperatorRecord, error)
	// Workers returns the partition with the workers' records.
	Workers() Partition
	// DecodeWorker decodes a record of a worker. It returns an error if the
	// record doesn't describe a worker, for example because another program
	// wrote it.
	DecodeWorker(r KeyedRecord) (Worker, error)
}
