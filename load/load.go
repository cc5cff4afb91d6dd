package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// counters is the number of counters that the load is distributed over. The value of a
// counter is the sum of the amounts written to it.
const counters = 16

// Options configures a load run.
type Options struct {
	URLs     []string      // one per VM and team, assigned to callers round-robin
	Profile  string        // name of the statement mix, see Profile
	Callers  int           // number of concurrent sessions
	Rate     float64       // statements per second, summed over all callers; zero for closed loop
	Duration time.Duration // how long statements are sent
	Seed     uint64        // seed of the random choices
	History  io.Writer     // receives one line of JSON per operation; nil for none
	Progress io.Writer     // receives a progress line every second; nil for none
}

// Op is one operation of the recorded history, as its caller observed it.
type Op struct {
	Caller  int    `json:"caller"`         // number of the caller
	Team    string `json:"team"`           // team of the caller
	Name    string `json:"name"`           // name of the operation in the mix
	Kind    Kind   `json:"kind"`           // type of the operation
	Counter int    `json:"pot"`            // number of the counter that was read or added to
	ID      string `json:"id,omitempty"`   // request id of a write
	Value   int64  `json:"value"`          // value that was read or added
	StartUS int64  `json:"startUs"`        // microseconds since the start of the run
	EndUS   int64  `json:"endUs"`          // microseconds since the start of the run
	Outcome string `json:"outcome"`        // ran, notRun or unknown
	Code    string `json:"code,omitempty"` // SQLSTATE of an error
}

// Row holds the counts and latencies of one operation of a mix for one team.
type Row struct {
	Team    string  `json:"team"`    // name of the team
	Name    string  `json:"name"`    // name of the operation in the mix
	Done    int64   `json:"done"`    // operations that ran
	NotRun  int64   `json:"notRun"`  // operations that were refused or failed without effect
	Unknown int64   `json:"unknown"` // operations with unknown outcome
	P50Ms   float64 `json:"p50Ms"`   // median latency in milliseconds
	P99Ms   float64 `json:"p99Ms"`   // 99th percentile of the latency in milliseconds
	MaxMs   float64 `json:"maxMs"`   // highest latency in milliseconds
}

// Summary is the result of a load run.
type Summary struct {
	Rows    []Row `json:"rows"`    // sorted by team and name
	Lost    int   `json:"lost"`    // acknowledged writes that are not stored
	Doubled int   `json:"doubled"` // operations whose write is stored more than once
	Stale   int   `json:"stale"`   // reads that missed acknowledged writes of their session
	// Order is the result of CheckLinearizability: ok, broken, or open if the
	// check ran out of time.
	Order string `json:"order"`
}

// Violations returns the number of violated guarantees.
func (s Summary) Violations() int {
	n := s.Lost + s.Doubled + s.Stale
	if s.Order == "broken" {
		n++
	}
	return n
}

// run is the state of one load run.
type run struct {
	options Options
	mix     []MixEntry
	id      string // unique per run, so that runs on the same table do not interfere
	start   time.Time

	mu    sync.Mutex
	ops   []Op
	hist  map[[2]string]*hdrhistogram.Histogram // latencies in microseconds, by team and operation
	stale int                                   // number of reads that missed a write of their session
}

// Run sends the load and checks the recorded answers and the stored rows.
func Run(ctx context.Context, o Options) (Summary, error) {
	mix, err := Profile(o.Profile)
	if err != nil {
		return Summary{}, err
	}
	if len(o.URLs) == 0 || o.Callers < 1 {
		return Summary{}, errors.New("load requires at least one URL and at least one caller")
	}
	r := &run{options: o, mix: mix, id: uuid.NewString()[:8], hist: make(map[[2]string]*hdrhistogram.Histogram)}
	token, err := r.createTable(ctx)
	if err != nil {
		return Summary{}, err
	}
	r.start = time.Now()
	loadCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Go(func() { r.runCaller(loadCtx, i, token) })
	}
	if o.Progress != nil {
		wg.Go(func() { r.reportProgress(loadCtx) })
	}
	wg.Wait()
	return r.summarize(ctx)
}

