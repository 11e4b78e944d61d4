package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// The kinds of steps.
const (
	kindKill    = "kill"          // a host is killed and started again
	kindTerm    = "term"          // a host gets SIGTERM and is started again
	kindPause   = "pause"         // a host is stopped by SIGSTOP and continued
	kindSlow    = "slow"          // a host runs at a fifth of its speed
	kindWipe    = "wipe"          // a control host is killed, loses its disk and is started again
	kindKillAll = "killAll"       // all hosts are killed at once and started again
	kindSilence = "silence"       // all bytes to and from a host are dropped
	kindOneWay  = "oneWay"        // all bytes from a host are dropped
	kindRefuse  = "refuse"        // new connections to a host are refused
	kindDelay   = "delay"         // all bytes to and from a host are delayed
	kindReset   = "reset"         // open connections to a host are reset
	kindCutDC   = "cutDataCentre" // all bytes to and from a data centre are dropped
	kindTable   = "table"         // the operator submits a new table
	kindTakeout = "takeout"       // the operator takes a data centre out and restores it
	kindDrain   = "drain"         // a target is drained and replaced by its next incarnation
	kindCrash   = "crash"         // a target crashes and is replaced by its next incarnation
	kindBabble  = "babble"        // the bodies of a target have no end
	kindReload  = "reload"        // a host gets SIGHUP
	kindLimit   = "limit"         // a target states limits in its answers
	kindPoison  = "poison"        // callers send a request that crashes the targets that run it
	kindStrand  = "strand"        // an entry host loses its links to all targets
	// kindHoldUpdates holds back what an entry host hears from control hosts.
	kindHoldUpdates = "holdUpdates"
)

const (
	// minStepGap and maxStepGap bound the time between the beginnings of two steps. maxRandomDuration bounds the random
	// part of the duration of a step, which is added to 300 ms, so that several steps overlap. minStepGap is also the
	// interval of polls.
	minStepGap        = 200 * time.Millisecond
	maxStepGap        = 1500 * time.Millisecond
	maxRandomDuration = 3500 * time.Millisecond
	// minWipeGap is the least time between the losses of two disks, so that the new member of the control group has
	// caught up before the next disk is lost.
	minWipeGap = 8 * time.Second
	// controlHosts is the number of control hosts, one in each data centre.
	controlHosts = 4
	// meanExtraGap is the mean time between the steps that extraSteps draws, and meanLimitGap the same for limitSteps.
	meanExtraGap = 4 * time.Second
	meanLimitGap = 5 * time.Second
	// meanPoisonGap and meanStrandGap are the same for poisonSteps and strandSteps, and minPoisonTime is the least time for
	// which a poison request is sent: longer than the contact time.
	meanPoisonGap = 8 * time.Second
	meanStrandGap = 4 * time.Second
	minPoisonTime = 6 * time.Second
	// meanDepartureGap is the mean time between the steps that departureSteps draws, and minHoldTime the least time for which updates
	// are held back. A target drains in the first second of it, so the drain time ends before it does.
	meanDepartureGap = 4 * time.Second
	minHoldTime      = 3 * time.Second
	// minLimitTime is the least time for which a target states a limit: longer than the contact time and the window of the
	// rule together. It may be longer by maxRandomDuration.
	minLimitTime = 7500 * time.Millisecond
	// limitChanges is the number of limits that a target states one after the other.
	limitChanges = 2
)

// step is one fault or change. It begins at offset from the start of the plan and ends by itself after duration.
type step struct {
	offset time.Duration
	kind   string
	// subject is the name of the host, target or data centre, empty for a step that concerns the whole system.
	subject  string
	duration time.Duration
	// variant is the way in which a strand step cuts links.
	variant string
	// limits are the texts of the limits that a target states one after the other in a limit step.
	limits []string
}

func (s step) String() string {
	text := fmt.Sprintf("%6.2fs %-13s %-4s for %s", s.offset.Seconds(), s.kind, s.subject, s.duration.Round(10*time.Millisecond))
	if s.variant != "" {
		text += " " + s.variant
	}
	if len(s.limits) > 0 {
		text += fmt.Sprintf(" %q", s.limits)
	}
	return text
}

// plan is the steps of a run, ordered by offset. Steps overlap.
type plan []step

func (p plan) String() string {
	lines := make([]string, 0, len(p))
	for _, s := range p {
		lines = append(lines, s.String())
	}
	return strings.Join(lines, "\n")
}

// newPlan draws the steps of a run with the given numbers of entry hosts and targets. The same arguments give the same
// plan. The group of control hosts tolerates the loss of one disk at a time, so a wipe that would follow another within
// minWipeGap is replaced by a reload.
func newPlan(seed uint64, length time.Duration, entries, targets int) plan {
	rng := rand.New(rand.NewPCG(seed, 2))
	var p plan
	var lastWipe time.Duration = -minWipeGap
	for offset := maxStepGap; offset < length; offset += minStepGap + time.Duration(rng.Int64N(int64(maxStepGap-minStepGap))) {
		s := step{
			offset:   offset,
			duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(maxRandomDuration))),
		}
		host := hostName(rng.IntN(controlHosts + entries))
		switch rng.IntN(16) {
		case 0, 1:
			s.kind, s.subject = kindKill, host
		case 2, 3:
			s.kind, s.subject = kindTerm, host
		case 4, 5:
			s.kind, s.subject = kindPause, host
		case 6:
			s.kind, s.subject = kindWipe, hostName(rng.IntN(controlHosts))
			if offset-lastWipe < minWipeGap {
				s.kind = kindReload
			} else {
				lastWipe = offset
			}
		case 7:
			s.kind, s.duration = kindKillAll, s.duration/4
		case 8:
			s.kind, s.subject = []string{kindSilence, kindOneWay, kindRefuse}[rng.IntN(3)], host
		case 9:
			s.kind, s.subject = []string{kindDelay, kindReset}[rng.IntN(2)], host
		case 10:
			s.kind, s.subject = kindCutDC, dataCentreName(rng.IntN(dataCentres))
		case 11, 12:
			s.kind = kindTable
		case 13:
			s.kind, s.subject = kindTakeout, dataCentreName(rng.IntN(dataCentres))
		case 14:
			s.kind, s.subject = kindDrain, targetName(rng.IntN(targets))
		case 15:
			s.kind, s.subject = kindCrash, targetName(rng.IntN(targets))
		}
		p = append(p, s)
	}
	p = append(p, extraSteps(seed, length, entries, targets)...)
	p = append(p, limitSteps(seed, length, targets)...)
	p = append(p, poisonSteps(seed, length)...)
	p = append(p, strandSteps(seed, length, entries)...)
	p = append(p, departureSteps(seed, length, entries, targets)...)
	slices.SortStableFunc(p, func(a, b step) int { return cmp.Compare(a.offset, b.offset) })
	return p
}

