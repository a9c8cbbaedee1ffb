package tgclaim

import (
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// MaxKeyAge is the age up to which an idempotency key is accepted. The log must retain records for longer.
const MaxKeyAge = 24 * time.Hour

// MaxClockSkew bounds the error of callers' clocks, whose time is in the idempotency keys that they make.
const MaxClockSkew = 5 * time.Minute

// ErrKeyInvalid is returned for an idempotency key that is not a UUIDv7.
var ErrKeyInvalid = errors.New("idempotency key is not a UUIDv7")

// Key identifies a request that is not idempotent; all repeats of the request have the same key.
type Key [16]byte

// Digest identifies the content of a request.
type Digest [16]byte

// NewKey returns the key for an account's idempotency key in a pool.
func NewKey(account, pool, idempotencyKey string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + pool + "\x00" + idempotencyKey))
	return Key(sum[:16])
}

// NewDigest returns the digest of a request with this method, path and body.
func NewDigest(method, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return Digest(h.Sum(nil)[:16])
}

// KeyTime returns the time at which an idempotency key was made, by its maker's clock.
func KeyTime(idempotencyKey string) (time.Time, error) {
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != 7 {
		return time.Time{}, ErrKeyInvalid
	}
	return uuidTime(id), nil
}

// uuidTime returns the time in a UUIDv7.
func uuidTime(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
