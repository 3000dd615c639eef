package view

import (
	"slices"
	"time"
)

// retentionTime is how long after the change of the store's era a process relies on what it
// knew before and the store lacks. It leaves time for every process to write its member again:
// the store may be down for some seconds, and calls are retried every 0.5 s.
const retentionTime = 10 * time.Second

// maxRetentionGap is the longest time without a confirmation that counts as part of
// retentionTime. It leaves half of that time for the processes to write their members.
const maxRetentionGap = retentionTime / 2

// maxClockError is the maximum difference assumed between the clocks of two processes. A process
// that starts takes an era for old only if the era was first seen more than retentionTime plus
// maxClockError ago.
const maxClockError = 5 * time.Second

// retention is the state of a board about the era of the store. An era begins when the store is
// restored from a copy, so that its first listings lack what was written after the copy.
type retention struct {
	// until is when a section may be settled: what is retained of it is then given up. It is the
	// zero time if a peer, or the members, have shown that the era is old. There is no entry in
	// era 0.
	until map[Section]time.Time
	// incomplete is set while the members may lack processes that run. It is set after any change
	// of era, also if no member is retained: this process may not have known all.
	incomplete bool
	completeAt confirmation // of the members, before they became incomplete
	// notBefore is the last confirmation of the members in the era before.
	notBefore confirmation

	// The following are about the era of the members.
	seenAt    time.Time // when this process first saw it
	seenMS    int64     // when others first saw it, see settleOldEra; 0 if seenAt counts
	seenFirst bool      // this process had members of no earlier era
	// nothingLost is set if the era that this process sees first can't have lost anything.
	nothingLost bool
}

// extend restarts the retention of a section if gap, the time since its last confirmation, is
// too long, for example because the store failed again after it was restored. Other processes
// couldn't write their members again meanwhile. It does nothing if a peer has settled the
// section.
func (r retention) extend(s Section, gap time.Duration) {
	if until, ok := r.until[s]; ok && !until.IsZero() && gap > maxRetentionGap {
		r.until[s] = time.Now().Add(retentionTime)
	}
}

// beginEra records that a section has changed to a later era or, if isFirst is set, that its first
// state is of an era above 0, which may have begun just before. The caller holds the lock.
func (b *Board) beginEra(s Section, isFirst bool) {
	b.retention.until[s] = time.Now().Add(retentionTime)
	if s != MembersSection {
		return
	}
	b.retention.seenAt, b.retention.seenMS, b.retention.seenFirst = time.Now(), 0, isFirst
	if isFirst && b.retention.nothingLost {
		return
	}
	if !b.retention.incomplete {
		b.retention.incomplete, b.retention.completeAt = true, b.confirmedAt[s]
	}
	b.retention.notBefore = b.confirmedAt[s]
}

// SetFirstStart records that the whole system starts for the first time: the store can't have lost
// members before this process has seen the first ones. It must be called before the
// first call of Apply, if at all.
func (b *Board) SetFirstStart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retention.nothingLost = true
}

// settleOldEra settles the members at a process that starts, if they show that the era began
// long ago: nothing that runs is missing then. Without this, callers would wait up to
// retentionTime for the resets of their flows after each power cut of all hosts.
//
// Only members that were written in the era count. The copy from which the store was restored
// holds none of them. More than half of those must agree, so that one process whose clock is
// wrong doesn't decide while others contradict it. The caller holds the lock.
func (b *Board) settleOldEra() {
	if !b.retention.incomplete || !b.retention.seenFirst {
		return
	}
	seenMS := b.view.Get().Members.eraSeenMS()
	if seenMS <= 0 || time.Since(time.UnixMilli(seenMS)) < retentionTime+maxClockError {
		return
	}
	b.retention.seenMS = seenMS
	b.retention.until[MembersSection] = time.Time{}
	b.settle(MembersSection)
}

