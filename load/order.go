package load

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout is the time limit of the linearizability check.
const checkTimeout = 10 * time.Second

// counterInput is the input of an operation of counterModel: a read, or an addition of
// value if add is true.
type counterInput struct {
	counter int
	add     bool
	value   int64
}

// counterModel models each counter on its own. An insert with an unknown outcome
// has no end, so the check may order it after all reads, which stands for an
// insert that did not run.
var counterModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byCounter := make(map[int][]porcupine.Operation)
		for _, o := range history {
			p := o.Input.(counterInput).counter
			byCounter[p] = append(byCounter[p], o)
		}
		var list [][]porcupine.Operation
		for _, h := range byCounter {
			list = append(list, h)
		}
		return list
	},
	Init: func() any { return int64(0) },
	Step: func(state, in, out any) (bool, any) {
		n, i := state.(int64), in.(counterInput)
		if i.add {
			return true, n + i.value
		}
		return n == out.(int64), n
	},
}

// CheckLinearizability checks whether, for each counter, the inserts and the totals
// read at the primary are linearizable: whether they fit one order in which every
// operation takes effect between its start and its end. It returns ok, broken, or
// open if the check ran out of time. Reads that replicas may serve are ignored,
// because they may be stale.
func CheckLinearizability(ops []Op) string {
	var history []porcupine.Operation
	for _, op := range ops {
		add := op.Kind == Insert || op.Kind == InsertInTx
		if !add && op.Kind != PrimaryRead || op.Outcome == "notRun" || !add && op.Outcome != "ran" {
			continue
		}
		end := op.EndUS
		if op.Outcome == "unknown" {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: op.Caller,
			Input:    counterInput{counter: op.Counter, add: add, value: op.Value},
			Call:     op.StartUS,
			Output:   op.Value,
			Return:   end,
		})
	}
	switch porcupine.CheckOperationsTimeout(counterModel, history, checkTimeout) {
	case porcupine.Ok:
		return "ok"
	case porcupine.Illegal:
		return "broken"
	}
	return "open"
}
