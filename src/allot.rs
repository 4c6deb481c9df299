//! Credits of all targets: what this daemon owns and hands out, and what it
//! holds. No input or output: calls return what is to be sent.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::Notify;

use crate::{
    cell::{cells_of, owner_in},
    clock::BootTime,
    credits::{Credit, local_share},
    engine::LoadReport,
    holder::Holder,
    lease::{Lease, LeaseCall, LeaseRecord},
    owner::{Book, FirstTokens},
    platform::{Object, Put},
    records::Capacity,
    settings::Policy,
    view::Standing,
    warmup::Ramp,
    wire::{
        CreditAsk, CreditGrant, DaemonName, Datagram, Handover, LoadHint, MemberId, TargetName,
    },
};

/// Start that a target without load reports is taken to have.
const LISTED: &str = "listed";
/// Lives of a credit that a lease on a starting target lasts.
const LEASE_LIVES: u32 = 2;

/// Live daemons with their regions, this one included.
pub type Daemons = BTreeMap<DaemonName, Box<str>>;

/// A target as the instance list and the records have it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Region it stands in.
    pub region: Box<str>,
    /// Whether it may take new work.
    pub standing: Standing,
    /// How much the record says it takes.
    pub capacity: Capacity,
    /// First-token time above which it counts as cold again.
    pub first_token_band: Duration,
    /// It reports its start; others count as started when listed.
    pub reports_load: bool,
}

/// What is to be sent.
#[derive(Clone, Debug)]
pub enum Out {
    /// A datagram to a daemon, with the sequence that it must carry.
    Send(DaemonName, u64, Datagram),
    /// A call on a target's lease, with the value to write.
    Lease(TargetName, LeaseCall, LeaseRecord),
    /// Ask a target for its load report at once.
    Probe(TargetName),
}

/// How a call on a lease ended.
#[derive(Clone, Debug)]
pub enum LeaseAnswer {
    /// The object as read; `None` when absent.
    Read(Option<Object>),
    /// How the write ended.
    Put(Put),
    /// No answer; a write may have taken effect.
    Failed,
}

struct Tracked {
    listed: Listed,
    owner: Option<DaemonName>,
    ramp: Ramp,
    lease: Lease,
    /// Present while this daemon is the owner.
    book: Option<Book>,
    /// By its last report it is warming up, or requests wait for its memory.
    is_warming: bool,
    has_queue: bool,
    /// Its last report, to its owner.
    load: LoadHint,
    /// Since when the target may have started anew; no credits until it says.
    doubted_since: Option<BootTime>,
    /// Asks that wait for the target's word, by sender.
    deferred: BTreeMap<MemberId, (u64, CreditAsk)>,
}

/// All targets of the instance list.
pub struct Allot {
    me: MemberId,
    policy: Policy,
    life: Duration,
    holder: Holder,
    targets: BTreeMap<TargetName, Tracked>,
    sequence: u64,
    called_at: BootTime,
    /// When the process last went on after a pause.
    paused_at: Option<BootTime>,
    /// Handovers to send with the next heartbeat period.
    handovers: Vec<(DaemonName, Handover)>,
}

impl Allot {
    /// Starts without targets. `life` is the life of a credit.
    #[must_use]
    pub fn new(
        me: MemberId,
        policy: Policy,
        life: Duration,
        wake: Arc<Notify>,
        now: BootTime,
    ) -> Self {
        Self {
            me,
            policy,
            life,
            holder: Holder::new(life, wake),
            targets: BTreeMap::new(),
            sequence: 0,
            called_at: now,
            paused_at: None,
            handovers: Vec::new(),
        }
    }

    /// The next datagram sequence; all datagrams of this daemon share it.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// What a target last reported, to this daemon or to its owner.
    #[must_use]
    pub fn load(&self, target: &str) -> LoadHint {
        let tracked = self.targets.get(target);
        tracked.map(|t| t.load).unwrap_or_default()
    }