// eraSeenMS returns the earliest time such that more than half of the members written in the
// current era name it or an earlier one as Member.EraSeenMS, 0 if none was written in it.
func (m Members) eraSeenMS() int64 {
	era := m.Revision.Era()
	var seen []int64
	for _, member := range m.ByName {
		if era > 0 && member.Era == era && member.Revision.Era() == era && member.EraSeenMS > 0 {
			seen = append(seen, member.EraSeenMS)
		}
	}
	if len(seen) == 0 {
		return 0
	}
	slices.Sort(seen)
	return seen[len(seen)/2]
}

// EraSeen returns the era of the members and when it was first seen, in Unix milliseconds, for
// Member.Era and Member.EraSeenMS. That is when this process first saw it, by its present
// clock. If the members showed at its start that the era was old, it is the time that they
// named, so that it outlasts restarts. Both are 0 in era 0.
func (b *Board) EraSeen() (era, seenMS int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	era = b.view.Get().Members.Revision.Era()
	switch {
	case era == 0:
		return 0, 0
	case b.retention.seenMS > 0:
		return era, b.retention.seenMS
	}
	// The steady clock tells how long ago that was, also if the clock was set meanwhile.
	return era, time.Now().Add(-time.Since(b.retention.seenAt)).UnixMilli()
}

// settle gives up what is retained of a section. The caller holds the lock.
func (b *Board) settle(s Section) {
	if s == MembersSection {
		b.retention.incomplete = false
	}
	if d, ok := b.view.Get().settlingDelta(s); ok {
		b.apply(d)
	}
}

// completeAt returns when the members were last known to be current and complete, the zero
// time if they never were. The caller holds the lock.
func (b *Board) completeAt() time.Time {
	if b.retention.incomplete {
		return b.effectiveTime(b.retention.completeAt)
	}
	return b.confirmation(MembersSection)
}

// ConfirmComplete records that, by the response of a peer, the members were known to be current
// and complete at the given time. The peer has settled them, so the era began long enough ago for
// this process to settle them too. It does nothing if they are of another era.
func (b *Board) ConfirmComplete(era int64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.view.Get().Members.Revision.Era() == era {
		b.retention.until[MembersSection] = time.Time{}
	}
	b.confirm(MembersSection, era, at)
}

// EraNotBefore returns a time before which the era of the members can't have begun, the zero
// time if none is known.
func (b *Board) EraNotBefore() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.effectiveTime(b.retention.notBefore)
}

// settlingDelta returns the delta that gives up what is retained of a section, and whether
// anything is. It leads to a revision of its own, so that it reaches peers.
func (v View) settlingDelta(s Section) (Delta, bool) {
	from := v.Revision(s)
	d := Delta{Section: s, From: from, To: from.settled()}
	switch s {
	case MembersSection:
		for name := range v.Members.ByName {
			if !v.Members.isRetained(name) {
				continue
			}
			d.Gone = append(d.Gone, name)
			if m, ok := v.Members.Stored[name]; ok {
				d.Members = append(d.Members, m)
			}
		}
		return d, len(d.Gone) > 0
	case EvacuationsSection:
		d.Ended = v.Evacuations.Retained()
		for domain := range v.Evacuations.Domains {
			if !v.Evacuations.retained[domain] {
				d.Domains = append(d.Domains, domain)
			}
		}
		slices.Sort(d.Domains)
		return d, len(d.Ended) > 0
	}
	return d, false
}

// isHeldAgainst reports whether the configuration stays in force when d is applied. This is so if
// it is of an earlier era of the store, or already held, and d has an older version or none.
func (c Configuration) isHeldAgainst(d Delta) bool {
	if c.Revision == 0 || !c.Held && c.Revision.Era() == d.To.Era() {
		return false
	}
	return d.Configuration == nil || d.Configuration.Version < c.Version
}

// isRetained reports whether the member called name is of an earlier era of the store than
// the section: the store lacks it or has an older state of it.
func (m Members) isRetained(name string) bool {
	return m.ByName[name].Revision.Era() < m.Revision.Era()
}

// InStore returns the member called name as the store has it, and whether it does.
func (m Members) InStore(name string) (Member, bool) {
	member, ok := m.ByName[name]
	if ok && m.isRetained(name) {
		member, ok = m.Stored[name]
	}
	return member, ok
}