// extraSteps draws the kinds of steps that were added later. It has a random source of its own, so that the other steps
// of recorded seeds stay the same.
func extraSteps(seed uint64, length time.Duration, entries, targets int) plan {
	rng := rand.New(rand.NewPCG(seed, 3))
	var p plan
	for offset := maxStepGap; offset < length; offset += time.Duration(rng.Int64N(int64(2 * meanExtraGap))) {
		s := step{
			offset:   offset,
			kind:     kindSlow,
			subject:  hostName(rng.IntN(controlHosts + entries)),
			duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(maxRandomDuration))),
		}
		if rng.IntN(2) == 0 {
			s.kind, s.subject = kindBabble, targetName(rng.IntN(targets))
		}
		p = append(p, s)
	}
	return p
}

// absurdLimits are texts that state no limit, or one that cannot be reached.
var absurdLimits = []string{"-1", "NaN", "1e300", "6.3.1", "much", "Inf", "6.5, x"}

// limitSteps draws the steps in which targets state limits, with a random source of its own. One in five limits is absurd.
func limitSteps(seed uint64, length time.Duration, targets int) plan {
	rng := rand.New(rand.NewPCG(seed, 4))
	var p plan
	for offset := maxStepGap; offset < length; offset += time.Duration(rng.Int64N(int64(2 * meanLimitGap))) {
		s := step{
			offset:   offset,
			kind:     kindLimit,
			subject:  targetName(rng.IntN(targets)),
			duration: minLimitTime + time.Duration(rng.Int64N(int64(maxRandomDuration))),
		}
		for range limitChanges {
			text := fmt.Sprintf("%.1f", rng.Float64()*12)
			if rng.IntN(5) == 0 {
				text = absurdLimits[rng.IntN(len(absurdLimits))]
			}
			s.limits = append(s.limits, text)
		}
		p = append(p, s)
	}
	return p
}

// poisonSteps draws the steps in which callers send a poison request, with a random source of its own.
func poisonSteps(seed uint64, length time.Duration) plan {
	rng := rand.New(rand.NewPCG(seed, 5))
	var p plan
	for offset := maxStepGap; offset < length; offset += time.Duration(rng.Int64N(int64(2 * meanPoisonGap))) {
		p = append(p, step{
			offset:   offset,
			kind:     kindPoison,
			duration: minPoisonTime + time.Duration(rng.Int64N(int64(maxRandomDuration))),
		})
	}
	return p
}

// The variants of a strand step: connections hang, new ones are refused, or open ones are reset besides.
const (
	variantHang   = "hang"
	variantRefuse = "refuse"
	variantReset  = "reset"
)

// strandSteps draws the steps in which entry hosts lose their links to targets, with a random source of its own. Several may
// be without links at the same time, also all.
func strandSteps(seed uint64, length time.Duration, entries int) plan {
	rng := rand.New(rand.NewPCG(seed, 6))
	var p plan
	for offset := maxStepGap; offset < length; offset += time.Duration(rng.Int64N(int64(2 * meanStrandGap))) {
		s := step{
			offset:   offset,
			kind:     kindStrand,
			duration: 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*maxRandomDuration))),
			variant:  []string{variantHang, variantRefuse, variantReset}[rng.IntN(3)],
		}
		first, n := rng.IntN(entries), 1+rng.IntN(entries)
		for i := range n {
			s.subject = hostName(controlHosts + (first+i)%entries)
			p = append(p, s)
		}
	}
	return p
}

// departureSteps draws the steps in which a target of the service without keys drains while one entry host or all of them hear nothing,
// with a random source of its own.
func departureSteps(seed uint64, length time.Duration, entries, targets int) plan {
	rng := rand.New(rand.NewPCG(seed, 7))
	var p plan
	for offset := maxStepGap; offset < length; offset += time.Duration(rng.Int64N(int64(2 * meanDepartureGap))) {
		hold := step{
			offset:   offset,
			kind:     kindHoldUpdates,
			duration: minHoldTime + time.Duration(rng.Int64N(int64(maxRandomDuration))),
		}
		first, n := rng.IntN(entries), 1
		if rng.IntN(4) == 0 {
			n = entries
		}
		for i := range n {
			hold.subject = hostName(controlHosts + (first+i)%entries)
			p = append(p, hold)
		}
		p = append(p, step{
			offset:   offset + time.Duration(rng.Int64N(int64(time.Second))),
			kind:     kindDrain,
			subject:  targetName(targets + rng.IntN(sharedTargets)),
			duration: time.Duration(rng.Int64N(int64(maxRandomDuration))),
		})
	}
	return p
}
