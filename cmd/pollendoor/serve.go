package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/conf"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/node"
	"github.com/pollendoor/pollendoor/store"
	"github.com/pollendoor/pollendoor/tree"
)

// serveCmd runs the server of one VM.
type serveCmd struct {
	Settings string `required:"" type:"path" help:"The VM's settings file."`
}

// Run serves until SIGTERM or SIGINT, which starts a planned stop: the VM drains for
// at most the drain time.
func (c *serveCmd) Run() error {
	f, err := conf.Load(c.Settings)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	level, err := zerolog.ParseLevel(f.LogLevel)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "logLevel"), errUsage)
	}
	drainTime, err := time.ParseDuration(f.DrainTime)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "drainTime"), errUsage)
	}
	tlsConfig, err := f.Certificate()
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("vm", f.VM).Logger()
	n, err := node.Start(node.Options{
		VM:     pollendoor.VM{Name: f.VM, Zone: f.Zone},
		Listen: f.Listen, PeerListen: f.Peer, AdminListen: f.Admin,
		Store:      &store.Client{Base: f.Platform, VM: f.VM},
		PeerSecret: f.Secrets.Peers, AdminToken: f.Secrets.Admin, User: f.Secrets.User, Password: f.Secrets.Password,
		Connections: f.Connections, TLS: tlsConfig, RequireTLS: f.TLS.Required, Log: log,
	})
	if err != nil {
		return err
	}
	log.Info().Str("callers", n.Addr()).Str("operators", n.AdminAddr()).Msg("serving")
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, os.Interrupt)
	<-sig
	log.Info().Msg("planned stop")
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	go func() {
		<-sig // a second signal ends the drain at once
		cancel()
	}()
	n.Drain(ctx)
	return nil
}

// standinCmd runs a fake platform and fake targets for VMs in other processes.
type standinCmd struct {
	Platform string        `default:"127.0.0.1:8080" help:"Address of the object API."`
	Groups   []string      `default:"potes/potes-1" help:"Database groups; each is also the name of its route."`
	Zones    []string      `default:"lisboa-a,porto-a,faro-a" help:"Zones; each zone has one target of every group."`
	VMs      []string      `name:"vms" help:"VMs to list, as name,zone,peer address; separate several with ;." sep:";"`
	User     string        `default:"system" help:"The system's user at targets."`
	Password string        `default:"target-password" help:"The system's password at targets."`
	Lag      time.Duration `default:"0s" help:"Delay until reads at replicas see a commit."`
	Connect  time.Duration `default:"10ms" help:"Time that a new connection to a target takes."`
}

// Run serves the fake platform and targets until SIGTERM or SIGINT.
func (c *standinCmd) Run() error {
	var p fakes.Platform
	if err := p.Start(c.Platform); err != nil {
		return err
	}
	defer p.Stop()
	vms, err := parseVMs(c.VMs)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	p.SetVMs(vms)
	ctx := context.Background()
	s := &store.Client{Base: p.Addr()}
	for _, name := range c.Groups {
		g, err := fakes.StartGroup(name, c.Zones, fakes.TargetOptions{
			User: c.User, Password: c.Password, Slots: 3, Connections: 20, ConnectDelay: c.Connect, Lag: c.Lag,
		})
		if err != nil {
			return err
		}
		defer g.Stop()
		if err := g.Register(ctx, s); err != nil {
			return err
		}
		if _, err := tree.Accept(ctx, s, tree.Edit{Path: "/services/" + name, By: "standin"}); err != nil {
			return err
		}
		for _, t := range g.Targets {
			fmt.Printf("target %s of %s in %s at %s\n", t.Name(), name, t.Zone(), t.Addr())
		}
	}
	fmt.Printf("platform at %s\n", p.Addr())
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, os.Interrupt)
	<-sig
	return nil
}

func parseVMs(list []string) ([]pollendoor.VM, error) {
	var vms []pollendoor.VM
	for _, text := range list {
		f := splitComma(text)
		if len(f) != 3 {
			return nil, errors.Newf("VM %q does not have the form name,zone,peer address", text)
		}
		vms = append(vms, pollendoor.VM{Name: f[0], Zone: f[1], Peer: f[2]})
	}
	return vms, nil
}
