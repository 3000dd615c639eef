package membership

import "time"

// Change is a record as it is sent between tables, together with the sender's
// suspicion. Times are sent as ages, so that they do not depend on synchronized
// clocks.
type Change struct {
	Record       Record        `json:"rec"`
	Suspected    bool          `json:"suspected,omitempty"`
	SuspectedFor time.Duration `json:"suspected_for,omitempty"` // nanoseconds
	Age          time.Duration `json:"age,omitempty"`           // nanoseconds since the last evidence of life, whole seconds
}

// Cursor is a position in the change log of one table. The zero value precedes
// the first change of any table.
type Cursor struct {
	Instance uint64 `json:"i"` // identifies the table that the position belongs to
	Position uint64 `json:"p"`
}
