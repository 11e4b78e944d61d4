package confirmer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against acknowledgements that do not wait for a reader in touch, or that wait for one that serves no more.
func TestReadersInTouchAreBehindUntilTheyConfirm(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	f := Confirmer{
		Lease: time.Second,
	}
	c.Check(f.Behind(now, 5), qt.HasLen, 0)
	f.Confirm(now, "a", 5)
	f.Confirm(now, "b", 4)
	f.Confirm(now, "c", 0)
	c.Check(f.Behind(now, 5), qt.DeepEquals, []string{"b", "c"})
	c.Check(f.Confirmed([]string{"a", "b", "other"}, 5), qt.DeepEquals, []string{"a"})
	f.Confirm(now, "b", 6)
	c.Check(f.Behind(now, 5), qt.DeepEquals, []string{"c"})
	f.Leave("c")
	c.Check(f.Behind(now, 5), qt.HasLen, 0)
	c.Check(f.Behind(now, 6), qt.DeepEquals, []string{"a"})
	c.Check(f.Behind(now.Add(1001*time.Millisecond), 6), qt.HasLen, 0)
}

// Guards against a reader that has started again and still counts with what its earlier process had.
func TestReaderThatStartsAgainIsBehind(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	var f Confirmer
	f.Confirm(now, "a", 9)
	f.Confirm(now, "a", 0)
	c.Check(f.Behind(now, 9), qt.DeepEquals, []string{"a"})
}

// Guards against a wait that misses a confirmation.
func TestConfirmationWakesUp(t *testing.T) {
	c := qt.New(t)
	var f Confirmer
	for name, change := range map[string]func(){
		"confirmation": func() { f.Confirm(time.Unix(100, 0), "a", 1) },
		"departure":    func() { f.Leave("a") },
	} {
		changed := f.Changed()
		select {
		case <-changed:
			c.Fatalf("%s: closed before", name)
		default:
		}
		change()
		<-changed
	}
}
