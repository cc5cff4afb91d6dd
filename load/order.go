package load

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// orderTime bounds the search for an order.
const orderTime = 10 * time.Second

type input struct {
	pot   int
	add   bool
	value int64
}

// model is one counter for each pot. The state of an unknown add that did not
// run is that it runs after all that was read.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byPot := make(map[int][]porcupine.Operation)
		for _, o := range history {
			p := o.Input.(input).pot
			byPot[p] = append(byPot[p], o)
		}
		var list [][]porcupine.Operation
		for _, h := range byPot {
			list = append(list, h)
		}
		return list
	},
	Init: func() any { return int64(0) },
	Step: func(state, in, out any) (bool, any) {
		n, i := state.(int64), in.(input)
		if i.add {
			return true, n + i.value
		}
		return n == out.(int64), n
	},
}

// Order tells whether adds and totals read at the primary fit one order for
// each pot in which every operation lies between its start and its end: ok,
// broken, or open if that was not found out in time. Reads that replicas may
// serve are left out: they may be old.
func Order(ops []Op) string {
	var history []porcupine.Operation
	for _, op := range ops {
		add := op.Kind == Add || op.Kind == Confirm
		if !add && op.Kind != Total || op.Outcome == "notRun" || !add && op.Outcome != "ran" {
			continue
		}
		end := op.EndUS
		if op.Outcome == "unknown" {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: op.Caller,
			Input:    input{pot: op.Pot, add: add, value: op.Value},
			Call:     op.StartUS,
			Output:   op.Value,
			Return:   end,
		})
	}
	switch porcupine.CheckOperationsTimeout(model, history, orderTime) {
	case porcupine.Ok:
		return "ok"
	case porcupine.Illegal:
		return "broken"
	}
	return "open"
}
