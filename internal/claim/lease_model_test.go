package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"cactuswall.example/cactuswall/internal/recordcodec"
	"cactuswall.example/cactuswall/internal/store"
)

// The model is the protocol by which the owners of a cell extend leases on workers: processes that use View and Grants, a store, and
// workers, in steps of modelTick. An order counts as accepted by the worker once it is sent, since its answer may be lost, and it may
// be delivered late.
const (
	modelTick     = RenewInterval
	modelMaxLease = 10 * time.Second
	// modelBound is the time after the last statement of an owner by which its leases have ended for a registered candidate.
	modelBound = 7200 * time.Millisecond
)

// leaseModel is a state of the model.
type leaseModel struct {
	scenario   *modelScenario
	tick       int
	faultsLeft int
	topic      modelTopic
	processes  []modelProcess
	workers    []modelWorker
	// unbounded is set once leases were extended with consents, or an owner waits for longer than modelBound.
	unbounded bool
	violation string
}

// modelTopic is the topic of claims, of which the newest record of each key is left.
type modelTopic struct {
	end     store.Offset
	records []store.Record
	epoch   int64 // of the newest claim
	// statedAt is when the newest statement was stored. late is an append that is under way.
	statedAt  time.Duration
	late      []store.Record
	lateEnd   store.Offset
	lateEpoch int64
}

// modelProcess is a process and the latest incarnation of it.
type modelProcess struct {
	up, frozen, away, readOnly bool
	// plain is set if the process writes no statements.
	plain       bool
	incarnation int
	rate        int // of the clock, in thousandths
	view        *View
	claim       *modelClaim
	owner       *modelOwner
	// answer is to an append during which the process was frozen.
	answer *modelAppend
	// consent and registration are answers that are under way: to this process as an owner, and as a candidate.
	consent      modelConsent
	registration struct{ epoch, round int64 }
}

type modelConsent struct {
	candidate string
	serial    int64
	due       int // tick
}

// modelAppend is an append that was stored.
type modelAppend struct {
	record       Record
	claim        *modelClaim // nil for a renewal
	statement    Statement
	former       FormerRenewals
	formerNeeded bool
	sent         time.Duration
	end          store.Offset
}

type modelClaim struct {
	record Record
	wait   LeaseWait
}

// modelOwner does what package cell does for an owner.
type modelOwner struct {
	epoch     int64
	claimedAt time.Duration
	grants    *Grants
	wait      LeaseWait
	workers   []modelLease
}

// modelLease is what an owner knows of a worker.
type modelLease struct {
	accepted, failing       bool
	clock, clockAt, granted time.Duration
	former, inherited       time.Duration
	listedSerial            int64 // 0 if not listed
	listedEnd               time.Duration
}

// modelWorker is a worker. until is the end of its lease on its own clock, and cut has a bit for each process out of reach.
type modelWorker struct {
	epoch int64
	until time.Duration
	cut   uint
}

func (m *leaseModel) now() time.Duration { return time.Duration(m.tick) * modelTick }

// local returns the reading of the clock of a process.
func (p *modelProcess) local(now time.Duration) time.Duration {
	return now * time.Duration(p.rate) / 1000
}

// global returns when the clock of a process shows a time.
func (p *modelProcess) global(reading time.Duration) time.Duration {
	return reading * 1000 / time.Duration(p.rate)
}

func newLeaseModel(s *modelScenario) *leaseModel {
	m := &leaseModel{scenario: s, faultsLeft: s.faults, processes: make([]modelProcess, s.processes), workers: make([]modelWorker, max(1, s.workers)),
		unbounded: s.loosened != "" && s.violation == ""}
	for i := range m.processes {
		m.processes[i].rate = 1000
		if s.rates[i] > 0 {
			m.processes[i].rate = s.rates[i]
		}
		m.processes[i].plain = s.plain&(1<<i) != 0
		m.processes[i].away = s.away&(1<<i) != 0
		if s.down&(1<<i) == 0 {
			m.start(i)
		}
	}
	for i := range m.workers {
		m.workers[i].cut = s.cut
	}
	return m
}

func (m *leaseModel) start(i int) {
	p := &m.processes[i]
	incarnation := p.incarnation + 1
	*p = modelProcess{up: true, away: p.away, readOnly: p.readOnly, plain: p.plain, incarnation: incarnation, rate: p.rate}
	node := string(rune('a' + i))
	p.view = NewView(fmt.Sprint(node, incarnation), node, 0)
}