    /// Whether this daemon reads a target's load reports: its owner does, or
    /// each daemon where there are no owners.
    #[must_use]
    pub fn polls(&self, target: &str) -> bool {
        let tracked = self.targets.get(target);
        self.policy == Policy::LeastInFlight || tracked.is_some_and(|t| t.book.is_some())
    }

    /// Credits held for a target.
    pub fn credit(&mut self, target: &str) -> Arc<Credit> {
        self.holder.credit(target)
    }

    /// Takes the targets and daemons as they are now known.
    pub fn refresh(
        &mut self,
        listed: BTreeMap<TargetName, Listed>,
        daemons: &Daemons,
        now: BootTime,
    ) {
        self.targets.retain(|name, _| listed.contains_key(name));
        self.holder.retain(|name| listed.contains_key(name), now);
        let cells = cells_of(daemons);
        for (name, listed) in listed {
            let owner = owner_in(&cells, &name, &listed.region).map(Box::from);
            self.refresh_target(name, listed, owner, daemons.len(), now);
        }
    }

    fn refresh_target(
        &mut self,
        name: TargetName,
        listed: Listed,
        owner: Option<DaemonName>,
        daemons: usize,
        now: BootTime,
    ) {
        let credit = self.holder.credit(&name);
        credit.set_first_token_band(listed.first_token_band);
        if self.policy == Policy::LeastInFlight {
            let share = local_share(listed.capacity.limit, daemons);
            return credit.grant(share, now + self.life);
        }
        if listed.standing != Standing::Serving {
            self.holder.revoke(&name, now);
        }
        let is_mine = owner.as_ref() == Some(&self.me.name);
        let known = self.targets.remove(&name);
        let mut tracked = known.unwrap_or_else(|| Tracked {
            listed: listed.clone(),
            owner: None,
            ramp: Ramp::default(),
            lease: Lease::new(self.me.clone(), self.life * LEASE_LIVES),
            book: None,
            is_warming: false,
            has_queue: false,
            load: LoadHint::default(),
            doubted_since: None,
            deferred: BTreeMap::new(),
        });
        let was_out = tracked.listed.standing == Standing::ZoneOut;
        if was_out && listed.standing == Standing::Serving {
            // A zone that returns ramps: it never takes the whole load at once.
            tracked.ramp.chill(&listed.capacity);
        }
        if !listed.reports_load {
            tracked.ramp.on_report(LISTED, 0, &listed.capacity, now);
        }
        if is_mine && tracked.book.is_none() {
            tracked.book = Some(Book::new(self.life, now));
        } else if !is_mine && let Some(book) = tracked.book.take() {
            tracked.lease.release();
            let (target, next) = (name.clone(), owner.clone());
            if let (Some(holders), Some(next)) = (book.hand_over(now), next) {
                self.handovers.push((next, Handover { target, holders }));
            }
        }
        if tracked.owner != owner {
            let owner = owner.as_deref().unwrap_or_default();
            log::info!("event=target_owner target={name} owner={owner}");
        }
        tracked.owner = owner;
        tracked.listed = listed;
        self.targets.insert(name, tracked);
    }

    /// Takes an engine's load report.
    pub fn on_load(&mut self, target: &str, load: &LoadReport, now: BootTime) {
        let Some(tracked) = self.targets.get_mut(target) else {
            return;
        };
        let capacity = &tracked.listed.capacity;
        let is_new = tracked
            .ramp
            .on_report(&load.boot_id, load.preemptions, capacity, now);
        if is_new {
            log::info!(
                "event=target_started target={target} boot={} limit={}",
                load.boot_id,
                tracked.ramp.limit(capacity)
            );
        }
        tracked.load = load_hint(load);
        (tracked.is_warming, tracked.has_queue) = (load.is_cold, load.waiting > 0);
        if load.is_cold && tracked.ramp.is_ramped_up(capacity) {
            log::warn!("event=target_cold_again target={target} reason=report");
            tracked.ramp.chill(capacity);
        }
        if let Some(book) = &mut tracked.book {
            book.on_report(load.running + load.waiting, now);
        }
    }

