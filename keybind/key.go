package keybind

import (
	"time"

	"github.com/google/uuid"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Key is an idempotency key: a UUID of version 7, which carries its time.
type Key struct {
	id uuid.UUID
}

// uuidVersion is the one whose first 48 bits are a time.
const uuidVersion = 7

// ParseKey reads a key. The error is a *structs.Error with CodeInvalid.
func ParseKey(s string) (Key, *structs.Error) {
	id, err := uuid.Parse(s)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, structs.Errorf(structs.CodeInvalid, structs.NotRun, "idempotency key %q: want a UUID of version 7", s)
	}
	return Key{id: id}, nil
}

// Millis returns the key's time in milliseconds of the Unix epoch, by the clock
// of the caller that made it.
func (k Key) Millis() int64 {
	var ms int64
	for _, b := range k.id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Time returns the key's time.
func (k Key) Time() time.Time { return time.UnixMilli(k.Millis()) }

// String returns the key's text form.
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