// clone returns a copy that shares only what is never changed.
func (m *leaseModel) clone() *leaseModel {
	c := *m
	c.processes, c.workers = slices.Clone(m.processes), slices.Clone(m.workers)
	for i := range c.processes {
		p := &c.processes[i]
		if p.view != nil {
			v := *p.view
			v.unanswered = slices.Clone(v.unanswered)
			p.view = &v
		}
		if p.owner != nil {
			o, g := *p.owner, *p.owner.grants
			o.workers = slices.Clone(o.workers)
			g.unanswered, g.candidates, g.consents = slices.Clone(g.unanswered), maps.Clone(g.candidates), maps.Clone(g.consents)
			o.grants, p.owner = &g, &o
		}
	}
	return &c
}

// step advances the model by a tick in which a fault occurs.
func (m *leaseModel) step(f modelFault) {
	m.tick++
	m.inject(f)
	m.deliverLate()
	m.readAll()
	for i := range m.processes {
		if p := &m.processes[i]; p.running() {
			m.receiveRegistration(p)
			m.confirmClaim(p)
			m.register(p, f.kind == faultRegistrationLate && f.process == i)
		}
	}
	for i := range m.processes {
		if p := &m.processes[i]; p.running() && p.owner != nil {
			m.askForConsents(p, f.kind == faultConsentLate && f.process == i)
		}
	}
	for i := range m.processes {
		if p := &m.processes[i]; p.running() {
			m.write(i, f.outcome(i, p))
			if f.kind == faultAllAwayStored || f.kind == faultAwayStored && f.process == i {
				p.away = true
			}
			if f.kind == faultRelease && f.process == i {
				*p = modelProcess{incarnation: p.incarnation, away: p.away, plain: p.plain, rate: p.rate}
			}
		}
	}
	m.readAll()
	for i := range m.processes {
		if p := &m.processes[i]; p.running() && p.owner != nil {
			m.receiveConsent(p)
			for w := range m.workers {
				m.hold(i, w, f.kind == faultHoldLost && f.process == i)
			}
		}
	}
	m.check()
}

func (p *modelProcess) running() bool { return p.up && !p.frozen }

// readAll lets all processes read the topic.
func (m *leaseModel) readAll() {
	for i := range m.processes {
		p := &m.processes[i]
		if !p.running() {
			continue
		}
		v := p.view
		if p.away {
			v.StoreUnreachable()
		} else {
			v.Observe(m.topic.records, m.topic.end, p.local(m.now()))
			m.loosenRead(p)
			if s, known := v.Statement(); known && v.Owns() && p.owner != nil && p.owner.epoch == s.Epoch {
				m.stored(p.owner, s.Serial)
			}
		}
		if p.answer != nil {
			m.accept(p, p.answer)
			p.answer = nil
		}
		if o := p.owner; o != nil && (v.latest.Epoch != o.epoch || !v.MayRenewWorkerLeases(p.local(m.now()))) {
			v.Abandon(o.epoch)
			p.owner = nil
		}
	}
}

// confirmClaim starts the owner under a claim that was sent without an answer and has been read back.
func (m *leaseModel) confirmClaim(p *modelProcess) {
	c, v := p.claim, p.view
	if c == nil || v.latest.Epoch < c.record.Epoch {
		return
	}
	owned := v.latest.Epoch == c.record.Epoch && v.Owns()
	if owned && !v.MayDecide(p.local(m.now())) {
		return
	}
	p.claim = nil
	if owned {
		m.startOwner(p, c)
	}
}

func (m *leaseModel) startOwner(p *modelProcess, c *modelClaim) {
	now := p.local(m.now())
	o := &modelOwner{epoch: c.record.Epoch, claimedAt: now, grants: NewGrants(c.record.Epoch, 1, modelMaxLease, now), wait: c.wait}
	for w := range m.workers {
		former := min(c.wait.End, c.wait.Others)
		if stated, known := c.wait.Workers[workerID(w)]; known {
			former = stated.End
		}
		o.workers = append(o.workers, modelLease{former: former})
	}
	p.owner, p.claim = o, nil
	m.unbounded = m.unbounded || c.wait.End > now+modelBound
}

func workerID(w int) string { return string(rune('1' + w)) }