    /// Takes the target's answer to a probe sent at `sent_at`; `None` when it
    /// did not answer. Unlike a periodic report, it ends a doubt.
    pub fn on_probe(
        &mut self,
        target: &str,
        load: Option<&LoadReport>,
        sent_at: BootTime,
        now: BootTime,
    ) -> Vec<Out> {
        if let Some(load) = load {
            self.on_load(target, load, now);
        }
        let Some(tracked) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        if load.is_none() {
            tracked.doubted_since.get_or_insert(now);
            tracked.deferred.clear();
            return Vec::new();
        }
        if tracked.doubted_since.is_some_and(|since| sent_at < since) {
            return Vec::new();
        }
        tracked.doubted_since = None;
        let deferred = std::mem::take(&mut tracked.deferred);
        let answers = deferred.into_iter();
        let answers = answers.filter_map(|(from, (seq, ask))| self.grant(&from, seq, &ask, now));
        answers.collect()
    }

    /// One heartbeat period: asks for all targets in use, and leases.
    pub fn tick(&mut self, now: BootTime) -> Vec<Out> {
        self.note_time(now);
        let mut out = self.send_handovers();
        out.extend(self.ask_all(false, now));
        for (name, tracked) in &mut self.targets {
            out.extend(lease_call(&self.me, name, tracked, now));
            if tracked.doubted_since.is_some() && tracked.book.is_some() {
                out.push(Out::Probe(name.clone()));
            }
        }
        out
    }

    fn send_handovers(&mut self) -> Vec<Out> {
        let handovers = std::mem::take(&mut self.handovers).into_iter();
        let sent = handovers.map(|(to, handover)| {
            let sequence = self.next_sequence();
            Out::Send(to, sequence, Datagram::Handover(handover))
        });
        sent.collect()
    }

    /// Takes a target over from its last owner. What arrives right after a
    /// pause may be old, and is not relied on.
    pub fn on_handover(&mut self, handover: &Handover, now: BootTime) {
        self.note_time(now);
        let is_doubtful = |at| now.saturating_sub(at) < self.life;
        if self.paused_at.is_some_and(is_doubtful) {
            return;
        }
        let tracked = self.targets.get_mut(&handover.target);
        if let Some(book) = tracked.and_then(|t| t.book.as_mut()) {
            book.on_handover(&handover.holders, now);
        }
    }

    /// Asks at once for targets where a request found no credit.
    pub fn ask_urgent(&mut self, now: BootTime) -> Vec<Out> {
        self.note_time(now);
        self.ask_all(true, now)
    }

    /// Calls come at least once a heartbeat period. After a longer gap the
    /// process was paused: what it held is in doubt, and others may own what it
    /// owned.
    fn note_time(&mut self, now: BootTime) {
        let gap = now.saturating_sub(self.called_at);
        self.called_at = now;
        if gap <= self.life {
            return;
        }
        log::warn!("event=paused gap_ms={}", gap.as_millis());
        self.paused_at = Some(now);
        self.handovers.clear();
        self.holder.revoke_all(now);
        for tracked in self.targets.values_mut() {
            if let Some(book) = &mut tracked.book {
                book.take_over(now);
            }
        }
    }

    fn ask_all(&mut self, is_urgent: bool, now: BootTime) -> Vec<Out> {
        if self.policy == Policy::LeastInFlight {
            return Vec::new();
        }
        let names: Vec<TargetName> = self.targets.keys().cloned().collect();
        let asks = names.iter().flat_map(|n| self.ask(n, is_urgent, now));
        asks.collect()
    }

    fn ask(&mut self, target: &TargetName, is_urgent: bool, now: BootTime) -> Vec<Out> {
        let Some(tracked) = self.targets.get(target) else {
            return Vec::new();
        };
        let is_serving = tracked.listed.standing == Standing::Serving;
        let Some(owner) = tracked.owner.clone().filter(|_| is_serving) else {
            return Vec::new();
        };
        let sequence = self.next_sequence();
        let Some(ask) = self.holder.ask(target, &owner, sequence, is_urgent, now) else {
            return Vec::new();
        };
        if owner == self.me.name {
            let me = self.me.clone();
            return self.take_ask(&me, sequence, ask, now);
        }
        vec![Out::Send(owner, sequence, Datagram::CreditAsk(ask))]
    }

