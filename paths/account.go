package paths

import "jacinthworks/domain"

// Account is a client account, with its credentials and limits.
type Account struct {
	Name domain.Account
	// Keys are the API keys; callers authenticate with any one of them.
	Keys []string
	// Priority replaces the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota bounds how many requests or tokens an account may use, over all entries together.
// The zero value is no bound.
type Quota struct {
	// Rate is refilled each second; Burst is the most that is accumulated during a pause.
	// Both are in tokens if ByTokens is true, and in requests otherwise.
	Rate, Burst float64
	ByTokens    bool
	// PlainTokens is the cost in tokens of a request that does not specify its tokens.
	PlainTokens float64
}

// Limited reports whether the quota bounds the account's use.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the cost of a request with the given number of tokens; zero means that the
// request does not specify its tokens.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.ByTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.PlainTokens
}

// RequiresKey reports whether callers must authenticate with an API key.
func (c *Config) RequiresKey() bool { return len(c.Accounts) > 0 }

// AccountByKey returns the account that the API key belongs to, or nil.
func (c *Config) AccountByKey(key string) *Account {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// AccountByName returns the account with the given name, or nil.
func (c *Config) AccountByName(name domain.Account) *Account { return c.byAccount[name] }