// register registers a process as a candidate with the owner that it knows.
func (m *leaseModel) register(p *modelProcess, late bool) {
	if p.plain || !p.view.RegistrationDue() {
		return
	}
	latest := p.view.latest
	for i := range m.processes {
		q := &m.processes[i]
		if !q.running() || q.view.holder != latest.Holder || q.owner == nil || q.owner.epoch != latest.Epoch {
			continue
		}
		g := q.owner.grants
		extended := g.isExtended
		if m.scenario.loosened == registersWhileExtended {
			g.isExtended = false
		}
		round, ok := g.Register(p.view.holder, "")
		g.isExtended = extended
		switch {
		case ok && late:
			p.registration.epoch, p.registration.round = latest.Epoch, round
		case ok:
			p.view.Registered(latest.Epoch, round)
		}
	}
}

// askForConsents asks the candidates for the consents that an owner needs. The last answer is late if late is set.
func (m *leaseModel) askForConsents(p *modelProcess, late bool) {
	g, now := p.owner.grants, p.local(m.now())
	missing, serial := g.ConsentsNeeded(now)
	slices.SortFunc(missing, func(a, b Candidate) int { return int(a.ID[0]) - int(b.ID[0]) })
	for _, c := range missing {
		q := &m.processes[c.ID[0]-'a']
		switch {
		case !q.running(), q.view.holder != c.ID:
		case m.consents(q, p.owner.epoch, serial):
			if late {
				p.consent = modelConsent{c.ID, serial, m.tick + 2}
				continue
			}
			g.Consented(c.ID, serial, now)
		}
	}
	m.unbounded = m.unbounded || g.Extended()
}

// consents asks a candidate for its consent.
func (m *leaseModel) consents(p *modelProcess, epoch, serial int64) bool {
	v := p.view
	unanswered := v.unanswered
	if m.scenario.loosened == consentsAfterClaim {
		v.unanswered = nil
	}
	refusal := v.Consent(epoch, serial)
	v.unanswered = unanswered
	if m.scenario.loosened == forgetsConsent {
		v.candidacy.consentSerial = 0
	}
	return refusal == ""
}

// receiveRegistration delivers the answer to a registration that was under way.
func (m *leaseModel) receiveRegistration(p *modelProcess) {
	if r := &p.registration; r.round > 0 {
		p.view.Registered(r.epoch, r.round)
		r.epoch, r.round = 0, 0
	}
}

// receiveConsent delivers the consent that was under way.
func (m *leaseModel) receiveConsent(p *modelProcess) {
	c, g := p.consent, p.owner.grants
	if c.candidate == "" || m.tick < c.due {
		return
	}
	if m.scenario.loosened == usesOlderConsent {
		c.serial = g.Serial()
	}
	g.Consented(c.candidate, c.serial, p.local(m.now()))
	m.unbounded = m.unbounded || g.Extended()
	p.consent = modelConsent{}
}

// write appends the renewal, release or claim that is due.
func (m *leaseModel) write(i int, outcome appendOutcome) {
	p := &m.processes[i]
	v, now := p.view, p.local(m.now())
	switch {
	case outcome == appendReleased:
		if v.Owns() {
			r := v.latest
			r.Released = true
			m.append(p, r, nil, outcome)
		}
	case v.RenewalDue(now):
		m.append(p, v.latest, nil, outcome)
	case v.ShouldClaim(now):
		c := &modelClaim{v.NextClaim(v.node, ""), v.LeaseWait(modelMaxLease, now)}
		p.claim = c
		m.append(p, c.record, c, outcome)
	}
}

// append appends a record of the claim with its statement.
func (m *leaseModel) append(p *modelProcess, r Record, c *modelClaim, outcome appendOutcome) {
	v, now, end := p.view, p.local(m.now()), p.view.End()
	var records []store.Record
	statement := m.nextStatement(p, r)
	former, formerNeeded := v.NextFormerRenewals(r.Epoch, now)
	if formerNeeded {
		records = append(records, modelRecord(FormerRenewalsKey, &former))
	}
	if !p.plain {
		records = append(records, modelRecord(StatementKey, &statement))
	}
	records = append(records, modelRecord(Key, &r))
	for i := range records {
		records[i].Offset = end + store.Offset(i)
	}
	last := records[len(records)-1].Offset
	v.Sent(r, last, now)
	if outcome == appendLate {
		m.topic.late, m.topic.lateEnd, m.topic.lateEpoch = records, end, r.Epoch
		return
	}
	if outcome == appendLost || m.topic.end != end {
		return
	}
	m.topic.store(records, r.Epoch, m.now())
	a := &modelAppend{r, c, statement, former, formerNeeded, now, last + 1}
	switch outcome {
	case appendUnanswered:
	case appendFrozen:
		p.answer, p.frozen = a, true
	default:
		m.accept(p, a)
	}
}

