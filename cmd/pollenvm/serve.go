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
	// memoryLimitFraction is the soft memory limit of the Go runtime, above which it
	// collects garbage more often, as a fraction of the VM's memory.
	memoryLimitFraction = 0.6
	// gcPercent is the growth of the heap between garbage collections, in percent.
	// It is below Go's default of 100 because small heaps are cheap to collect.
	gcPercent = 60
	// exitMargin is the end of the grace period that is reserved for the process to
	// exit by itself.
	exitMargin = 400 * time.Millisecond
	// drainPollInterval is the interval at which a stopping VM checks whether its
	// sessions have ended.
	drainPollInterval = 20 * time.Millisecond
	// reloadInterval is the interval at which the settings file is checked for
	// changes that are not announced by a signal.
	reloadInterval = 2 * time.Second
	// scrapeReadTimeout bounds the time to read the header of a request for metrics.
	scrapeReadTimeout = 2 * time.Second
)

// serve is the command that runs a VM.
type serve struct {
	Settings string `env:"POLLENDOOR_NODE_FILE" default:"/etc/pollendoor/settings.yaml" type:"path" help:"Settings file."`
}

// Run serves callers until SIGTERM or SIGINT, which begin a planned stop, or until a part
// of the VM fails. Each signal from hangups reloads the settings.
func (s *serve) Run(hangups chan os.Signal) error {
	settings, err := fleet.Load(s.Settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return errors.Wrap(err, "logLevel")
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Str("vm", settings.VM).Logger()
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB<<20)))
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	vm := &fleet.VM{Settings: settings, Log: log, Platform: platform.Connect(settings.Store, settings.Cloud, log)}
	memory := caller.NewMemory(settings.MemoryMB << 20)
	server := &platform.LineServer{
		Sessions: caller.Sessions{Cluster: vm, Memory: memory}, Log: log,
		TxIdle: func() time.Duration {
			if c := vm.Config(); c != nil {
				return c.TxIdle
			}
			return 0
		},
	}
	vm.ConfigChanged = func() {
		if n := server.CloseExpired(); n > 0 {
			log.Info().Int("sessions", n).Msg("sessions closed whose key or route is gone")
		}
	}
	l, err := platform.Listen(ctx, settings.Callers)
	if err != nil {
		return err
	}
	log.Info().Str("zone", settings.Zone).Str("callers", settings.Callers).Msg("start")
	errs := make(chan error, 3)
	go func() { errs <- vm.Run(ctx) }()
	go func() { errs <- platform.ServeReady(ctx, settings.Ready, vm.Ready) }()
	go func() { errs <- serveMetrics(ctx, settings.Metrics, vm, memory) }()
	go server.Serve(l)
	go s.reload(ctx, hangups, settings, log)

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-errs:
		return err
	case <-signals:
	}
	log.Info().Int("sessions", server.Len()).Msg("stop requested")
	drain(vm, server, settings.Grace())
	l.Close()
	stop()
	log.Info().Int("sessions", server.Len()).Msg("stop")
	return nil
}

// drain hands this VM's responsibilities over to other VMs and ends its sessions: idle
// ones immediately, those in a transaction when it ends, at the latest with the first
// statement that ends in the second half of the grace period. The same holds for sessions
// of other VMs at this VM's targets. It returns exitMargin before the period is over, even
// if the handover hangs.
func drain(vm *fleet.VM, server *platform.LineServer, grace time.Duration) {
	start := time.Now()
	server.Drain()
	left := make(chan struct{})
	go func() {
		defer close(left)
		vm.Leave(context.Background())
	}()
	transactionsEnded := false
	for time.Since(start) < grace-exitMargin {
		remote := vm.RemoteSessions()
		if transactionsEnded {
			remote = vm.RemoteStatements()
		}
		if isClosed(left) && server.Len() == 0 && remote == 0 {
			return
		}
		time.Sleep(drainPollInterval)
		if !transactionsEnded && time.Since(start) > grace/2 {
			transactionsEnded = true
			server.EndTransactions()
			vm.EndRemoteWork()
		}
	}
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// reload reads the settings file again on SIGHUP and when the file has changed. Only the
// log level is applied: moving a listener would close its callers' connections.
func (s *serve) reload(ctx context.Context, hangups <-chan os.Signal, settings fleet.Settings, log zerolog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastInfo, _ := os.Stat(s.Settings)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			log.Info().Msg("reload requested")
		case <-ticker.C:
			info, err := os.Stat(s.Settings)
			if err != nil || lastInfo != nil && info.ModTime().Equal(lastInfo.ModTime()) {
				continue
			}
			lastInfo = info
		}
		next, err := fleet.Load(s.Settings)
		if err != nil {
			log.Error().Err(err).Msg("settings rejected, previous settings stay in effect")
			continue
		}
		if level, err := zerolog.ParseLevel(next.LogLevel); err == nil {
			zerolog.SetGlobalLevel(level)
		}
		log.Info().Bool("listenersMoved", next.Callers != settings.Callers || next.Ready != settings.Ready).Msg("settings reloaded")
	}
}

// serveMetrics serves counters and histograms as text at addr until ctx ends.
func serveMetrics(ctx context.Context, addr string, vm *fleet.VM, memory *caller.Memory) error {
	l, err := platform.Listen(ctx, addr)
	if err != nil {
		return errors.Wrap(err, "metrics")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		// A scraper that disconnects early is not an error.
		_ = vm.WriteMetrics(w)
		_ = memory.WriteMetrics(w)
	})
	m := &http.Server{Handler: mux, ReadHeaderTimeout: scrapeReadTimeout}
	stop := context.AfterFunc(ctx, func() { m.Close() })
	defer stop()
	if err := m.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "metrics")
	}
	return nil
}
