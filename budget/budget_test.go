package budget_test

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/budget"
)

func ExampleReport() {
	var b budget.Recorder
	now := time.Unix(1000, 0)
	b.SetObjective("surveyors", 0.9, time.Second)
	for i := range 10 {
		o := pollendoor.Observation{Latency: time.Millisecond}
		if i < 2 {
			o.Latency = 3 * time.Second // late
		}
		b.Record("surveyors", o, now)
	}
	b.Record("surveyors", pollendoor.Observation{Code: pollendoor.CodeRateExceeded}, now) // over its rate: does not count as bad
	raw, _ := b.Summary("vm1")
	var s budget.Summary
	_ = json.Unmarshal(raw, &s)
	r := budget.Report([]budget.Summary{s}, now)[0]
	fmt.Printf("%s %d late of %d, burn %.0f\n", r.Team, r.Count.Late, r.Count.Good+r.Count.Bad(), r.Burn)
	// Output: surveyors 2 late of 10, burn 2
}