// accept applies the answer to an append that was stored.
func (m *leaseModel) accept(p *modelProcess, a *modelAppend) {
	v := p.view
	if a.formerNeeded {
		v.ApplyFormerRenewals(a.former, a.sent)
	}
	if !p.plain {
		v.ApplyStatement(a.statement, a.end-2, a.sent)
	}
	v.Accepted(a.record, store.AppendResult{End: a.end}, a.sent, p.local(m.now()))
	if m.scenario.loosened == ownsAfterOtherClaim {
		v.accepted(a.record, a.sent)
	}
	if a.claim != nil {
		m.startOwner(p, a.claim)
	} else if o := p.owner; o != nil && o.epoch == a.statement.Epoch {
		m.stored(o, a.statement.Serial)
	}
}

func modelRecord[T any](key string, value *T) store.Record {
	encoded, err := recordcodec.Encode(value)
	if err != nil {
		panic(err)
	}
	return store.Record{Key: key, Value: encoded}
}

// store stores records as the newest ones of their keys.
func (t *modelTopic) store(records []store.Record, epoch int64, now time.Duration) {
	var kept []store.Record
	for _, old := range t.records {
		if !slices.ContainsFunc(records, func(r store.Record) bool { return r.Key == old.Key }) {
			kept = append(kept, old)
		}
	}
	t.records, t.end, t.epoch, t.statedAt = append(kept, records...), t.end+store.Offset(len(records)), epoch, now
}

// deliverLate stores the append that is under way, unless another one was stored meanwhile.
func (m *leaseModel) deliverLate() {
	if m.topic.late != nil && m.topic.lateEnd == m.topic.end {
		m.topic.store(m.topic.late, m.topic.lateEpoch, m.now())
	}
	m.topic.late, m.topic.lateEnd = nil, 0
}

// nextStatement returns the statement that is stored with a record.
func (m *leaseModel) nextStatement(p *modelProcess, r Record) Statement {
	o, now := p.owner, p.local(m.now())
	if o == nil || o.epoch != r.Epoch {
		s := p.view.NextStatement(r.Epoch, p.view.LeaseWait(modelMaxLease, now), now)
		if m.scenario.loosened == statesNoFormerLeases {
			s.Others, s.Extended, s.Workers = 0, 0, nil
		}
		return s
	}
	g := o.grants
	extends := !r.Released && (g.Allowed() || now >= o.claimedAt+500*time.Millisecond)
	others, serial := min(o.wait.End, o.wait.Others), g.Serial()+1
	var listed []StatedLease
	for i := range o.workers {
		w := &o.workers[i]
		end := w.end()
		if end > now && (end > now+g.Stated() || !w.accepted || w.failing) {
			listed = append(listed, StatedLease{Worker: workerID(i), Remaining: end - now})
			w.listedSerial, w.listedEnd = serial, end
		} else {
			others = max(others, end)
			if m.scenario.loosened == extendsUnlistedEarly {
				w.listedSerial = 0
			}
		}
	}
	if m.scenario.loosened == statesLonger {
		g.stated += 300 * time.Millisecond
	}
	s := g.Next(others, listed, extends, now)
	switch m.scenario.loosened {
	case statesLessThanLimit:
		s.Others = min(s.Others, g.stated)
	case dropsCandidatesEarly:
		maps.DeleteFunc(g.candidates, func(_ string, c Candidate) bool { return c.round < s.OldestRound })
	case statesNoListedEnd:
		for i := range s.Workers {
			s.Workers[i].Remaining = 0
		}
	}
	return s
}

// stored records that the statement with a serial is stored.
func (m *leaseModel) stored(o *modelOwner, serial int64) {
	if serial <= o.grants.Stored() {
		return
	}
	o.grants.StatementStored(serial)
	if m.scenario.loosened == registersAfterLateAnswer {
		o.grants.isExtended = false
	}
	for i := range o.workers {
		if w := &o.workers[i]; w.listedSerial < serial {
			w.listedSerial = 0
		}
	}
}

