package commander

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/presenter"
	"bramleyline.example/bramleyline/requester"
)

func (c *Commander) status() *ffcli.Command {
	r := c.newRemoteCommand("status", "status [key SERVICE KEY] [-json] -host ADDR -keyFile FILE")
	asJSON := r.flags.Bool("json", false, "write JSON for programs")
	return r.command("show the state of the deployment, or the owner of a key",
		"Shows the state of the deployment; alarms come first. \"status key SERVICE KEY\" shows who owns a key.",
		"bramleyline status -host 127.0.0.1:7104 -keyFile operator.key",
		func(ctx context.Context, client *requester.Requester, args []string) error {
			switch {
			case len(args) == 0:
				var s presenter.Status
				if err := client.Get(ctx, "/v1/status", &s); err != nil {
					return err
				}
				if *asJSON {
					return writeJSON(c.Stdout, &s)
				}
				return writeStatus(c.Stdout, &s)
			case len(args) == 3 && args[0] == "key":
				var k presenter.KeyStatus
				path := "/v1/status/key/" + url.PathEscape(args[1]) + "?key=" + url.QueryEscape(args[2])
				if err := client.Get(ctx, path, &k); err != nil {
					return err
				}
				if *asJSON {
					return writeJSON(c.Stdout, &k)
				}
				return writeKeyStatus(c.Stdout, &k)
			}
			return r.usageError()
		})
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write JSON")
}

func writeStatus(w io.Writer, s *presenter.Status) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "deployment %s, region %s, version %d (digest %s, from %s at %s)\n", orDash(s.Deployment),
		orDash(s.Region), s.Config.Version, orDash(s.Config.Digest), orDash(s.Config.Operator), formatTime(s.Config.At))
	fmt.Fprintf(tw, "control leader %s, answered by %s at log index %d\n", orDash(s.Leader), s.AnsweredBy, s.Index)
	for _, a := range s.Alarms {
		fmt.Fprintf(tw, "ALARM %s: %s\n", a.Name, a.Message)
	}
	if len(s.Alarms) == 0 {
		fmt.Fprintln(tw, "no alarms")
	}
	fmt.Fprintln(tw, "\nDATA CENTRE\tSTATE\tAUTHORITY\tIN SYNC\tTARGETS\tCHANGED")
	for _, dc := range s.DataCentres {
		state := "in service"
		if dc.Out {
			state = "out"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s\n", dc.Name, state, orDash(dc.Authority),
			orDash(strings.Join(dc.InSync, ",")), dc.Targets, formatChange(dc.ChangedBy, dc.ChangedAt))
	}
	fmt.Fprintln(tw, "\nHOST\tDATA CENTRE\tROLE\tSTATE\tVERSION\tIN FORCE FOR\tINDEX\tHEARD AGO")
	for _, h := range s.Hosts {
		if !h.Reachable {
			fmt.Fprintf(tw, "%s\t%s\t%s\tunreachable\t-\t-\t-\t-\n", h.Name, h.DataCentre, h.Role)
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\treachable\t%d\t%s\t%d\t%s\n", h.Name, h.DataCentre, h.Role, h.Version,
			formatMs(h.VersionAgeMs), h.Index, formatMs(h.HeardAgoMs))
	}
	fmt.Fprintln(tw, "\nSERVICE\tKIND\tTARGETS\tSLOTS\tWITHOUT OWNER\tHOT KEYS\tDELEGATED")
	for _, v := range s.Services {
		var parts []string
		for _, dc := range slices.Sorted(maps.Keys(v.Delegated)) {
			parts = append(parts, fmt.Sprintf("%s=%d", dc, v.Delegated[dc]))
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", v.Name, v.Kind, v.Targets, v.Slots, v.Unowned, v.HotKeys,
			orDash(strings.Join(parts, " ")))
	}
	fmt.Fprintln(tw, "\nTARGET\tSERVICE\tDATA CENTRE\tHOST\tSTATE\tSLOTS\tIN PROGRESS\tHEARD AGO\tREASON")
	for _, t := range s.Targets {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", t.Name, orDash(t.Service), orDash(t.DataCentre),
			orDash(t.Host), t.State, t.Slots, t.InFlight, formatMs(t.HeardAgoMs), targetReason(&t))
	}
	fmt.Fprintln(tw, "\nLEASE\tHOLDER\tDATA CENTRE\tSERVICE\tREMAINING")
	for _, l := range s.Leases {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", l.Kind, l.Holder, orDash(l.DataCentre), orDash(l.Service),
			formatMs(l.RemainingMs))
	}
	return errors.Wrap(tw.Flush(), "write status")
}

func writeKeyStatus(w io.Writer, k *presenter.KeyStatus) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	slot := fmt.Sprint(k.Slot)
	if k.HotKey {
		slot += ", hot key with an entry of its own"
	}
	dataCentre := orDash(k.DataCentre)
	if k.DataCentreOut {
		dataCentre += ", taken out"
	}
	fmt.Fprintf(tw, "service\t%s\nkey\t%s\nslot\t%s\ndata centre\t%s\n", k.Service, k.Key, slot, dataCentre)
	fmt.Fprintf(tw, "owner\t%s\nstate\t%s\ndispatching host\t%s\nepoch\t%s\n", cmp.Or(k.Target, "none"),
		strings.TrimSpace(orDash(k.TargetState)+" "+k.TargetReason), orDash(k.Host), k.Epoch)
	if k.HeldMs > 0 {
		fmt.Fprintf(tw, "held for\t%s, because the data centre is cut off\n", formatMs(k.HeldMs))
	}
	fmt.Fprintf(tw, "log index\t%d\n", k.Index)
	return errors.Wrap(tw.Flush(), "write status")
}

func targetReason(t *presenter.Target) string {
	if t.ChangedBy == "" {
		return orDash(t.Reason)
	}
	return t.Reason + ": " + formatChange(t.ChangedBy, t.ChangedAt)
}

func formatChange(by string, at time.Time) string {
	if by == "" {
		return "-"
	}
	return by + " at " + formatTime(at)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

func orDash(text string) string {
	return cmp.Or(text, "-")
}

// formatMs formats n milliseconds, rounded to whole seconds from 10 s on.
func formatMs(n int64) string {
	d := time.Duration(n) * time.Millisecond
	if d >= 10*time.Second {
		d = d.Round(time.Second)
	}
	return d.String()
}
