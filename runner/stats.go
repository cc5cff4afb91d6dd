package runner

import "expvar"

// Counters of this process, over all its groups.
var (
	refusals       = expvar.NewMap("pollendoorRefusals")       // by SQLSTATE
	repeats        = expvar.NewInt("pollendoorRepeats")        // statements sent again
	replays        = expvar.NewInt("pollendoorReplays")        // answers from a key's row
	ackCount       = expvar.NewInt("pollendoorAcks")           // writes acknowledged or not
	ackNanoseconds = expvar.NewInt("pollendoorAckNanoseconds") // spent waiting for them
)
