package flowgate

import (
	"time"

	"github.com/knapweedpier/knapweedpier/internal/flowpath/flow"
)

const (
	// maxFirstAckDistance is the maximum distance from the sequence number of an
	// answer to an opening to the acknowledgement with which the caller continues.
	// The backend server sends no data before that. The protocol doesn't state whether
	// an opening counts as one.
	maxFirstAckDistance = 1
	// maxFlightBytes is the maximum distance from the sequence number of an answer to an
	// opening to that of the first packet with which the backend server continues: it has at
	// most 16 packets of 1200 bytes in flight.
	maxFlightBytes = 16 * 1200
)

// flowState is the state of a flow at its agent.
type flowState uint8

const (
	stateOpening flowState = iota + 1 // an opening was delivered, or the backend server answered one
	stateOpen                         // the backend server holds the flow; see entry.opens
	stateEnded                        // both sides closed the flow, or one side reset it
	stateLost                         // the backend server held the flow and no longer does
)

// sender is the end of a flow that sent a packet.
type sender uint8

const (
	fromCaller sender = iota
	fromBackend
)

// entry is the state of one flow.
type entry struct {
	state                  flowState
	openedAt, lastPacketAt time.Time
	firstOpeningAt         time.Time      // when the caller sent its first opening, zero if unknown
	openingAnswered        bool           // the backend server answered the opening
	backendSeq             uint32         // sequence number of that answer
	adopted                bool           // the entry was made by a packet of the backend server
	maybeOpen              bool           // an earlier process of the agent may have seen the flow being opened
	callerEndSeq           uint32         // sequence number after the last data of the caller
	callerAck              uint32         // the caller's last acknowledgement number
	callerSentData         bool           // callerEndSeq is valid
	backendAck             uint32         // the backend server's highest acknowledgement number
	backendAcked           bool           // backendAck is valid
	backendEndSeq          uint32         // sequence number after the last data of the backend server
	backendSentData        bool           // backendEndSeq is valid
	awaitsAnswer           bool           // the answer to a delivered request has not started
	requestSeenAt          time.Time      // when the request arrived
	requestDeliveredAt     time.Time      // when the request was delivered
	overdueCounted         bool           // the overdue answer was counted as a failure
	beyondSlots            bool           // the request was delivered because the queue was full
	queued                 *queuedRequest // the request of the flow that waits for a slot, if any
	callerClosed           bool
	backendClosed          bool
}

// opens reports whether a packet of a flow in stateOpening shows that the backend
// server holds the flow: the caller acknowledges its answer to the opening, or the
// backend server sends something else than that answer. An opening and its answer
// don't show it, because several backend servers may answer copies of an opening,
// and the caller continues with one of them. Neither does a late packet of a former flow
// whose address and port the caller uses again.
func (f *entry) opens(p flow.Packet, s sender) bool {
	if s == fromBackend {
		return f.isContinuation(p.Seq) && !p.Has(flow.Open) && !p.Has(flow.Reset)
	}
	return f.openingAnswered && p.Ack-f.backendSeq <= maxFirstAckDistance
}

// isContinuation reports whether a packet of the backend server with sequence number seq
// can belong to this flow, which is being opened.
func (f *entry) isContinuation(seq uint32) bool {
	if f.openingAnswered {
		return seq-f.backendSeq <= maxFlightBytes
	}
	return f.adopted || f.maybeOpen
}

// lostEntry returns what is logged of a lost flow.
func (f *entry) lostEntry(now time.Time) LostEntry {
	return LostEntry{Age: now.Sub(f.openedAt), OpeningAnswered: f.openingAnswered, Adopted: f.adopted}
}

// table holds the flows of one agent and counts them by state.
type table struct {
	entries      map[flow.Key]*entry
	openFlows    int // flows in stateOpening or stateOpen
	openingFlows int // flows in stateOpening, most of which send a request next
	inProgress   int // flows whose delivered request waits for the start of its answer
}

func newTable() table { return table{entries: map[flow.Key]*entry{}} }

func (t *table) get(key flow.Key) *entry { return t.entries[key] }

// add adds a flow in stateOpening.
func (t *table) add(key flow.Key, now time.Time) *entry {
	t.remove(key)
	f := &entry{state: stateOpening, openedAt: now, lastPacketAt: now}
	t.entries[key] = f
	t.openFlows++
	t.openingFlows++
	return f
}

// open moves a flow from stateOpening to stateOpen.
func (t *table) open(f *entry) {
	f.state = stateOpen
	t.openingFlows--
}

