package quota

import "time"

// Live reports whether the token could be spent at a time, without spending it.
func (t Token) Live(now time.Duration) bool {
	if t.grant == nil {
		return false
	}
	t.account.mutex.Lock()
	defer t.account.mutex.Unlock()
	return now < t.grant.expires
}
