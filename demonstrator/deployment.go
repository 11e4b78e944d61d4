// Package demonstrator is the self-contained demo of the router. It runs a small deployment in one process on loopback:
// entry hosts in two data centres, emulated targets and callers.
package demonstrator

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/server"
	"bramleyline.example/bramleyline/settingsreader"
)

// The demo's keys need not be secret, because everything runs in one process on loopback.
const (
	systemKey   = "demo-system-key-0000"
	targetKey   = "demo-target-key-0000"
	operatorKey = "demo-operator-key-00"
)

const (
	keyedTargetsPerDC  = 4
	sharedTargetsPerDC = 2
	hostsPerDC         = 2
)

// baseText is the base file of the demo's configuration. The lease times keep their defaults.
const baseText = `[deployment]
name = demo
region = loopback

[timing]
balancerWait = 200ms
stopWait = 5s

[dataCentre north]
[dataCentre south]

[service tally]
kind = keyed
key = path:1
slots = 256
cutOffHold = 1m

[service payroll]
kind = shared
`

func dataCentres() []string {
	return []string{"north", "south"}
}

// deployment holds the hosts and targets of the running demo, and the folder with the data of its control hosts.
type deployment struct {
	folder  string
	servers []*server.Server
	targets []*emulator.Emulator
}

// start starts the hosts, stores the configuration and starts the targets.
func (d *deployment) start(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "bramleyline-demo-")
	if err != nil {
		return errors.Wrap(err, "make data folder")
	}
	d.folder = folder
	if err := d.startHosts(); err != nil {
		return err
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	return d.startTargets()
}

func (d *deployment) startHosts() error {
	voters := make(map[string]netip.AddrPort)
	for _, dc := range dataCentres() {
		for i := range hostsPerDC {
			name := dc + "-" + string(rune('1'+i))
			// Three of the four hosts are voters, so that the control group survives the loss of one.
			control := len(voters) < 3
			s, err := server.New(d.settings(name, dc, control))
			if err != nil {
				return errors.Wrapf(err, "host %s", name)
			}
			d.servers = append(d.servers, s)
			if control {
				voters[name] = s.ListenAddrs().RPC
			}
		}
	}
	for _, s := range d.servers {
		s.Join(voters)
		if err := s.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) settings(name, dc string, control bool) settingsreader.Settings {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s := settingsreader.Settings{
		Name:       name,
		DataCentre: dc,
		Roles: settingsreader.Roles{
			Entry:   true,
			Control: control,
		},
		LogLevel:  "error",
		LogFormat: "text",
		Listen: settingsreader.Listen{
			Caller:   anyPort,
			Peer:     anyPort,
			RPC:      anyPort,
			Announce: anyPort,
			Operator: anyPort,
		},
		Keys: settingsreader.Keys{
			System:   systemKey,
			Target:   targetKey,
			Operator: operatorKey,
		},
	}
	if control {
		s.DataFolder = filepath.Join(d.folder, name)
	}
	return s
}

// configure stores the demo's configuration as version 1.
func (d *deployment) configure(ctx context.Context) error {
	result, err := d.servers[0].Propose(ctx, applier.Command{
		RequestID: "demo-configuration",
		PutConfig: &applier.PutConfigMsg{
			Digest:   merger.Digest(baseText, nil),
			Operator: "demo",
			At:       time.Now(),
			Base:     baseText,
		},
	})
	if err != nil {
		return errors.Wrap(err, "store configuration")
	}
	if result.Rejection != "" {
		return errors.Errorf("configuration refused: %s", result.Rejection)
	}
	return nil
}

func (d *deployment) startTargets() error {
	for i, dc := range dataCentres() {
		var announce []netip.AddrPort
		for _, s := range d.servers[i*hostsPerDC : (i+1)*hostsPerDC] {
			announce = append(announce, s.ListenAddrs().Announce)
		}
		for service, count := range map[string]int{"tally": keyedTargetsPerDC, "payroll": sharedTargetsPerDC} {
			for n := range count {
				e := emulator.New(emulator.Options{
					Name:       service + "-" + dc + "-" + string(rune('1'+n)),
					Service:    service,
					DataCentre: dc,
					Token:      targetKey,
					Announce:   announce,
					Seed:       uint64(len(d.targets) + 1),
				})
				if err := e.Start(); err != nil {
					return errors.Wrapf(err, "target %s", e.Name())
				}
				d.targets = append(d.targets, e)
			}
		}
	}
	return nil
}

// stop ends the deployment gracefully, hosts before targets, and removes its data folder.
func (d *deployment) stop(ctx context.Context) error {
	var failure error
	for _, s := range d.servers {
		if err := s.Stop(ctx); err != nil && failure == nil {
			failure = err
		}
	}
	for _, e := range d.targets {
		_ = e.Close()
	}
	if err := os.RemoveAll(d.folder); err != nil && failure == nil {
		failure = errors.Wrap(err, "remove data folder")
	}
	return failure
}
