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
	// softMemoryShare is the soft memory limit of the Go runtime as a share of the memory bound in the settings. Near the
	// soft limit, the garbage collector runs as often as it takes to stay below it.
	softMemoryShare = 0.6
	// reloadInterval is the time between two checks of whether the settings file has changed.
	reloadInterval = 3 * time.Second
)

// serveDirect runs one host with direct dispatch until ctx ends, and stops it gracefully.
func serveDirect(ctx context.Context, settings settingsreader.Settings) error {
	if m := settings.Direct.Memory; m > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(m)))
	}
	targets := platform.NewTargets()
	d, err := director.New(settings, director.Protocol{
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
	w := settingsWatcher{
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

// reload reads the settings file and applies the settings that may change while the host runs. A file with findings is
// refused as a whole.
func reload(d *director.Director, file string) {
	s, findings := settingsreader.Read(file)
	if len(findings) > 0 {
		d.LogRejectedSettings(findings)
		return
	}
	d.Reload(s)
}

// settingsWatcher detects changes of the settings file by its modification time and size.
type settingsWatcher struct {
	file    string
	modTime time.Time
	size    int64
}

// changed reports whether the file has changed since the last call. A file whose state cannot be read counts as
// unchanged.
func (w *settingsWatcher) changed() bool {
	info, err := os.Stat(w.file)
	if err != nil {
		return false
	}
	modTime, size := info.ModTime(), info.Size()
	changed := !modTime.Equal(w.modTime) || size != w.size
	w.modTime, w.size = modTime, size
	return changed
}
