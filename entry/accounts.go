package entry

import (
	"crypto/sha256"

	"jacinthworks/conf"
	"jacinthworks/domain"
)

// accounts maps the digest of a bearer token to the caller's account. The settings check
// that no two callers have the same token.
//
// Comparing a secret byte by byte takes a time that depends on how much of a guess is
// right, so that a token could be guessed one character at a time. The time of a look-up
// by digest depends only on the digests, and constructing a token whose digest shares
// more bits with a stored digest requires knowing that digest. Comparing with each token
// in constant time is as safe, but computes 2,100 hashes for each request at the planned
// number of callers.
type accounts map[[sha256.Size]byte]domain.Account

func newAccounts(callers []conf.Caller) accounts {
	a := make(accounts, len(callers))
	for _, c := range callers {
		a[sha256.Sum256([]byte(string(c.Token)))] = c.Account
	}
	return a
}

// find returns the account of a token, and false if no caller has the token.
func (a accounts) find(token string) (domain.Account, bool) {
	account, found := a[sha256.Sum256([]byte(token))]
	return account, found
}
