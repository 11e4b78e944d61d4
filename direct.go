package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/committer"
	"bramleyline.example/bramleyline/director"
	"bramleyline.example/bramleyline/platform"
	"bramleyline.example/bramleyline/settingsreader"
)

const (
	// memoryShare is the share of the memory bound at which the garbage collector works as hard as it takes.
	memoryShare = 0.6
	// reloadInterval is the time between two looks at whether the settings file has changed.
	reloadInterval = 3 * time.Second
)

// serveDirect runs one host with direct dispatch until ctx ends, and stops it gracefully.
func serveDirect(ctx context.Context, settings settingsreader.Settings) error {
	if m := settings.Direct.Memory; m > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(m)))
	}
	targets := platform.NewTargets()
	d, err := director.New(settings, director.Dialect{
		Codec:       platform.Codec{},
		DecodeTable: platform.DecodeTable,
		ControlHandler: func(c *committer.Committer, l *log.Logger) http.Handler {
			return platform.Handler{
				Control: c,
				Log:     l,
			}.Routes()
		},
		Targets: targets,
		Prober:  targets,
	}, os.Stdout)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := d.Start(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	w := settingsWatch{
		file: settings.File,
	}
	w.changed()
	for {
		select {
		case <-ctx.Done():
			d.Stop()
			return nil
		case <-d.Failed():
			return errors.Wrap(d.Err(), "control log")
		case <-hangups:
			reload(d, settings.File)
		case <-ticker.C:
			if w.changed() {
				reload(d, settings.File)
			}
		}
	}
}

// reload takes over the settings file, unless it has findings.
func reload(d *director.Director, file string) {
	s, findings := settingsreader.Read(file)
	if len(findings) > 0 {
		d.Refuse(findings)
		return
	}
	d.Reload(s)
}

// settingsWatch finds out whether the settings file was replaced.
type settingsWatch struct {
	file string
	at   time.Time
	size int64
}

// changed reports whether the file differs from the last look. A file that cannot be looked at counts as unchanged.
func (w *settingsWatch) changed() bool {
	info, err := os.Stat(w.file)
	if err != nil {
		return false
	}
	at, size := info.ModTime(), info.Size()
	changed := !at.Equal(w.at) || size != w.size
	w.at, w.size = at, size
	return changed
}
