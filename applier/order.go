package applier

// Supersedes reports whether c decides on the subject of an earlier order. Orders to take a data centre or a target out of
// service, to restore it, and to drain a target carry neither a number nor a time, so one that is carried out late must not
// undo c. The announcement of a target supersedes an order to drain it: a new process may have taken its ID.
func (c Command) Supersedes(order Command) bool {
	switch {
	case order.SetService != nil:
		return c.SetService != nil && c.SetService.DataCentre == order.SetService.DataCentre &&
			c.SetService.Target == order.SetService.Target
	case order.Registry != nil && order.Registry.Drain != nil:
		return c.Registry != nil && c.Registry.Announce != nil && c.Registry.Announce.ID == order.Registry.Drain.ID
	}
	return false
}
