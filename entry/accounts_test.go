package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jacinthworks/conf"
	"jacinthworks/domain"
)

func testCallers(count int) []conf.Caller {
	var all []conf.Caller
	for n := range count {
		all = append(all, conf.Caller{
			Account: domain.Account(fmt.Sprintf("stud-%d", n)), Token: conf.Secret(fmt.Sprintf("token-of-the-stud-%04d", n)),
		})
	}
	return all
}

// accountByComparison finds the account by comparing the token with every caller's token.
func accountByComparison(callers []conf.Caller, token string) (account domain.Account, known bool) {
	given := sha256.Sum256([]byte(token))
	for _, c := range callers {
		want := sha256.Sum256([]byte(string(c.Token)))
		if subtle.ConstantTimeCompare(given[:], want[:]) == 1 {
			account, known = c.Account, true
		}
	}
	return account, known
}

func TestAccountsFindMatchesTokenComparison(t *testing.T) {
	callers := testCallers(50)
	a := newAccounts(callers)
	tokens := []string{"", "token-of-the-stud-", "token-of-the-stud-0007 ", "TOKEN-OF-THE-STUD-0007", "token-of-the-stud-0050"}
	for _, c := range callers {
		tokens = append(tokens, string(c.Token))
	}
	for _, token := range tokens {
		want, known := accountByComparison(callers, token)
		got, found := a.find(token)
		require.Equal(t, known, found, token)
		require.Equal(t, want, got, token)
	}
	_, found := newAccounts(nil).find("")
	require.False(t, found)
}

// BenchmarkAccount measures the time to find a request's account, by comparison with
// every token and by digest.
func BenchmarkAccount(b *testing.B) {
	for _, count := range []int{2, 2100} {
		callers := testCallers(count)
		a := newAccounts(callers)
		b.Run(fmt.Sprintf("comparison/accounts=%d", count), func(b *testing.B) {
			for b.Loop() {
				accountByComparison(callers, "token-of-the-stud-0001")
			}
		})
		b.Run(fmt.Sprintf("digest/accounts=%d", count), func(b *testing.B) {
			for b.Loop() {
				a.find("token-of-the-stud-0001")
			}
		})
	}
}
