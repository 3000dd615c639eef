package gate

import "context"

// KeepWarm keeps connections to the backend server open until ctx ends, so that
// they are old enough to be used without a warm-up limit. The baseline policy
// opens connections only on demand.
func (g *Gate) KeepWarm(ctx context.Context) {
	if g.opts.Policy == Adaptive {
		g.pool.KeepWarm(ctx)
	}
}
