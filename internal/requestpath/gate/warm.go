package gate

import "context"

// KeepConnectionsWarm keeps connections to the backend server open until ctx
// ends, so that they are old enough to be used without a warm-up limit. The
// baseline policy opens connections only on demand.
func (g *Gate) KeepConnectionsWarm(ctx context.Context) {
	if g.opts.Policy == PolicyAdaptive {
		g.pool.KeepWarm(ctx)
	}
}
