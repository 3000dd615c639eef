package gate

import "context"

// KeepWarm keeps connections to the backend server open and aged until ctx
// ends. The baseline policy has no use for them.
func (g *Gate) KeepWarm(ctx context.Context) {
	if g.opts.Policy == Adaptive {
		g.pool.KeepWarm(ctx)
	}
}
