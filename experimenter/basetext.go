package experimenter

import (
	"fmt"
	"strings"
)

// baseText returns the base file of a deployment, with the settings in which it differs from the defaults. Variants
// differ only in maxBody of the shared services, which is larger by variant bytes; this has no effect on a run.
func baseText(s Setup, variant int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[deployment]\nname = %s\nregion = bench\n\n", s.Deployment)
	for _, dc := range s.DataCentres {
		fmt.Fprintf(&b, "[dataCentre %s]\n", dc)
	}
	for _, svc := range s.Services {
		fmt.Fprintf(&b, "\n[service %s]\n", svc.Name)
		if !svc.Keyed {
			fmt.Fprintf(&b, "kind = shared\ndeadline = %s\nmaxBody = %dB\n", svc.Deadline, svc.Limits.MaxBody+int64(variant))
			continue
		}
		fmt.Fprintf(&b, "kind = keyed\nkey = %s\nslots = %d\ndeadline = %s\ncutOffHold = %s\n", svc.KeySource, svc.Slots,
			svc.Deadline, svc.Ownership.CutOffHold)
		fmt.Fprintf(&b, "handoverWait = %s\nmoveBudget = %d\nmoveWindow = %s\n", svc.Ownership.HandoverWait,
			svc.Rebalance.MoveBudget, svc.Rebalance.MoveWindow)
		fmt.Fprintf(&b, "imbalanceHigh = %g\nimbalanceLow = %g\nchurnWeight = %g\n", svc.Rebalance.ImbalanceHigh,
			svc.Rebalance.ImbalanceLow, svc.Rebalance.ChurnWeight)
	}
	return b.String()
}
