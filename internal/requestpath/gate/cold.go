package gate

import (
	"net/http"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// ColdStart treats the backend server as freshly started, as after its failure
// domain was out.
func (g *Gate) ColdStart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.ColdSign(g.opts.Now())
}

// Refuse answers a request that no gate can take with the answer of kind.
func Refuse(w http.ResponseWriter, kind errkind.Kind) {
	answer := kind.Answer()
	w.Header().Set(OutcomeHeader, string(answer.Outcome))
	w.Header().Set(ErrorHeader, answer.Name)
	w.WriteHeader(answer.HTTPStatus)
}
