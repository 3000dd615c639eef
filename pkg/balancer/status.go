package balancer

import (
	"context"

	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/operators/statuscall"
)

// answerStatus answers status.get for the fleet. Its error has kind NotFound.
func (b *Balancer) answerStatus(ctx context.Context, req peer.StatusRequest) (any, error) {
	return statuscall.Fleet{Node: b.node, Now: b.now}.Answer(ctx, req)
}
