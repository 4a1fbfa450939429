package claim

import "slices"

// candidacy is what a process has agreed with the owners of a cell that it may follow as the next owner. An owner that cannot reach
// the store extends leases beyond Statement.Others only with the consent of all registered candidates. So a candidate that has
// registered and has not consented knows that the owner has not.
type candidacy struct {
	// registeredEpoch and registeredRound are the newest registration that an owner has confirmed.
	registeredEpoch, registeredRound int64
	// consentEpoch and consentSerial are the newest consent: to what the owner extends until it sends a statement with a higher
	// serial.
	consentEpoch, consentSerial int64
}

// withholdsConsent reports whether the owner cannot have extended leases beyond Others of the statement, since it would have needed
// the consent of this process.
func (c *candidacy) withholdsConsent(s *Statement) bool {
	registered := c.registeredEpoch == s.Epoch && c.registeredRound > 0 && c.registeredRound >= s.OldestRound
	consented := c.consentEpoch == s.Epoch && c.consentSerial >= s.Serial
	return registered && !consented
}

// RegistrationDue reports whether this process should register as a candidate with the owner under the latest epoch.
func (v *View) RegistrationDue() bool {
	s, known := v.Statement()
	return known && !v.owns && !v.latest.Released && s.Round > 0 && v.latest.Holder != v.holder &&
		(v.candidacy.registeredEpoch != s.Epoch || v.candidacy.registeredRound < s.Round)
}

// Registered records that the owner under an epoch has registered this process as a candidate in a round.
func (v *View) Registered(epoch, round int64) {
	c := &v.candidacy
	if epoch > c.registeredEpoch || epoch == c.registeredEpoch && round > c.registeredRound {
		c.registeredEpoch, c.registeredRound = epoch, round
	}
}

// Refusals of a consent.
const (
	RefusalStoreReachable = "store reachable"
	RefusalOtherOwner     = "other owner"
	RefusalOwnClaim       = "own claim sent"
)

// Consent asks this process to let the owner under an epoch extend leases beyond what it has stated, until it sends a statement with
// a higher serial. It refuses while it can reach the store, since it could then be the next owner soon.
func (v *View) Consent(epoch, serial int64) (refusal string) {
	c := &v.candidacy
	switch {
	case v.reachable:
		return RefusalStoreReachable
	case v.hasLatest && v.latest.Epoch > epoch || c.consentEpoch > epoch:
		return RefusalOtherOwner
	case slices.ContainsFunc(v.unanswered, func(u sentRecord) bool { return u.record.Epoch > epoch }):
		return RefusalOwnClaim // its wait for leases does not allow for the consent
	}
	if epoch > c.consentEpoch {
		c.consentEpoch, c.consentSerial = epoch, 0
	}
	c.consentSerial = max(c.consentSerial, serial)
	return ""
}
