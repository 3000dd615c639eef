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
	// feedRetry is the wait before a feed is opened again.
	feedRetry = 250 * time.Millisecond
	// feedSilence is how long a feed may be without a line. An agent may be
	// paused for up to 5 s without giving up its flows.
	feedSilence = 6 * time.Second
	// goAwayWait is the time given to a GOAWAY that is overtaken by the end of
	// the feed.
	goAwayWait  = 100 * time.Millisecond
	goAwayTries = 3
)

// holdFeed keeps a feed open until ctx ends.
func (c *caller) holdFeed(ctx context.Context) {
	for ctx.Err() == nil {
		c.feed(ctx)
		sleep(ctx, feedRetry)
	}
}

// feed opens one feed and reads it to its end.
func (c *caller) feed(ctx context.Context) {
	c.load.budget.earn()
	began := time.Now()
	stream, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	late := time.AfterFunc(c.load.opt.RequestTimeout+answerGrace, stop)
	resp, f := c.open(stream, c.get(c.service.FeedPath))
	if f == nil {
		c.record(Feeding, began, reply{outcome: NotSent, flow: NoFlow}, 0)
		return
	}
	defer f.active.Add(-1)
	if resp == nil || !late.Stop() {
		c.record(Feeding, began, reply{outcome: Lost, flow: f.id}, 1)
		return
	}
	defer resp.Body.Close()
	r := c.readAnswer(f, resp, nil)
	c.record(Feeding, began, r, 1)
	if r.outcome == Done && r.status == http.StatusOK {
		c.read(ctx, f, resp.Body, stop)
	}
}

// read follows the feed's lines and records its end.
func (c *caller) read(ctx context.Context, f *flow, body io.Reader, stop context.CancelFunc) {
	feed := &Feed{OpenedAt: time.Now()}
	c.load.recorder.flow(f.id, func(r *Flow) { r.Feeds = append(r.Feeds, feed) })
	defer context.AfterFunc(ctx, stop)()
	silence := time.AfterFunc(feedSilence, stop)
	defer silence.Stop()
	last, sequence := time.Now(), 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			continue
		}
		now := time.Now()
		silence.Reset(feedSilence)
		sequence = c.line(feed, fields[len(fields)-1], sequence, now.Sub(last))
		last = now
	}
	reason := c.feedEnd(ctx, f, lines.Err(), time.Since(last))
	c.load.recorder.update(func(*Ledger) { feed.EndedAt, feed.Reason = time.Now(), reason })
}

// line checks that the line's sequence number rises, and returns it.
func (c *caller) line(feed *Feed, number string, sequence int, gap time.Duration) int {
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

// feedEnd says how a feed ended whose lines stopped with err.
func (c *caller) feedEnd(ctx context.Context, f *flow, err error, silent time.Duration) Reason {
	if silent >= feedSilence && f.conn.Context().Err() == nil {
		c.retire(f, false)
		return FeedSilent
	}
	if ctx.Err() != nil {
		return CallerClosed
	}
	if err != nil {
		c.lost(f)
		return FeedCut
	}
	for range goAwayTries {
		if f.sawGoAway() {
			c.retire(f, true)
			return Graceful
		}
		sleep(ctx, goAwayWait)
	}
	return FeedEnded
}