func (t *table) remove(key flow.Key) {
	f := t.entries[key]
	if f == nil {
		return
	}
	t.end(f, stateEnded)
	delete(t.entries, key)
}

// end moves a flow to state s, in which it is not counted as open.
func (t *table) end(f *entry, s flowState) {
	t.endRequest(f)
	if f.state == stateOpening || f.state == stateOpen {
		t.openFlows--
	}
	if f.state == stateOpening {
		t.openingFlows--
	}
	f.state = s
}

func (t *table) markLost(f *entry) { t.end(f, stateLost) }

// endRequest records that the request of a flow, if any, no longer waits for the
// start of its answer.
func (t *table) endRequest(f *entry) {
	if f.awaitsAnswer {
		f.awaitsAnswer = false
		t.inProgress--
	}
}

// recordCallerPacket updates a flow with a packet that is delivered to the backend
// server.
func (t *table) recordCallerPacket(now time.Time, f *entry, p flow.Packet) {
	f.lastPacketAt = now
	f.callerAck = p.Ack
	if p.Has(flow.Reset) {
		t.end(f, stateEnded)
		return
	}
	if f.state != stateOpen {
		return
	}
	if t.isNewRequestData(f, p) {
		t.beginRequest(now, f)
	}
	t.recordCallerProgress(now, f, p)
}

// isNewRequestData reports whether p carries data that the caller didn't send
// before, as far as the agent has seen. Data that the backend server has acknowledged
// may have been sent before this process started.
func (t *table) isNewRequestData(f *entry, p flow.Packet) bool {
	end := p.Seq + uint32(p.Length)
	sent := f.callerSentData && int32(end-f.callerEndSeq) <= 0
	acknowledged := f.backendAcked && int32(end-f.backendAck) <= 0
	return p.Length > 0 && !sent && !acknowledged
}

// backendHasAll reports whether the backend server has acknowledged all data of the
// caller that the agent has seen.
func (f *entry) backendHasAll() bool {
	return f.backendAcked && int32(f.callerEndSeq-f.backendAck) <= 0
}

// requestedAt returns the time from which the caller has waited for the answer to
// a request that arrives now. For the first request of a flow that includes the
// opening.
func (f *entry) requestedAt(now time.Time) time.Time {
	if !f.callerSentData && !f.firstOpeningAt.IsZero() {
		return f.firstOpeningAt
	}
	return now
}

// beginRequest counts a request that is delivered.
func (t *table) beginRequest(now time.Time, f *entry) {
	if f.awaitsAnswer || f.state != stateOpen {
		return
	}
	f.awaitsAnswer, f.requestDeliveredAt, f.overdueCounted, f.beyondSlots = true, now, false, false
	t.inProgress++
}

// recordCallerProgress updates sequence numbers and state of a flow with a packet
// of its caller.
func (t *table) recordCallerProgress(now time.Time, f *entry, p flow.Packet) {
	f.lastPacketAt = now
	f.callerAck = p.Ack
	if t.isNewRequestData(f, p) {
		f.callerEndSeq, f.callerSentData = p.Seq+uint32(p.Length), true
	}
	f.callerClosed = f.callerClosed || p.Has(flow.Close)
	t.endIfClosed(f)
}

// recordBackendPacket updates a flow with a packet that the backend server sent.
func (t *table) recordBackendPacket(now time.Time, f *entry, p flow.Packet) {
	f.lastPacketAt = now
	if p.Has(flow.Open) {
		f.openingAnswered, f.backendSeq = true, p.Seq
		return
	}
	if p.Has(flow.Reset) {
		t.end(f, stateEnded)
		return
	}
	if p.Has(flow.Ack) && (!f.backendAcked || int32(p.Ack-f.backendAck) > 0) {
		f.backendAck, f.backendAcked = p.Ack, true
	}
	if f.isNewAnswerData(p) {
		f.backendEndSeq, f.backendSentData = p.Seq+uint32(p.Length), true
		t.endRequest(f)
	}
	f.backendClosed = f.backendClosed || p.Has(flow.Close)
	t.endIfClosed(f)
}

// isNewAnswerData reports whether p carries data that the backend server didn't
// send before. It retransmits the end of an answer until the caller acknowledges
// it.
func (f *entry) isNewAnswerData(p flow.Packet) bool {
	end := p.Seq + uint32(p.Length)
	return p.Length > 0 && (!f.backendSentData || int32(end-f.backendEndSeq) > 0)
}

func (t *table) endIfClosed(f *entry) {
	if f.callerClosed && f.backendClosed && f.state == stateOpen {
		t.end(f, stateEnded)
	}
}
