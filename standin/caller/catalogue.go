package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// catalogueAnswer is the part of the answer that repeats the query.
type catalogueAnswer struct {
	Caller string `json:"caller"`
	N      string `json:"n"`
}

// catalogue makes one short idempotent request, and retries it after any outcome
// but Done and WrongAnswer.
func (c *caller) catalogue(n int) {
	began, want := time.Now(), catalogueAnswer{c.id, strconv.Itoa(n)}
	sent := 0
	for try := 1; ; try++ {
		r := c.attempt(c.newGet(fmt.Sprintf("/catalogue?caller=%s&n=%s", want.Caller, want.N)))
		if r.outcome != NotSent {
			sent++
		}
		if r.outcome == Done && !echoesRequest(r, want) {
			r.outcome = WrongAnswer
		}
		if r.outcome == Done || r.outcome == WrongAnswer || try >= c.load.opts.MaxAttempts || !c.spendRetry() {
			c.recordOutcome(KindCatalogue, began, r, sent)
			return
		}
		time.Sleep(r.retryDelay())
	}
}

// echoesRequest reports whether the body of the answer equals want, which
// identifies the request.
func echoesRequest[T comparable](r attemptResult, want T) bool {
	var got T
	return r.status == http.StatusOK && json.Unmarshal(r.body, &got) == nil && got == want
}

func (c *caller) newGet(path string) newRequestFunc {
	return func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, c.url(path), nil)
	}
}

func (c *caller) url(path string) string {
	return "https://" + c.service.Address.String() + path
}