// createTable creates the table and returns a session token that covers the
// statement, so that sessions started with the token see the table.
func (r *run) createTable(ctx context.Context) (string, error) {
	c, err := r.connectAny(ctx)
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, "CREATE TABLE IF NOT EXISTS load_gift (run TEXT, id TEXT, pot BIGINT, amount BIGINT)")
	return c.PgConn().ParameterStatus("pollendoor.session"), errors.Wrap(err, "create table")
}

// connectAny connects to the first URL that accepts a connection; some VMs may be
// down.
func (r *run) connectAny(ctx context.Context) (*pgx.Conn, error) {
	var lastErr error
	for _, u := range r.options.URLs {
		c, err := pgx.Connect(ctx, u)
		if err == nil {
			return c, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "no URL accepts a connection")
}

func (r *run) reportProgress(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.mu.Lock()
			n := len(r.ops)
			r.mu.Unlock()
			fmt.Fprintf(r.options.Progress, "%4.0f s  %d statements\n", time.Since(r.start).Seconds(), n)
		}
	}
}

// session is the state of one caller.
type session struct {
	run          *run
	number       int
	url          string
	team         string
	token        string
	conn         *pgx.Conn
	rand         *rand.Rand
	acknowledged map[int]int64 // number of acknowledged writes of this session, by counter
}

// runCaller runs operations until ctx ends. In open loop the first one is due at a
// random time within the interval, so that not all callers send at the same time.
func (r *run) runCaller(ctx context.Context, n int, token string) {
	text := r.options.URLs[n%len(r.options.URLs)]
	s := &session{run: r, number: n, url: text, token: token, acknowledged: make(map[int]int64), rand: rand.New(rand.NewPCG(r.options.Seed, uint64(n)))}
	if u, err := url.Parse(text); err == nil && u.User != nil {
		s.team, _, _ = strings.Cut(u.User.Username(), ".")
	}
	defer func() {
		if s.conn != nil {
			s.conn.Close(context.Background())
		}
	}()
	interval := time.Duration(0)
	if r.options.Rate > 0 {
		interval = time.Duration(float64(r.options.Callers) / r.options.Rate * float64(time.Second))
	}
	due := time.Now()
	if interval > 0 {
		due = due.Add(time.Duration(s.rand.Int64N(int64(interval))))
	}
	for ctx.Err() == nil {
		if interval == 0 {
			due = time.Now()
		} else if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		if ctx.Err() != nil {
			return
		}
		s.runOperation(due)
		due = due.Add(interval)
	}
}

// runOperation runs one randomly chosen operation. Its latency is measured from
// due.
func (s *session) runOperation(due time.Time) {
	entry := pick(s.run.mix, s.rand.IntN(totalWeight(s.run.mix)))
	op := Op{Caller: s.number, Team: s.team, Name: entry.Name, Kind: entry.Kind, Counter: s.rand.IntN(counters), StartUS: time.Since(s.run.start).Microseconds()}
	if entry.Kind == Insert || entry.Kind == InsertInTx {
		op.ID, op.Value = uuid.NewString(), 1
	}
	err := s.connect()
	if err == nil {
		err = s.execute(&op)
	}
	op.EndUS = time.Since(s.run.start).Microseconds()
	op.Outcome = outcomeOf(err)
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		op.Code = pe.Code
	}
	s.record(op, time.Since(due))
}

func outcomeOf(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return "ran"
	case errors.As(err, &pe) && strings.HasPrefix(pe.Detail, "outcome="):
		return strings.TrimPrefix(pe.Detail, "outcome=")
	case errors.As(err, &pe):
		return "notRun" // the target returned an error
	}
	return "unknown"
}

func (s *session) connect() error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	separator := "?"
	if strings.Contains(s.url, "?") {
		separator = "&"
	}
	c, err := pgx.Connect(context.Background(), s.url+separator+"pollendoor.session="+s.token)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return err
	}
	s.conn = c
	return nil
}

// totalQuery reads the value of a counter.
const totalQuery = "SELECT coalesce(sum(amount), 0) FROM load_gift WHERE run = $1 AND pot = $2"

