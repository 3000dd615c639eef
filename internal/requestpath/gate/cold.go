package gate

import (
	"net/http"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// MarkBackendCold makes the limits treat the backend server as just started,
// for example after its failure domain was out.
func (g *Gate) MarkBackendCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.MarkCold(g.opts.Now())
}

// Refuse answers a request with the error kind, without a gate.
func Refuse(w http.ResponseWriter, kind errkind.Kind) {
	def := kind.Definition()
	w.Header().Set(OutcomeHeader, string(def.Outcome))
	w.Header().Set(ErrorHeader, def.Name)
	w.WriteHeader(def.HTTPStatus)
}
