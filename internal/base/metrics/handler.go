package metrics

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Health returns nil if the process can serve, or else the error that prevents
// it.
type Health func() error

// HealthResponse is the JSON body of a response to /healthz.
type HealthResponse struct {
	Healthy bool   `json:"healthy"`
	Kind    string `json:"kind,omitempty"` // name of the error kind
	Reason  string `json:"reason,omitempty"`
}

// Handler serves the ops endpoint: /metrics as JSON, or in the text exposition
// format if the request accepts text/plain, and /healthz with status 200 or 503.
func Handler(r *Registry, health Health) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		serveHealth(w, health())
	})
	return mux
}

func (r *Registry) serveMetrics(w http.ResponseWriter, req *http.Request) {
	if strings.Contains(req.Header.Get("Accept"), "text/plain") {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = r.WriteText(w) // ignored: a failed write means that the client has disconnected
		return
	}
	serveJSON(w, http.StatusOK, r.underlying)
}

// TextHandler serves /metrics in the text exposition format. It calls
// updateGauges before each response.
func (r *Registry) TextHandler(updateGauges func()) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		updateGauges()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = r.WriteText(w) // ignored: a failed write means that the client has disconnected
	})
	return mux
}

func serveHealth(w http.ResponseWriter, err error) {
	if err == nil {
		serveJSON(w, http.StatusOK, HealthResponse{Healthy: true})
		return
	}
	serveJSON(w, http.StatusServiceUnavailable, HealthResponse{Kind: errkind.Of(err).String(), Reason: err.Error()})
}

func serveJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // ignored: a failed write means that the client has disconnected
}
