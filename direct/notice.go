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
	"jacinthworks/split"
)

// Notice is a record by which an entry notifies the others, which all watch it, of role
// changes that it ordered, or of upstreams that crashed while running its requests.
type Notice struct {
	By domain.Host `json:"by"`
	// Orders are the role changes in progress.
	Orders []RoleChange `json:"orders,omitempty"`
	// Released means that the holder of the roles lease released it.
	Released bool `json:"released,omitempty"`
	// Evidence is what this entry saw of requests that crash upstreams.
	Evidence retry.Record `json:"evidence,omitzero"`
	// OmittedOrders is the number of orders that decoding left out.
	OmittedOrders int `json:"-"`
}

// UnmarshalJSON decodes a notice, which may come from any writer, within the bound of its orders.
func (n *Notice) UnmarshalJSON(text []byte) error {
	type plain Notice // without this method
	w := struct {
		*plain
		Orders json.RawMessage `json:"orders"`
	}{plain: (*plain)(n)}
	*n = Notice{}
	err := json.Unmarshal(text, &w)
	if err == nil {
		err = checkPeerName(n.By)
	}
	if err == nil {
		n.Orders, n.OmittedOrders, err = split.Decode[RoleChange](w.Orders, maxPeerList, nil)
	}
	return errors.Wrap(err, "direct: decode notice")
}

const (
	// noticePrefix is the collection of the notices: one of the holder of the roles lease,
	// and one of each entry that saw upstreams crash.
	noticePrefix      = "notices/"
	rolesNotice       = noticePrefix + "roles"
	crashNoticePrefix = noticePrefix + "deaths."
)

// noticeFeed returns the feed of the notices of all entries.
func (s *Server) noticeFeed() *feed.Feed[Notice] {
	return &feed.Feed[Notice]{
		Name: feedNotices, Source: relaySource(s, feedNotices, s.Notices, &s.peers.notices), Log: s.Log, WatchTimeout: s.Settings.WatchTimeout,
		OnUndecodable: s.countUndecodable(feedNotices),
		OnList: func(now time.Time, all []feed.Item[Notice]) {
			for _, n := range feed.Values(all) {
				s.reportOmitted(n.By, n.OmittedOrders)
				s.recordOrders(n)
				s.mergeCrashes(n.By, n.Evidence)
			}
		},
		OnChange: func(now time.Time, changes []feed.Change[Notice]) {
			for _, c := range changes {
				if !c.Deleted && c.DecodeErr == nil {
					s.reportOmitted(c.Value.By, c.Value.OmittedOrders)
					s.applyChanges(now, c.Value)
					if c.Value.Released {
						s.onLeaseReleased(c.Value.By)
					}
					s.mergeCrashes(c.Value.By, c.Value.Evidence)
				}
			}
		},
	}
}

// writeNotice overwrites a notice in the store, and reports whether it was written. A failure is
// logged.
func (s *Server) writeNotice(ctx context.Context, name string, n Notice) bool {
	value, err := json.Marshal(n)
	if err == nil {
		err = s.overwriteRecord(ctx, name, value)
	}
	if err != nil {
		s.Log.Info("notice not written", "notice", name, "err", err)
	}
	return err == nil
}

// overwriteRecord writes a record whatever its current version.
func (s *Server) overwriteRecord(ctx context.Context, name string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	old, err := s.Records.Get(ctx, name)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return err
	}
	_, err = s.Records.Put(ctx, name, value, old.Version)
	return err
}