    /// Takes another daemon's ask; answers it as the target's owner.
    pub fn on_ask(
        &mut self,
        from: &MemberId,
        sequence: u64,
        ask: CreditAsk,
        now: BootTime,
    ) -> Vec<Out> {
        self.note_time(now);
        self.take_ask(from, sequence, ask, now)
    }

    /// Answers an ask, or has it wait until the target said whether it started
    /// anew. A target where nothing is in flight could have done so unnoticed.
    fn take_ask(
        &mut self,
        from: &MemberId,
        sequence: u64,
        ask: CreditAsk,
        now: BootTime,
    ) -> Vec<Out> {
        let target = ask.target.clone();
        let Some(tracked) = self.targets.get_mut(&target) else {
            return Vec::new();
        };
        let Some(book) = &tracked.book else {
            return Vec::new();
        };
        let has_failed = book.tells_of_failure(from, &ask);
        let is_idle = book.is_idle() && ask.in_flight == 0;
        let is_new_doubt = has_failed || (is_idle && tracked.doubted_since.is_none());
        if !tracked.listed.reports_load || (!is_new_doubt && tracked.doubted_since.is_none()) {
            return self.grant(from, sequence, &ask, now).into_iter().collect();
        }
        let granted = book.granted().filter(|_| has_failed);
        let recalled: Vec<(MemberId, u64)> = granted.map(|(id, seq)| (id.clone(), seq)).collect();
        tracked.deferred.insert(from.clone(), (sequence, ask));
        if is_new_doubt {
            tracked.doubted_since = Some(now);
        }
        let recalls = recalled.iter().filter(|(id, _)| id != from);
        let mut out: Vec<Out> = recalls
            .filter_map(|(id, answers)| self.recall(&target, id, *answers))
            .collect();
        if is_new_doubt {
            out.push(Out::Probe(target));
        }
        out
    }

    /// Takes back what the answer to an ask gave.
    fn recall(&mut self, target: &TargetName, from: &MemberId, answers: u64) -> Option<Out> {
        let grant = CreditGrant {
            target: target.clone(),
            credits: 0,
            life_ms: 0,
            ramp: None,
            load: LoadHint::default(),
            answers,
        };
        self.send_grant(from, grant)
    }

    fn grant(
        &mut self,
        from: &MemberId,
        sequence: u64,
        ask: &CreditAsk,
        now: BootTime,
    ) -> Option<Out> {
        let grant = self.answer(from, sequence, ask, now)?;
        self.send_grant(from, grant)
    }

    fn send_grant(&mut self, to: &MemberId, grant: CreditGrant) -> Option<Out> {
        if *to == self.me {
            self.holder.on_grant(&to.name, &grant);
            return None;
        }
        let sequence = self.next_sequence();
        let message = Datagram::CreditGrant(grant);
        Some(Out::Send(to.name.clone(), sequence, message))
    }

    /// Takes a grant of an owner.
    pub fn on_grant(&mut self, from: &MemberId, grant: &CreditGrant) {
        let is_taken = self.holder.on_grant(&from.name, grant);
        let tracked = self.targets.get_mut(&grant.target).filter(|_| is_taken);
        let Some(tracked) = tracked else {
            return;
        };
        tracked.load = grant.load;
        if let Some(ramp) = &grant.ramp {
            tracked.ramp.adopt(ramp);
        }
    }