// end returns by when all leases on the worker have ended.
func (w *modelLease) end() time.Duration {
	if !w.accepted {
		return w.former
	}
	return max(LeaseEnd(w.clockAt, max(0, w.granted-w.clock)), w.inherited)
}

// hold extends the lease on a worker and asks it for an answer.
func (m *leaseModel) hold(process, worker int, lost bool) {
	p, target := &m.processes[process], &m.workers[worker]
	o, clock, now := p.owner, m.workerClock(m.now()), p.local(m.now())
	w := &o.workers[worker]
	if w.accepted && target.epoch <= o.epoch {
		if until := m.extend(p, w); until > 0 {
			target.until = max(target.until, until)
		}
	}
	if lost || target.cut&(1<<process) != 0 || target.epoch > o.epoch {
		w.failing = true
		return
	}
	target.epoch = o.epoch
	if !w.accepted {
		w.inherited = min(LeaseEnd(now, modelMaxLease), max(now, w.former))
	}
	first := !w.accepted
	w.accepted, w.failing, w.clock, w.clockAt = true, false, clock, now
	if first {
		if until := m.extend(p, w); until > 0 {
			target.until = max(target.until, until)
		}
	}
}

// extend returns the end of the lease that an owner grants now, on the worker's clock, or 0 if it grants none.
func (m *leaseModel) extend(p *modelProcess, w *modelLease) time.Duration {
	now, limit := p.local(m.now()), p.owner.grants.Limit()
	clock := w.clock + now - w.clockAt
	if p.plain {
		w.granted = max(w.granted, clock+modelMaxLease)
		return w.granted
	}
	if m.scenario.loosened == exceedsLimit && limit > 0 {
		limit += modelTick
	}
	if w.listedSerial > 0 && m.scenario.loosened != extendsListed {
		limit = min(limit, w.listedEnd)
	}
	until := min(clock+MaxGrantedLease, w.clock+LongestLease(w.clockAt, limit))
	if until <= clock && w.granted <= clock {
		return 0
	}
	w.granted = max(w.granted, until)
	return w.granted
}

// workerClock returns what the workers' clocks show.
func (m *leaseModel) workerClock(now time.Duration) time.Duration {
	return now * time.Duration(m.scenario.workerRate()) / 1000
}

// check sets violation if the state is not one that the protocol allows.
func (m *leaseModel) check() {
	now := m.now()
	for i := range m.processes {
		p := &m.processes[i]
		if !p.running() {
			continue
		}
		if p.owner != nil {
			if p.owner.epoch != m.topic.epoch {
				continue // the store takes no more decisions from it
			}
			for w := range p.owner.workers {
				given := max(now, p.global(p.owner.workers[w].end()))
				until := m.workers[w].until * 1000 / time.Duration(m.scenario.workerRate())
				if given < now+modelTick && until > given {
					m.violation = fmt.Sprintf("owner %s takes the runs on worker %s for ended at %v, the lease lasts until %v", p.view.holder, workerID(w), given, until)
				}
			}
			continue
		}
		v := p.view
		s, known := v.Statement()
		if !known || m.unbounded || p.away || v.owns || !v.candidacy.withholdsConsent(&s) || v.statementReadAt != p.local(m.topic.statedAt) || v.latest.Released {
			continue
		}
		if end := p.global(v.LeaseWait(modelMaxLease, p.local(now)).End); end > m.topic.statedAt+modelBound {
			m.violation = fmt.Sprintf("candidate %s would wait until %v, the owner's last statement was stored at %v", v.holder, end, m.topic.statedAt)
		}
	}
}

// stateKey identifies a state.
type stateKey [16]byte

// stateWriter encodes a state for its key.
type stateWriter []byte

func (b *stateWriter) ints(values ...int64) {
	for _, v := range values {
		*b = binary.AppendVarint(*b, v)
	}
}

func (b *stateWriter) times(values ...time.Duration) {
	for _, v := range values {
		*b = binary.AppendVarint(*b, int64(v))
	}
}

func (b *stateWriter) flags(values ...bool) {
	for _, v := range values {
		if v {
			*b = append(*b, 1)
		} else {
			*b = append(*b, 0)
		}
	}
}

func (b *stateWriter) text(s string) { *b = append(append(*b, s...), 0) }

func (b *stateWriter) records(records []store.Record) {
	b.ints(int64(len(records)))
	for i := range records {
		b.ints(int64(records[i].Offset))
		b.text(records[i].Key)
		b.ints(int64(len(records[i].Value)))
		*b = append(*b, records[i].Value...)
	}
}

