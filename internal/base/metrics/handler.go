package metrics

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Health says whether the process can do its work; nil means that it can.
type Health func() error

// HealthAnswer is the body of /healthz.
type HealthAnswer struct {
	Healthy bool   `json:"healthy"`
	Kind    string `json:"kind,omitempty"` // name of the error kind
	Reason  string `json:"reason,omitempty"`
}

// Handler serves the operators' address: /metrics as JSON, or as plain text if
// the request accepts text/plain, and /healthz with 200 or 503.
func Handler(r *Registry, health Health) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", r.serve)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		serveHealth(w, health())
	})
	return mux
}

func (r *Registry) serve(w http.ResponseWriter, req *http.Request) {
	if strings.Contains(req.Header.Get("Accept"), "text/plain") {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = r.WriteText(w) // a failed write means that the reader is gone
		return
	}
	serveJSON(w, http.StatusOK, r.inner)
}

// TextHandler serves /metrics in the text exposition format. It calls measure
// before each answer, to bring gauges up to date.
func (r *Registry) TextHandler(measure func()) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		measure()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = r.WriteText(w) // a failed write means that the reader is gone
	})
	return mux
}

func serveHealth(w http.ResponseWriter, err error) {
	if err == nil {
		serveJSON(w, http.StatusOK, HealthAnswer{Healthy: true})
		return
	}
	serveJSON(w, http.StatusServiceUnavailable, HealthAnswer{Kind: errkind.Of(err).String(), Reason: err.Error()})
}

func serveJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // a failed write means that the reader is gone
}
