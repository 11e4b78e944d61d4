package checker

import (
	"testing"

	"bramleyline.example/bramleyline/parser"
)

// FuzzCheck guards against text that crashes the host that checks it, and against a configuration that passes the check
// but violates a limit on which the rest of the program relies.
func FuzzCheck(f *testing.F) {
	f.Add("[deployment]\nname=n\nregion=r\n[dataCentre a]\n[service s]\nkind=shared\n", "[service s]\nqueueLimit=1\n")
	f.Add("[deployment]\nname=n\nregion=r\n[dataCentre a]\n[service s]\nkind=keyed\nkey=path:1\nslots=1\nmoveBudget=1\n",
		"[service s]\nimbalanceHigh=1e2\nchurnWeight=1e-3\n[timing]\nheartbeat=1h")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		report := Checker{}.Check(parser.Source{Name: "base.ini", Text: base}, []parser.Source{
			{Name: "a.ini", Text: overlay},
		})
		for _, cfg := range report.Configs {
			if cfg.Timing.DispatchLease <= 2*cfg.Timing.Heartbeat || len(cfg.Services) == 0 {
				t.Fatalf("accepted %+v", cfg)
			}
			for _, s := range cfg.Services {
				l := s.Limits
				if min(l.TargetSlots, l.TargetConnections, l.QueueLimit, l.ColdAllowance, l.WarmStep, l.WarmCeiling) < 1 ||
					s.Slots < 1 || s.Deadline <= 0 || s.Keyed && s.Ownership.CutOffHold < cfg.Timing.AuthorityLease {
					t.Fatalf("accepted %+v", s)
				}
			}
		}
	})
}
