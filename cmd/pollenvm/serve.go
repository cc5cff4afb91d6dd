package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor/caller"
	"github.com/pollendoor/pollendoor/fleet"
	"github.com/pollendoor/pollendoor/logs"
	"github.com/pollendoor/pollendoor/platform"
)

const (
	// memoryPart is the part of the memory limit at which garbage collection
	// works harder.
	memoryPart = 0.6
	// gcPercent lets the heap grow by so much between collections: small heaps
	// make them cheap.
	gcPercent = 60
	// exitSlack is left of the grace period for the process to end by itself.
	exitSlack = 400 * time.Millisecond
	// drainPoll is how often a stopping VM looks whether its sessions have ended.
	drainPoll = 20 * time.Millisecond
	// reloadPeriod is how often the settings file is looked at, for changes that
	// come without a signal.
	reloadPeriod = 2 * time.Second
	// scrapeTimeout bounds the reading of a request for metrics.
	scrapeTimeout = 2 * time.Second
)

// serve runs a VM.
type serve struct {
	Settings string `env:"POLLENDOOR_NODE_FILE" default:"/etc/pollendoor/settings.yaml" type:"path" help:"Settings file."`
}

// Run serves until the VM is stopped.
func (s *serve) Run() error {
	set, err := fleet.Load(s.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		return errors.Wrap(err, "logLevel")
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Str("vm", set.VM).Logger()
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(set.MemoryMB<<20)))
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	vm := &fleet.VM{Settings: set, Log: log, Platform: platform.Connect(set.Store, set.Cloud, log)}
	front := &platform.Front{
		Sessions: caller.Sessions{Cluster: vm}, Log: log,
		TxIdle: func() time.Duration {
			if c := vm.Config(); c != nil {
				return c.TxIdle
			}
			return 0
		},
	}
	vm.ConfigChanged = func() {
		if n := front.CloseExpired(); n > 0 {
			log.Info().Int("sessions", n).Msg("sessions closed whose key or route is gone")
		}
	}
	l, err := platform.Listen(ctx, set.Callers)
	if err != nil {
		return err
	}
	log.Info().Str("zone", set.Zone).Str("callers", set.Callers).Msg("start")
	failed := make(chan error, 3)
	go func() { failed <- vm.Run(ctx) }()
	go func() { failed <- platform.ServeReady(ctx, set.Ready, vm.Ready) }()
	go func() { failed <- serveMetrics(ctx, set.Metrics, vm) }()
	go front.Serve(l)
	go s.reload(ctx, set, log)

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return err
	case <-signals:
	}
	log.Info().Int("sessions", front.Len()).Msg("stop asked for")
	drain(vm, front, set.Grace())
	l.Close()
	stop()
	log.Info().Int("sessions", front.Len()).Msg("stop")
	return nil
}

// drain hands this VM's part over and ends the sessions: idle ones now, those in a
// transaction when it ends or after half of the grace period. The same holds for
// turns that other VMs have under way here.
func drain(vm *fleet.VM, front *platform.Front, grace time.Duration) {
	begin := time.Now()
	front.Drain()
	vm.Leave(context.Background())
	ended := false
	for time.Since(begin) < grace-exitSlack && (front.Len() > 0 || vm.RemoteSessions() > 0 && !ended) {
		time.Sleep(drainPoll)
		if !ended && time.Since(begin) > grace/2 {
			ended = true
			front.EndTransactions()
		}
	}
}

// reload follows changes of the settings file, by SIGHUP or without. What is in
// use stays so: a listener that moved would cut its callers.
func (s *serve) reload(ctx context.Context, set fleet.Settings, log zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	seen, _ := os.Stat(s.Settings)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info().Msg("reload asked for")
		case <-tick.C:
			now, err := os.Stat(s.Settings)
			if err != nil || seen != nil && now.ModTime().Equal(seen.ModTime()) {
				continue
			}
			seen = now
		}
		next, err := fleet.Load(s.Settings)
		if err != nil {
			log.Error().Err(err).Msg("settings refused, those before stay in force")
			continue
		}
		if level, err := zerolog.ParseLevel(next.LogLevel); err == nil {
			zerolog.SetGlobalLevel(level)
		}
		log.Info().Bool("listenersMoved", next.Callers != set.Callers || next.Ready != set.Ready).Msg("settings read again")
	}
}

// serveMetrics serves counters and histograms as text.
func serveMetrics(ctx context.Context, addr string, vm *fleet.VM) error {
	l, err := platform.Listen(ctx, addr)
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		// A scraper that leaves early is no matter.
		_ = vm.WriteMetrics(w)
	})
	m := &http.Server{Handler: mux, ReadHeaderTimeout: scrapeTimeout}
	stop := context.AfterFunc(ctx, func() { m.Close() })
	defer stop()
	if err := m.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "metrics")
	}
	return nil
}
