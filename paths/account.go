package paths

import "jacinthworks/domain"

// Account is a client account: who may ask, as whom, and how much.
type Account struct {
	Name domain.Account
	// Keys are the secrets that its callers show; any one of them will do.
	Keys []string
	// Priority goes before that of the route, where HasPriority says that there is one.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota bounds what an account may have run, over all entries together. The zero
// value is no bound.
type Quota struct {
	// Rate is what it may have each second, Burst what it may have at once
	// after a pause. Both are in tokens where ByTokens says so, else in requests.
	Rate, Burst float64
	ByTokens    bool
	// PlainTokens is what a request counts that says nothing of its tokens.
	PlainTokens float64
}

// Limited says whether there is a bound.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost is what a request with so many tokens counts; zero tokens are for one that
// does not say.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.ByTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.PlainTokens
}

// RequiresKey says whether callers have to show a key at all.
func (c *Config) RequiresKey() bool { return len(c.Accounts) > 0 }

// AccountByKey gives the account that holds a key; nil for none.
func (c *Config) AccountByKey(key string) *Account {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// AccountByName gives the account of a name; nil for none.
func (c *Config) AccountByName(name domain.Account) *Account { return c.byAccount[name] }
