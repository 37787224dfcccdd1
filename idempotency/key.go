package idempotency

import (
	"time"

	"github.com/google/uuid"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Key is an idempotency key: a UUID of version 7, which contains the time at
// which it was created.
type Key struct {
	id uuid.UUID
}

// uuidVersion is the UUID version whose first 48 bits are a time.
const uuidVersion = 7

// ParseKey parses a key. The error is a *structs.Error with CodeInvalid.
func ParseKey(s string) (Key, *structs.Error) {
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, structs.Errorf(structs.CodeInvalid, structs.NotRun, "idempotency key %q: want a UUID of version 7", s)
	}
	return Key{id: id}, nil
}

// Millis returns the key's time in milliseconds since the Unix epoch, by the
// clock of the caller that created it.
func (k Key) Millis() int64 {
	var ms int64
	for _, b := range k.id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Time returns the key's time, by the clock of the caller that created it.
func (k Key) Time() time.Time { return time.UnixMilli(k.Millis()) }

// String returns the key in the canonical text form of a UUID.
func (k Key) String() string { return k.id.String() }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return k.id.MarshalText() }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, err := ParseKey(string(text))
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}