// execute runs an operation and saves the session token.
func (s *session) execute(op *Op) error {
	ctx := context.Background()
	insert := "INSERT INTO load_gift VALUES ($1, $2, $3, 1)"
	var err error
	switch op.Kind {
	case Insert:
		_, err = s.conn.Exec(ctx, insert+" /*pollendoor.requestId='"+op.ID+"'*/", s.run.id, op.ID, op.Counter)
	case InsertInTx:
		err = pgx.BeginTxFunc(ctx, s.conn, pgx.TxOptions{BeginQuery: "BEGIN /*pollendoor.requestId='" + op.ID + "'*/"}, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, insert, s.run.id, op.ID, op.Counter)
			return err
		})
	case StaleRead:
		err = s.conn.QueryRow(ctx, totalQuery+" /*pollendoor.maxAge='5s'*/", s.run.id, op.Counter).Scan(&op.Value)
	case SessionRead:
		err = s.conn.QueryRow(ctx, totalQuery, s.run.id, op.Counter).Scan(&op.Value)
	case PrimaryRead:
		err = pgx.BeginFunc(ctx, s.conn, func(tx pgx.Tx) error {
			return tx.QueryRow(ctx, totalQuery, s.run.id, op.Counter).Scan(&op.Value)
		})
	}
	if t := s.conn.PgConn().ParameterStatus("pollendoor.session"); t != "" {
		s.token = t
	}
	return err
}

// record adds an operation to the history and checks a read against the session's own
// writes.
func (s *session) record(op Op, latency time.Duration) {
	stale := false
	if op.Outcome == "ran" {
		switch op.Kind {
		case Insert, InsertInTx:
			s.acknowledged[op.Counter]++
		default:
			stale = op.Value < s.acknowledged[op.Counter]
		}
	}
	r := s.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
	if stale {
		r.stale++
	}
	k := [2]string{op.Team, op.Name}
	if r.hist[k] == nil {
		r.hist[k] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	_ = r.hist[k].RecordValue(max(1, latency.Microseconds())) // the histogram keeps values up to one minute
	if r.options.History != nil {
		_ = json.NewEncoder(r.options.History).Encode(op) // the summary does not depend on the history file
	}
}

// summarize compares the history with the rows stored in the table.
func (r *run) summarize(ctx context.Context) (Summary, error) {
	s := Summary{Stale: r.stale, Order: CheckLinearizability(r.ops)}
	counts, err := r.countStored(ctx)
	if err != nil {
		return s, err
	}
	rows := make(map[[2]string]*Row)
	for _, op := range r.ops {
		k := [2]string{op.Team, op.Name}
		if rows[k] == nil {
			h := r.hist[k]
			rows[k] = &Row{Team: op.Team, Name: op.Name, P50Ms: ms(h, 50), P99Ms: ms(h, 99), MaxMs: ms(h, 100)}
		}
		switch op.Outcome {
		case "ran":
			rows[k].Done++
			if op.ID != "" && counts[op.ID] == 0 {
				s.Lost++
			}
		case "notRun":
			rows[k].NotRun++
		default:
			rows[k].Unknown++
		}
		if counts[op.ID] > 1 {
			s.Doubled++
		}
	}
	for _, row := range rows {
		s.Rows = append(s.Rows, *row)
	}
	sort.Slice(s.Rows, func(i, j int) bool {
		return s.Rows[i].Team+s.Rows[i].Name < s.Rows[j].Team+s.Rows[j].Name
	})
	return s, nil
}

// ms returns the given percentile of a histogram, 0 to 100, in milliseconds.
func ms(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// countStored reads at the primary how many rows each id has.
func (r *run) countStored(ctx context.Context) (map[string]int, error) {
	c, err := r.connectAny(ctx)
	if err != nil {
		return nil, err
	}
	defer c.Close(ctx)
	counts := make(map[string]int)
	err = pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
		rows, err := tx.Query(ctx, "SELECT id FROM load_gift WHERE run = $1", r.id)
		if err != nil {
			return err
		}
		defer rows.Close()
		for rows.Next() {
			var id string
			if err := rows.Scan(&id); err != nil {
				return err
			}
			counts[id]++
		}
		return rows.Err()
	})
	return counts, errors.Wrap(err, "read stored rows")
}
