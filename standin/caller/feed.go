package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// feedRetryDelay is the delay before a feed is opened again.
	feedRetryDelay = 250 * time.Millisecond
	// maxFeedSilence is the longest time without a line before a feed is recorded
	// as silent. It exceeds the 5 s for which an agent may be paused without
	// giving up its flows.
	maxFeedSilence = 6 * time.Second
	// goAwayCheckInterval is the time between checks for a GOAWAY after a feed has
	// ended. The end of the feed can overtake the GOAWAY.
	goAwayCheckInterval = 100 * time.Millisecond
	maxGoAwayChecks     = 3
)

// holdFeed keeps a feed open until ctx ends, and opens a new one after each end.
func (c *caller) holdFeed(ctx context.Context) {
	for ctx.Err() == nil {
		c.runFeed(ctx)
		sleep(ctx, feedRetryDelay)
	}
}

// runFeed opens one feed and reads it to its end.
func (c *caller) runFeed(ctx context.Context) {
	c.load.retries.addRequest()
	began := time.Now()
	stream, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	openTimer := time.AfterFunc(c.load.opts.RequestTimeout+answerGrace, stop)
	resp, f := c.send(stream, c.newGet(c.service.FeedPath))
	if f == nil {
		c.recordOutcome(KindFeed, began, attemptResult{outcome: NotSent, flow: NoFlow}, 0)
		return
	}
	defer f.active.Add(-1)
	if resp == nil || !openTimer.Stop() {
		c.recordOutcome(KindFeed, began, attemptResult{outcome: Lost, flow: f.id}, 1)
		return
	}
	defer resp.Body.Close()
	r := c.readAnswer(f, resp, nil)
	c.recordOutcome(KindFeed, began, r, 1)
	if r.outcome == Done && r.status == http.StatusOK {
		c.followFeed(ctx, f, resp.Body, stop)
	}
}

// followFeed reads the feed's lines until it ends, and records its end.
func (c *caller) followFeed(ctx context.Context, f *flow, body io.Reader, stop context.CancelFunc) {
	feed := &Feed{OpenedAt: time.Now()}
	c.load.recorder.updateFlow(f.id, func(r *Flow) { r.Feeds = append(r.Feeds, feed) })
	defer context.AfterFunc(ctx, stop)()
	silenceTimer := time.AfterFunc(maxFeedSilence, stop)
	defer silenceTimer.Stop()
	last, sequence := time.Now(), 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			continue
		}
		now := time.Now()
		silenceTimer.Reset(maxFeedSilence)
		sequence = c.recordLine(feed, fields[len(fields)-1], sequence, now.Sub(last))
		last = now
	}
	reason := c.feedEndReason(ctx, f, lines.Err(), time.Since(last))
	c.load.recorder.update(func(*Ledger) { feed.EndedAt, feed.Reason = time.Now(), reason })
}

// recordLine records a line and returns its sequence number. A number that is not
// higher than the previous one counts as a wrong answer.
func (c *caller) recordLine(feed *Feed, number string, sequence int, gap time.Duration) int {
	n, err := strconv.Atoi(number)
	wrong := err != nil || n <= sequence
	c.load.recorder.update(func(l *Ledger) {
		feed.Lines++
		feed.MaxGap = max(feed.MaxGap, gap)
		if wrong {
			l.WrongAnswers++
		}
	})
	return n
}

// feedEndReason returns how a feed ended. err is the error of reading its lines,
// silent the time since the last line.
func (c *caller) feedEndReason(ctx context.Context, f *flow, err error, silent time.Duration) Reason {
	if silent >= maxFeedSilence && f.conn.Context().Err() == nil {
		c.retire(f, false)
		return FeedSilent
	}
	if ctx.Err() != nil {
		return CallerClosed
	}
	if err != nil {
		c.retireAfterLoss(f, err)
		return FeedCut
	}
	for range maxGoAwayChecks {
		if f.hasReceivedGoAway() {
			c.retire(f, true)
			return Graceful
		}
		sleep(ctx, goAwayCheckInterval)
	}
	return FeedEnded
}
