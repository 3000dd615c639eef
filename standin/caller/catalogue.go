package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// catalogueAnswer repeats the query of its request.
type catalogueAnswer struct {
	Caller string `json:"caller"`
	N      string `json:"n"`
}

// catalogue makes one short idempotent request, and tries it again when it was
// lost or refused.
func (c *caller) catalogue(n int) {
	began, want := time.Now(), catalogueAnswer{c.id, strconv.Itoa(n)}
	sent := 0
	for try := 1; ; try++ {
		r := c.attempt(c.get(fmt.Sprintf("/catalogue?caller=%s&n=%s", want.Caller, want.N)))
		if r.outcome != NotSent {
			sent++
		}
		if r.outcome == Done && !repeats(r, want) {
			r.outcome = Wrong
		}
		if r.outcome == Done || r.outcome == Wrong || try >= c.load.opt.MaxAttempts || !c.mayRetry() {
			c.record(Catalogue, began, r, sent)
			return
		}
		time.Sleep(r.pause())
	}
}

// repeats reports whether the answer's body repeats want.
func repeats[T comparable](r reply, want T) bool {
	var got T
	return r.status == http.StatusOK && json.Unmarshal(r.body, &got) == nil && got == want
}

func (c *caller) get(path string) request {
	return func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	}
}

func (c *caller) url(path string) string {
	return "https://" + c.service.Address.String() + path
}
