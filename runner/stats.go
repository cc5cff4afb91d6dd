package runner

import "expvar"

// Counters of this process over all its groups.
var (
	refusals       = expvar.NewMap("pollendoorRefusals")       // refusals by SQLSTATE
	repeats        = expvar.NewInt("pollendoorRepeats")        // further attempts of statements
	replays        = expvar.NewInt("pollendoorReplays")        // answers taken from the row of an idempotency key
	ackCount       = expvar.NewInt("pollendoorAcks")           // completed waits for an acknowledgement, successful or not
	ackNanoseconds = expvar.NewInt("pollendoorAckNanoseconds") // total time spent in these waits, in nanoseconds
)