// Retained returns the number of members that the store lacks, or of which it has an older
// state, since it was restored from a copy.
func (m Members) Retained() int {
	count := 0
	for name := range m.ByName {
		if m.isRetained(name) {
			count++
		}
	}
	return count
}

// retain adds to m, to which d has been applied otherwise, the members of old that are of an
// earlier era than d. It doesn't add those that d shows to be written or removed in the new era,
// and none if d shows that a peer has settled the section: the era then began long enough ago.
func (m *Members) retain(old Members, d Delta) {
	if d.To.isSettled() {
		m.dropRetained(old)
		return
	}
	for _, stored := range d.Stored {
		m.addStored(stored, d)
	}
	for name, known := range old.ByName {
		shown, ok := m.ByName[name]
		isRetainedByPeer := ok && shown.Revision.Era() < d.To.Era()
		if known.Revision.Era() >= d.To.Era() {
			if isRetainedByPeer {
				m.useStored(name) // this process has seen that the member was written in the era
			}
			continue
		}
		if slices.Contains(d.Gone, name) || ok && old.isSuperseded(known, shown, d) {
			continue
		}
		m.ByName[name] = known
		if !ok || isRetainedByPeer {
			if _, ok := m.Stored[name]; ok {
				continue // by the peer's delta
			}
			shown, ok = old.Stored[name]
		}
		if ok {
			m.addStored(shown, d)
		}
	}
}

// addStored records the state of a retained member in the store, if that is of the era of d.
func (m *Members) addStored(stored Member, d Delta) {
	if stored.Revision.Era() != d.To.Era() {
		return
	}
	if m.Stored == nil {
		m.Stored = map[string]Member{}
	}
	m.Stored[stored.Name] = stored
}

// useStored replaces a retained member by its state in the store, or removes it if the store
// lacks it.
func (m *Members) useStored(name string) {
	delete(m.ByName, name)
	if stored, ok := m.Stored[name]; ok {
		m.ByName[name] = stored
		delete(m.Stored, name)
	}
}

// dropRetained leaves the members as the store has them.
func (m *Members) dropRetained(old Members) {
	for name := range m.ByName {
		if !m.isRetained(name) {
			continue
		}
		delete(m.ByName, name)
		if stored, ok := old.Stored[name]; ok {
			m.ByName[name] = stored
		}
	}
}

// isSuperseded reports whether shown, the state of a member in d, replaces known, its state of
// an earlier era.
func (m Members) isSuperseded(known, shown Member, d Delta) bool {
	stored, isStored := m.Stored[known.Name]
	same := shown
	same.Revision = known.Revision
	switch {
	case shown.Revision.Era() < d.To.Era():
		return shown.Revision > known.Revision // a peer retains it
	case same == known:
		return true
	case shown.Era == d.To.Era():
		return true // it was written in this era, at whichever position
	case m.Revision.Era() == d.To.Era():
		// The first listing of the era showed it as in Stored, or not at all.
		return !isStored || stored.Revision.Era() < d.To.Era() || shown.Revision > stored.Revision
	}
	// Up to the known position, the store may have this state from the copy. Positions after it
	// are those of changes that this process doesn't know, in whichever era.
	return shown.Revision.Position() > known.Revision.Position()
}

// retain adds to e, to which d has been applied otherwise, the evacuations of old that are of an
// earlier era than d, or were retained before, and that have not ended by d. It adds none if d
// shows that a peer has settled the section.
func (e *Evacuations) retain(old Evacuations, d Delta) {
	if d.To.isSettled() {
		return
	}
	for _, domain := range d.Retained {
		e.addRetained(domain)
	}
	isFirst := old.Revision.Era() < d.To.Era()
	for domain := range old.Domains {
		if !e.Domains[domain] && (isFirst || old.retained[domain]) && !slices.Contains(d.Ended, domain) {
			e.addRetained(domain)
		}
	}
}

// addRetained adds a retained evacuation.
func (e *Evacuations) addRetained(domain string) {
	if e.retained == nil {
		e.retained = map[string]bool{}
	}
	e.Domains[domain], e.retained[domain] = true, true
}
