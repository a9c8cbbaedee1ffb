package tgentry

import (
	"crypto/sha256"
	"encoding/hex"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
)

type keyHash [sha256.Size]byte

// accountIndex maps the hashes of bearer keys to account names. lookup rebuilds it when a configuration change has
// replaced the accounts.
type accountIndex struct {
	current atomic.Pointer[indexedAccounts]
	mu      sync.Mutex // serialises rebuilds
}

type indexedAccounts struct {
	byHash map[keyHash]string
	mapID  uintptr // address of the indexed map, which identifies it: a published configuration is never modified
}

func (x *accountIndex) lookup(accounts map[string]tgconfig.Account, hash keyHash) (string, bool) {
	id := reflect.ValueOf(accounts).Pointer()
	current := x.current.Load()
	if current == nil || current.mapID != id {
		current = x.rebuild(accounts, id)
	}
	name, ok := current.byHash[hash]
	if !ok || !hasKeyHash(accounts[name], hash) {
		return "", false
	}
	return name, true
}

// hasKeyHash reports whether a has the given key hash. The check is needed because a new map can have the address of
// the one that is indexed, which then no longer exists.
func hasKeyHash(a tgconfig.Account, hash keyHash) bool {
	decoded, ok := decodeHash(a.KeyHash)
	return ok && decoded == hash
}

func (x *accountIndex) rebuild(accounts map[string]tgconfig.Account, id uintptr) *indexedAccounts {
	x.mu.Lock()
	defer x.mu.Unlock()
	if current := x.current.Load(); current != nil && current.mapID == id {
		return current
	}
	next := &indexedAccounts{byHash: make(map[keyHash]string, len(accounts)), mapID: id}
	for name, a := range accounts {
		if hash, ok := decodeHash(a.KeyHash); ok {
			next.byHash[hash] = name
		}
	}
	x.current.Store(next)
	return next
}

func decodeHash(s string) (keyHash, bool) {
	var hash keyHash
	if len(s) != hex.EncodedLen(len(hash)) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(s))
	return hash, err == nil
}

// authenticate returns the name of the account whose bearer key the request carries.
func (e *Entry) authenticate(c fiber.Ctx, cfg *tgconfig.Config) (string, *tgcall.Failure) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return "", tgcall.NotRunFailure(tgcall.CodeAccountUnknown, "the Authorization header has no bearer key")
	}
	name, ok := e.accounts.lookup(cfg.Accounts, sha256.Sum256([]byte(key)))
	if !ok {
		return "", tgcall.NotRunFailure(tgcall.CodeAccountUnknown, "the bearer key belongs to no account")
	}
	return name, nil
}