    fn answer(
        &mut self,
        from: &MemberId,
        sequence: u64,
        ask: &CreditAsk,
        now: BootTime,
    ) -> Option<CreditGrant> {
        let tracked = self.targets.get_mut(&ask.target)?;
        let book = tracked.book.as_mut()?;
        if let Some(known) = &ask.ramp {
            tracked.ramp.adopt(known);
        }
        let capacity = &tracked.listed.capacity;
        let is_serving = tracked.listed.standing == Standing::Serving;
        let is_cold = tracked.ramp.is_cold(capacity);
        let limit = if is_serving {
            tracked.ramp.limit(capacity)
        } else {
            0
        };
        if is_cold && is_serving {
            // Without the lease another daemon may hand out credits as well.
            book.take_over(tracked.lease.held_since(now)?);
        }
        let (credits, first_tokens) = book.on_ask(from, sequence, ask, limit, now)?;
        let life_ms = book.life_ms();
        let has_work = book.has_work();
        judge(&ask.target, tracked, has_work, first_tokens, now);
        Some(CreditGrant {
            target: ask.target.clone(),
            credits,
            life_ms,
            ramp: tracked.ramp.state(),
            load: tracked.load,
            answers: sequence,
        })
    }

    /// Takes the answer to a call on a lease that was sent at `sent_at`.
    pub fn on_lease(
        &mut self,
        target: &str,
        answer: &LeaseAnswer,
        sent_at: BootTime,
        now: BootTime,
    ) {
        let Some(tracked) = self.targets.get_mut(target) else {
            return;
        };
        match answer {
            LeaseAnswer::Read(object) => {
                tracked.lease.on_read(object.as_ref(), now);
                adopt_record(tracked, object.as_ref());
            }
            LeaseAnswer::Put(put) => {
                tracked.lease.on_put(put, sent_at, now);
                if let Put::Conflict(object) = put {
                    adopt_record(tracked, object.as_ref());
                }
            }
            LeaseAnswer::Failed => tracked.lease.on_failure(),
        }
    }
}

fn load_hint(load: &LoadReport) -> LoadHint {
    LoadHint {
        kv_total: load.kv_total,
        kv_free: load.kv_total.saturating_sub(load.kv_used),
        running: load.running,
        waiting: load.waiting,
    }
}

/// Moves a ramp on by the first tokens that a holder saw. Late ones tell that
/// the target is cold again, unless requests wait for its memory; good ones do
/// not count while it reports that it is warming up.
fn judge(
    target: &str,
    tracked: &mut Tracked,
    has_work: bool,
    first_tokens: FirstTokens,
    now: BootTime,
) {
    let capacity = &tracked.listed.capacity;
    let is_late = first_tokens.slow > first_tokens.good && !tracked.has_queue;
    if is_late && tracked.ramp.is_ramped_up(capacity) {
        log::warn!("event=target_cold_again target={target} reason=first_token");
        tracked.ramp.chill(capacity);
        return;
    }
    let is_good = first_tokens.good > 0 && !tracked.is_warming;
    tracked.ramp.on_work(has_work, is_good, capacity, now);
}

/// The call on the lease of a target that this daemon owns, if one is due.
fn lease_call(
    me: &MemberId,
    name: &TargetName,
    tracked: &mut Tracked,
    now: BootTime,
) -> Option<Out> {
    tracked.book.as_ref()?;
    let ramp = tracked.ramp.state()?;
    let is_cold = tracked.ramp.is_cold(&tracked.listed.capacity);
    let is_held = tracked.lease.held_since(now).is_some();
    if !is_cold && !is_held {
        return None;
    }
    let call = if is_cold {
        tracked.lease.next_call(now)?
    } else {
        tracked.lease.give_up()?
    };
    let record = LeaseRecord {
        holder: me.clone(),
        ramp: Some(ramp),
    };
    Some(Out::Lease(name.clone(), call, record))
}

fn adopt_record(tracked: &mut Tracked, object: Option<&Object>) {
    let value = object.and_then(|o| o.value.clone());
    let record: Option<LeaseRecord> = value.and_then(|v| serde_json::from_value(v).ok());
    if let Some(ramp) = record.and_then(|r| r.ramp) {
        tracked.ramp.adopt(&ramp);
    }
}
