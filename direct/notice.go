package direct

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/feed"
	"jacinthworks/infra"
	"jacinthworks/retry"
)

// Notice is what an entry tells the others, in a record that all of them watch:
// orders that it gave to engines, or upstreams that died running its requests.
type Notice struct {
	By domain.Host `json:"by"`
	// OrdersAccepted are those under way.
	Orders []RoleChange `json:"orders,omitempty"`
	// Released says that the holder of the roles' lease gave it up.
	Released bool `json:"released,omitempty"`
	// Evidence is what this entry saw itself of requests that crash upstreams.
	Evidence retry.Record `json:"evidence,omitzero"`
}

const (
	// noticeKind is the collection of the notices: one of the holder of the
	// roles' lease, and one of each entry that saw upstreams die.
	noticeKind   = "notices/"
	rolesNotice  = noticeKind + "roles"
	deathsNotice = noticeKind + "deaths."
)

// noticeFeed follows the notices of all entries.
func (s *Server) noticeFeed() *feed.Feed[Notice] {
	return &feed.Feed[Notice]{
		Name: feedNotices, Source: relayed(s, feedNotices, s.Notices, &s.peers.notices), Log: s.Log, Wait: s.Settings.WatchWait,
		OnList: func(now time.Time, all []feed.Item[Notice]) {
			for _, n := range feed.Values(all) {
				s.noteOrders(n)
				s.learn(now, n)
			}
		},
		OnChange: func(now time.Time, changes []feed.Change[Notice]) {
			for _, c := range changes {
				if !c.Deleted && c.DecodeErr == nil {
					s.heed(now, c.Value)
					if c.Value.Released {
						s.released(c.Value.By)
					}
					s.learn(now, c.Value)
				}
			}
		},
	}
}

// notify writes a notice over what the record held.
func (s *Server) notify(ctx context.Context, name string, n Notice) {
	value, err := json.Marshal(n)
	if err == nil {
		err = s.overwrite(ctx, name, value)
	}
	if err != nil {
		s.Log.Info("others not notified", "notice", name, "err", err)
	}
}

// overwrite writes a record over whatever is there.
func (s *Server) overwrite(ctx context.Context, name string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	old, err := s.Records.Get(ctx, name)
	if err != nil && !errors.Is(err, infra.ErrMissing) {
		return err
	}
	_, err = s.Records.Put(ctx, name, value, old.Version)
	return err
}
