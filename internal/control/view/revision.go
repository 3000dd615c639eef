package view

// Revision is a position in the store's history of changes, within one era of the store.
// An era begins when the store is restored from a copy. It lacks the last changes of the
// era before, and the store assigns their positions anew, so that only the era tells which
// of two revisions is later.
//
// In era 0, which is also that of a store without eras, a revision is the position. In later
// eras it holds the era, the position, and in the lowest bit whether the section has been
// settled at that position; see Board.settle. Revisions are ordered as integers.
type Revision int64

const (
	eraShift = 44
	// MaxPosition is the highest position that a revision can hold.
	MaxPosition = 1<<(eraShift-1) - 1
	// MaxEra is the highest era that a revision can hold.
	MaxEra = 1<<(63-eraShift) - 1
)

// NewRevision returns the revision of a position in an era. The position is at most
// MaxPosition, the era at most MaxEra.
func NewRevision(era, position int64) Revision {
	if era == 0 {
		return Revision(position)
	}
	return Revision(era<<eraShift | position<<1)
}

// Era returns the era of the store.
func (r Revision) Era() int64 { return int64(r) >> eraShift }

// Position returns the position in the store's history, as the store numbers it.
func (r Revision) Position() int64 {
	if r.Era() == 0 {
		return int64(r)
	}
	return int64(r) & (1<<eraShift - 1) >> 1
}

// settled returns the revision of a section that has been settled at r, which is before all
// later positions. r is not of era 0.
func (r Revision) settled() Revision { return r | 1 }

// isSettled reports whether r is that of a settled section.
func (r Revision) isSettled() bool { return r.Era() > 0 && r&1 == 1 }
