package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// operatorKey is the context key of the authenticated operator's name.
const operatorKey = "operator"

// keyring holds the digests of operators' keys. Callers' keys are in the
// inventory; no key may be in both.
type keyring struct {
	names   []string
	digests [][sha256.Size]byte
}

func newKeyring(operators []Operator) (keyring, error) {
	var ring keyring
	for _, operator := range operators {
		raw, err := hex.DecodeString(operator.KeyHash)
		if err != nil || len(raw) != sha256.Size {
			return keyring{}, fmt.Errorf("key hash of operator %q is not a hex SHA-256 digest", operator.Name)
		}
		ring.names = append(ring.names, operator.Name)
		ring.digests = append(ring.digests, [sha256.Size]byte(raw))
	}
	return ring, nil
}

// find returns the name of the operator that owns the key. It compares with
// every key in constant time.
func (k keyring) find(key string) (string, bool) {
	digest := sha256.Sum256([]byte(key))
	name, found := "", false
	for i := range k.digests {
		if subtle.ConstantTimeCompare(digest[:], k.digests[i][:]) == 1 {
			name, found = k.names[i], true
		}
	}
	return name, found
}

// containsHash reports whether the hex digest is that of an operator's key.
func (k keyring) containsHash(hexDigest string) bool {
	raw, err := hex.DecodeString(hexDigest)
	if err != nil || len(raw) != sha256.Size {
		return false
	}
	for i := range k.digests {
		if k.digests[i] == [sha256.Size]byte(raw) {
			return true
		}
	}
	return false
}

// authenticate is middleware that rejects requests without an operator's key.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		scheme, key, _ := strings.Cut(c.Request().Header.Get("Authorization"), " ")
		if !strings.EqualFold(scheme, "Bearer") || key == "" {
			return failure(http.StatusUnauthorized, CodeUnauthorized, "an operator's key is needed: Authorization: Bearer KEY")
		}
		name, found := a.keys.find(key)
		if !found {
			return failure(http.StatusUnauthorized, CodeUnauthorized, "the key is not an operator's; callers' keys are not taken here")
		}
		c.Set(operatorKey, name)
		return next(c)
	}
}

func operatorOf(c echo.Context) string {
	name, _ := c.Get(operatorKey).(string)
	return name
}
