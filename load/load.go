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

// pots is how many totals the load is spread over.
const pots = 16

// Options says what load to send.
type Options struct {
	URLs     []string // one for each VM and team; callers take them in turn
	Profile  string
	Callers  int
	Rate     float64 // statements a second of all callers; zero for closed loop
	Duration time.Duration
	Seed     uint64
	History  io.Writer // takes one line for each operation; nil for none
	Progress io.Writer // takes a line each second; nil for none
}

// Op is one operation as its caller saw it, for the recorded history.
type Op struct {
	Caller  int    `json:"caller"`
	Team    string `json:"team"`
	Name    string `json:"name"`
	Kind    Kind   `json:"kind"`
	Pot     int    `json:"pot"`
	ID      string `json:"id,omitempty"`
	Value   int64  `json:"value"` // read, or added
	StartUS int64  `json:"startUs"`
	EndUS   int64  `json:"endUs"`
	Outcome string `json:"outcome"` // ran, notRun or unknown
	Code    string `json:"code,omitempty"`
}

// Row is the figures of one kind of statement of one team.
type Row struct {
	Team    string  `json:"team"`
	Name    string  `json:"name"`
	Done    int64   `json:"done"`
	NotRun  int64   `json:"notRun"`
	Unknown int64   `json:"unknown"`
	P50Ms   float64 `json:"p50Ms"`
	P99Ms   float64 `json:"p99Ms"`
	MaxMs   float64 `json:"maxMs"`
}

// Summary is the outcome of a load.
type Summary struct {
	Rows    []Row `json:"rows"`
	Lost    int   `json:"lost"`
	Doubled int   `json:"doubled"`
	Stale   int   `json:"stale"`
	// Order tells whether adds and totals fit one order for each pot: ok,
	// broken, or open if that was not found out in time.
	Order string `json:"order"`
}

// Violations returns how many promises were broken.
func (s Summary) Violations() int {
	n := s.Lost + s.Doubled + s.Stale
	if s.Order == "broken" {
		n++
	}
	return n
}

type run struct {
	opt   Options
	mix   []Step
	id    string // of this run, so that runs do not meet
	start time.Time

	mu    sync.Mutex
	ops   []Op
	hist  map[[2]string]*hdrhistogram.Histogram
	stale int
}

// Run sends the load and checks what came of it.
func Run(ctx context.Context, o Options) (Summary, error) {
	mix, err := Profile(o.Profile)
	if err != nil {
		return Summary{}, err
	}
	if len(o.URLs) == 0 || o.Callers < 1 {
		return Summary{}, errors.New("load wants an address and at least one caller")
	}
	r := &run{opt: o, mix: mix, id: uuid.NewString()[:8], hist: make(map[[2]string]*hdrhistogram.Histogram)}
	token, err := r.setUp(ctx)
	if err != nil {
		return Summary{}, err
	}
	r.start = time.Now()
	timed, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Go(func() { r.caller(timed, i, token) })
	}
	if o.Progress != nil {
		wg.Go(func() { r.progress(timed) })
	}
	wg.Wait()
	return r.summary(ctx)
}

// setUp creates the table and returns a token that covers it.
func (r *run) setUp(ctx context.Context) (string, error) {
	c, err := r.connectAny(ctx)
	if err != nil {
		return "", err
	}
	defer c.Close(ctx)
	_, err = c.Exec(ctx, "CREATE TABLE IF NOT EXISTS load_gift (run TEXT, id TEXT, pot BIGINT, amount BIGINT)")
	return c.PgConn().ParameterStatus("pollendoor.session"), errors.Wrap(err, "create table")
}

// connectAny connects to the first address that takes it: some may be lost.
func (r *run) connectAny(ctx context.Context) (*pgx.Conn, error) {
	var failed error
	for _, u := range r.opt.URLs {
		c, err := pgx.Connect(ctx, u)
		if err == nil {
			return c, nil
		}
		failed = err
	}
	return nil, errors.Wrap(failed, "no address takes a connection")
}

func (r *run) progress(ctx context.Context) {
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
			fmt.Fprintf(r.opt.Progress, "%4.0f s  %d statements\n", time.Since(r.start).Seconds(), n)
		}
	}
}

// session is one caller's state.
type session struct {
	run   *run
	n     int
	url   string
	team  string
	token string
	conn  *pgx.Conn
	rand  *rand.Rand
	own   map[int]int64 // what this session has added, by pot
}