func (b *stateWriter) record(r *Record) {
	b.text(r.Holder)
	b.ints(r.Epoch)
	b.flags(r.Released)
}

func (b *stateWriter) statement(s *Statement) {
	b.ints(s.Epoch, s.Serial, s.Round, s.OldestRound, int64(len(s.Workers)))
	b.times(s.Others, s.Extended)
	for i := range s.Workers {
		b.text(s.Workers[i].Worker)
		b.times(s.Workers[i].Remaining)
	}
}

func (b *stateWriter) wait(w *LeaseWait) {
	b.times(w.End, w.Others)
	for i := range 2 {
		b.times(w.Workers[workerID(i)].End)
	}
}

func (b *stateWriter) view(v *View) {
	b.record(&v.latest)
	b.flags(v.hasLatest, v.reachable, v.owns)
	b.times(v.latestReadAt, v.reachableSince, v.renewedAt, v.epochReadAt, v.former.Remaining, v.formerReadAt, v.statementReadAt, v.followedRenewalsEnd)
	b.ints(int64(v.readEnd), v.abandonedEpoch, v.former.Epoch, int64(v.statementOffset), int64(v.latestOffset), int64(len(v.unanswered)))
	for i := range v.unanswered {
		b.record(&v.unanswered[i].record)
		b.ints(int64(v.unanswered[i].offset))
		b.times(v.unanswered[i].sent)
	}
	b.statement(&v.statement)
	c := &v.candidacy
	b.ints(c.registeredEpoch, c.registeredRound, c.consentEpoch, c.consentSerial)
}

func (b *stateWriter) owner(o *modelOwner) {
	g := o.grants
	b.ints(o.epoch, g.serial, g.stored, g.round, g.oldestRound, int64(len(g.unanswered)), int64(len(g.candidates)), int64(len(g.consents)))
	b.times(o.claimedAt, g.limit, g.storedSent, g.roundSince)
	b.flags(g.isExtended)
	for i := range g.unanswered {
		u := &g.unanswered[i]
		b.ints(u.serial, u.oldestRound)
		b.times(u.sent, u.others)
		b.flags(u.grants)
	}
	for _, id := range slices.Sorted(maps.Keys(g.candidates)) {
		b.text(id)
		b.ints(g.candidates[id].round)
	}
	for _, id := range slices.Sorted(maps.Keys(g.consents)) {
		b.text(id)
	}
	b.wait(&o.wait)
	for i := range o.workers {
		w := &o.workers[i]
		b.flags(w.accepted, w.failing)
		b.times(w.clock, w.clockAt, w.granted, w.former, w.inherited, w.listedEnd)
		b.ints(w.listedSerial)
	}
}

// key returns the key of the state among those of the same tick.
func (m *leaseModel) key(buffer *stateWriter) stateKey {
	b := (*buffer)[:0]
	b.ints(int64(m.tick), int64(m.faultsLeft), int64(m.topic.end), int64(m.topic.lateEnd))
	b.times(m.topic.statedAt)
	b.flags(m.unbounded)
	b.records(m.topic.records)
	b.records(m.topic.late)
	for i := range m.processes {
		p := &m.processes[i]
		b.flags(p.up, p.frozen, p.away, p.readOnly, p.claim != nil, p.owner != nil, p.answer != nil)
		b.ints(int64(p.incarnation), p.consent.serial, int64(p.consent.due), p.registration.epoch, p.registration.round)
		b.text(p.consent.candidate)
		if p.view != nil {
			b.view(p.view)
		}
		if a := p.answer; a != nil {
			b.record(&a.record)
			b.statement(&a.statement)
			b.times(a.sent, a.former.Remaining)
			b.flags(a.claim != nil, a.formerNeeded)
			b.ints(int64(a.end))
			if a.claim != nil {
				b.wait(&a.claim.wait)
			}
		}
		if p.claim != nil {
			b.record(&p.claim.record)
			b.wait(&p.claim.wait)
		}
		if p.owner != nil {
			b.owner(p.owner)
		}
	}
	for i := range m.workers {
		w := &m.workers[i]
		b.ints(w.epoch, int64(w.cut))
		b.times(w.until)
	}
	*buffer = b
	sum := sha256.Sum256(b)
	return stateKey(sum[:16])
}
