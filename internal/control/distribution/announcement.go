package distribution

import (
	"encoding/json"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
)

// announcement is what a process writes to the platform. It is signed: a
// process without a key of the ring must not become a partner candidate by
// writing to the platform.
type announcement struct {
	membership.Record
	AnnouncedAt time.Time  `json:"announced_at"`
	Signature   *signature `json:"signature,omitempty"`
}

type signature struct {
	KeyID uint8  `json:"key_id"`
	Tag   uint64 `json:"tag,string"` // SipHash-2-4 of the announcement without its signature
}

const announcementPurpose = "announcement"

// encode returns the signed JSON form of a. Errors have kind Internal.
func (a announcement) encode(ring *keyring.Ring) ([]byte, error) {
	content, err := a.signedContent()
	if err != nil {
		return nil, err
	}
	macs := ring.MACs(announcementPurpose)
	tag, _ := macs.Sum(macs.SigningID(), content)
	a.Signature = &signature{KeyID: macs.SigningID(), Tag: tag}
	value, err := json.Marshal(a)
	return value, errkind.Wrap(err, errkind.Internal, "encode announcement")
}

// signedContent returns the bytes that the signature covers. Errors have kind
// Internal.
func (a announcement) signedContent() ([]byte, error) {
	a.Signature = nil
	content, err := json.Marshal(a)
	return content, errkind.Wrap(err, errkind.Internal, "encode announcement")
}

// decodeAnnouncement parses and verifies an announcement. Errors have kind
// PeerMalformed or PeerUnauthorized.
func decodeAnnouncement(value []byte, ring *keyring.Ring) (announcement, error) {
	var a announcement
	if err := json.Unmarshal(value, &a); err != nil || a.ID == "" {
		return announcement{}, errkind.New(errkind.PeerMalformed, "announcement is not valid JSON or has no id")
	}
	content, err := a.signedContent()
	if err != nil {
		return announcement{}, err
	}
	macs := ring.MACs(announcementPurpose)
	if a.Signature == nil {
		return announcement{}, errkind.New(errkind.PeerUnauthorized, "announcement is not signed")
	}
	if tag, ok := macs.Sum(a.Signature.KeyID, content); !ok || tag != a.Signature.Tag {
		return announcement{}, errkind.New(errkind.PeerUnauthorized, "announcement signature matches no key of the ring")
	}
	return a, nil
}
