package puller

import (
	"context"
	"net/netip"
)

// call pulls from s once. It returns errLate if nothing has arrived for stallTimeout longer than s may wait. The call goes on then: its
// answer may be held up by a congested link. Its late answer is taken, too, and ends the calls of other sources with errLateAnswer.
func (p *Puller) call(s Source) error {
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	late, result := make(chan struct{}), make(chan error, 1)
	p.calls.Go(func() {
		defer cancel()
		err := p.pull(ctx, s, func() { close(late) })
		result <- err
		select {
		case <-late:
			p.lateCallEnded(s, err)
		default:
		}
	})
	select {
	case err := <-result:
		return err
	case <-late:
		p.keepLate(s, cancel)
		return errLate
	case <-p.lateAnswer:
		return errLateAnswer
	}
}

// keepLate ends the earlier late call of s, if there is one: there is at most one for each source.
func (p *Puller) keepLate(s Source, cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earlier, ok := p.late[s.Addr]; ok {
		earlier()
	}
	if p.late == nil {
		p.late = make(map[netip.AddrPort]context.CancelFunc)
	}
	p.late[s.Addr] = cancel
}

// lateCallEnded takes s as the source again if its late call was answered.
func (p *Puller) lateCallEnded(s Source, err error) {
	if err != nil {
		return
	}
	counters.Add("lateAnswers", 1)
	p.mu.Lock()
	delete(p.late, s.Addr)
	delete(p.avoidedUntil, s.Addr)
	p.mu.Unlock()
	p.sourceAnswered(s)
	select {
	case p.lateAnswer <- struct{}{}:
	default:
	}
}