func (r *run) caller(ctx context.Context, n int, token string) {
	text := r.opt.URLs[n%len(r.opt.URLs)]
	s := &session{run: r, n: n, url: text, token: token, own: make(map[int]int64), rand: rand.New(rand.NewPCG(r.opt.Seed, uint64(n)))}
	if u, err := url.Parse(text); err == nil && u.User != nil {
		s.team, _, _ = strings.Cut(u.User.Username(), ".")
	}
	defer func() {
		if s.conn != nil {
			s.conn.Close(context.Background())
		}
	}()
	every := time.Duration(0)
	if r.opt.Rate > 0 {
		every = time.Duration(float64(r.opt.Callers) / r.opt.Rate * float64(time.Second))
	}
	due := time.Now()
	if every > 0 {
		due = due.Add(time.Duration(s.rand.Int64N(int64(every))))
	}
	for ctx.Err() == nil {
		if every == 0 {
			due = time.Now()
		} else if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		if ctx.Err() != nil {
			return
		}
		s.step(due)
		due = due.Add(every)
	}
}

// step runs one operation that was due at the given time.
func (s *session) step(due time.Time) {
	st := choose(s.run.mix, s.rand.IntN(weights(s.run.mix)))
	op := Op{Caller: s.n, Team: s.team, Name: st.Name, Kind: st.Kind, Pot: s.rand.IntN(pots), StartUS: time.Since(s.run.start).Microseconds()}
	if st.Kind == Add || st.Kind == Confirm {
		op.ID, op.Value = uuid.NewString(), 1
	}
	err := s.connect()
	if err == nil {
		err = s.perform(&op)
	}
	op.EndUS = time.Since(s.run.start).Microseconds()
	op.Outcome = outcome(err)
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		op.Code = pe.Code
	}
	s.note(op, time.Since(due))
}

func outcome(err error) string {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return "ran"
	case errors.As(err, &pe) && strings.HasPrefix(pe.Detail, "outcome="):
		return strings.TrimPrefix(pe.Detail, "outcome=")
	case errors.As(err, &pe):
		return "notRun" // the target refused it
	}
	return "unknown"
}

func (s *session) connect() error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	sep := "?"
	if strings.Contains(s.url, "?") {
		sep = "&"
	}
	c, err := pgx.Connect(context.Background(), s.url+sep+"pollendoor.session="+s.token)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return err
	}
	s.conn = c
	return nil
}

const totalQuery = "SELECT coalesce(sum(amount), 0) FROM load_gift WHERE run = $1 AND pot = $2"

func (s *session) perform(op *Op) error {
	ctx := context.Background()
	insert := "INSERT INTO load_gift VALUES ($1, $2, $3, 1)"
	var err error
	switch op.Kind {
	case Add:
		_, err = s.conn.Exec(ctx, insert+" /*pollendoor.requestId='"+op.ID+"'*/", s.run.id, op.ID, op.Pot)
	case Confirm:
		err = pgx.BeginTxFunc(ctx, s.conn, pgx.TxOptions{BeginQuery: "BEGIN /*pollendoor.requestId='" + op.ID + "'*/"}, func(tx pgx.Tx) error {
			_, err := tx.Exec(ctx, insert, s.run.id, op.ID, op.Pot)
			return err
		})
	case Page:
		err = s.conn.QueryRow(ctx, totalQuery+" /*pollendoor.maxAge='5s'*/", s.run.id, op.Pot).Scan(&op.Value)
	case Fresh:
		err = s.conn.QueryRow(ctx, totalQuery, s.run.id, op.Pot).Scan(&op.Value)
	case Total:
		err = pgx.BeginFunc(ctx, s.conn, func(tx pgx.Tx) error {
			return tx.QueryRow(ctx, totalQuery, s.run.id, op.Pot).Scan(&op.Value)
		})
	}
	if t := s.conn.PgConn().ParameterStatus("pollendoor.session"); t != "" {
		s.token = t
	}
	return err
}

func (s *session) note(op Op, latency time.Duration) {
	stale := false
	if op.Outcome == "ran" {
		switch op.Kind {
		case Add, Confirm:
			s.own[op.Pot]++
		default:
			stale = op.Value < s.own[op.Pot]
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
	_ = r.hist[k].RecordValue(max(1, latency.Microseconds())) // a minute is the most that is kept
	if r.opt.History != nil {
		_ = json.NewEncoder(r.opt.History).Encode(op) // the summary does not depend on it
	}
}

// summary checks the history against what is in the table.
func (r *run) summary(ctx context.Context) (Summary, error) {
	s := Summary{Stale: r.stale, Order: Order(r.ops)}
	counts, err := r.stored(ctx)
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

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// stored reads at the primary how often each id is there.
func (r *run) stored(ctx context.Context) (map[string]int, error) {
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
	return counts, errors.Wrap(err, "check")
}
