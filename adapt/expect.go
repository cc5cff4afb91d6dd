package adapt

import (
	"math"
	"time"
)

const (
	// serviceLife is how long a reported service time is taken as it is. It then fades
	// with the time constant serviceFade, so that a database that was slow is tried again.
	serviceLife = 2 * time.Second
	serviceFade = 4 * time.Second
	// serviceShare is the part of the service time that counts beside the wait. With all
	// of it, a slow database stays empty until the queues at fast ones are as long, and
	// less of the group's capacity is used.
	serviceShare = 0.3
	// unknownService is the service time assumed of a database that has reported none,
	// unless others of its group are slower.
	unknownService = 20 * time.Millisecond
)

// Report is what one VM knows of the load of a database, mostly from the answer that
// came last.
type Report struct {
	Wait    time.Duration // expected time in the queue at the home VM
	Service time.Duration // time that a statement takes at the database; zero if it is not known
	Age     time.Duration // time since the report
	Pending int           // statements of this VM on their way there
	Slots   int           // statements that the database runs at the same time
}

// Expected returns how long a statement that is sent now may take to be answered,
// without the network. The queue is assumed to have become shorter since the report, at
// half of the rate at which it empties if nobody sends. Statements on their way count as if
// they were not in the report: more statements must not go to a database that has just
// reported a short queue than it can run.
func (r Report) Expected() time.Duration {
	service := float64(r.Service)
	if r.Service <= 0 {
		service = float64(unknownService)
	} else if r.Age > serviceLife {
		service *= math.Exp(-(r.Age - serviceLife).Seconds() / serviceFade.Seconds())
	}
	wait := max(0, r.Wait-r.Age/2)
	return wait + time.Duration(service*(serviceShare+float64(r.Pending)/float64(max(1, r.Slots))))
}
