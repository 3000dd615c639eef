package membership

import "time"

// Change is a record as it travels between tables, with what its sender
// believes of it. Times travel as ages, so that they do not depend on clocks.
type Change struct {
	Record       Record        `json:"rec"`
	Suspected    bool          `json:"suspected,omitempty"`
	SuspectedFor time.Duration `json:"suspected_for,omitempty"` // nanoseconds
	Age          time.Duration `json:"age,omitempty"`           // nanoseconds since the last evidence of life, whole seconds
}

// Cursor is a position in the change log of one table. The zero value stands
// before the first change of any table.
type Cursor struct {
	Instance uint64 `json:"i"` // the table that the position belongs to
	Position uint64 `json:"p"`
}
