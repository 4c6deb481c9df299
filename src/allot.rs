//! Credits of all targets: those that this daemon grants as an owner, and those
//! that it holds.
//!
//! Each target has one owner among the live daemons, which divides the target's
//! limit among all daemons that use it. Before it grants credits of a target
//! that may have restarted, the owner probes it, since a cold target takes far
//! fewer requests; of a cold target it grants credits only while it holds the
//! target's lease.
//!
//! Nothing here does input or output: methods return the messages to send and
//! the platform and engine calls to make, as [`Action`] values.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::sync::Notify;

use crate::{
    cell::{cells_of, owner_in},
    clock::BootTime,
    credits::{Credit, local_share},
    engine::LoadReport,
    holder::Holder,
    lease::{Lease, LeaseCall, LeaseRecord},
    owner::{FirstTokens, GrantTable},
    platform::{Object, PutResult},
    records::Capacity,
    settings::Policy,
    view::TargetState,
    warmup::Ramp,
    wire::{
        CreditGrant, CreditRequest, DaemonName, Datagram, Handover, LoadSummary, MemberId,
        TargetName,
    },
};

/// Boot id assumed for a target without load reports.
const NO_REPORT_BOOT_ID: &str = "listed";
/// Lifetime of a lease on a cold target, as a multiple of that of a credit.
const LEASE_LIFE_MULTIPLE: u32 = 2;

/// Live daemons with their regions, this one included.
pub type Daemons = BTreeMap<DaemonName, Box<str>>;

/// A target as described by the instance list and the records.
#[derive(Clone, Debug)]
pub struct ListedTarget {
    /// Region of the target.
    pub region: Box<str>,
    /// Whether the target may take new work.
    pub state: TargetState,
    /// Limits of the target from its record.
    pub capacity: Capacity,
    /// Time to the first token above which the target counts as cold again.
    pub first_token_band: Duration,
    /// Whether the target sends load reports with its boot id. A target without
    /// them counts as started when it is listed.
    pub reports_load: bool,
}

/// A message or call that the control thread makes on behalf of [`CreditAllocator`].
#[derive(Clone, Debug)]
pub enum Action {
    /// A datagram to a daemon, with the sequence number that it must carry.
    Send(DaemonName, u64, Datagram),
    /// A call on a target's lease object, with the value to write.
    Lease(TargetName, LeaseCall, LeaseRecord),
    /// A request to a target for its load report, to be made at once.
    Probe(TargetName),
}

/// Result of a call on a lease object.
#[derive(Clone, Debug)]
pub enum LeaseAnswer {
    /// The object as read; `None` if it is absent.
    Read(Option<Object>),
    /// Result of a write.
    Write(PutResult),
    /// No answer: a write may have taken effect.
    Failed,
}

/// State of one listed target.
struct TrackedTarget {
    listed: ListedTarget,
    owner: Option<DaemonName>,
    ramp: Ramp,
    lease: Lease,
    /// Grants to all holders, while this daemon is the owner.
    grants: Option<GrantTable>,
    /// Whether the target was warming up by its last report.
    is_warming: bool,
    /// Whether requests waited for the target's memory by its last report.
    has_queue: bool,
    /// Last load report of the target to its owner.
    load: LoadSummary,
    /// Since when the target may have restarted; `None` if a restart is not
    /// suspected. No credits are granted until the target answers a probe.
    restart_suspected_since: Option<BootTime>,
    /// Credit requests to answer once the target has answered a probe, by sender,
    /// with their sequence numbers.
    deferred_requests: BTreeMap<MemberId, (u64, CreditRequest)>,
}

/// Credits of all targets in the instance list.
pub struct CreditAllocator {
    me: MemberId,
    policy: Policy,
    life: Duration,
    holder: Holder,
    targets: BTreeMap<TargetName, TrackedTarget>,
    sequence: u64,
    last_call_at: BootTime,
    /// When the last pause of the process was detected; `None` if there was none.
    pause_detected_at: Option<BootTime>,
    /// Handovers to send in the next heartbeat period.
    handovers: Vec<(DaemonName, Handover)>,
}

impl CreditAllocator {
    /// Creates a `CreditAllocator` without targets. `life` is the lifetime of a credit;
    /// `wake` is notified when a request finds no credit.
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
            last_call_at: now,
            pause_detected_at: None,
            handovers: Vec::new(),
        }
    }

    /// Returns the next datagram sequence number, which all datagrams of this
    /// daemon share.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the last load that a target reported to this daemon or to its
    /// owner.
    #[must_use]
    pub fn last_load(&self, target: &str) -> LoadSummary {
        let tracked = self.targets.get(target);
        tracked.map(|t| t.load).unwrap_or_default()
    }

    /// Returns whether this daemon reads a target's load reports. The owner of
    /// the target does, or every daemon if the policy has no owners.
    #[must_use]
    pub fn reads_load_reports(&self, target: &str) -> bool {
        let tracked = self.targets.get(target);
        self.policy == Policy::LeastInFlight || tracked.is_some_and(|t| t.grants.is_some())
    }

    /// Returns the credits held for a target.
    pub fn credit(&mut self, target: &str) -> Arc<Credit> {
        self.holder.credit(target)
    }

    /// Applies the current lists of targets and daemons, and determines the
    /// owner of each target.
    pub fn refresh(
        &mut self,
        listed: BTreeMap<TargetName, ListedTarget>,
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
        listed: ListedTarget,
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
        if listed.state != TargetState::Serving {
            self.holder.revoke(&name, now);
        }
        let is_owned = owner.as_ref() == Some(&self.me.name);
        let existing = self.targets.remove(&name);
        let mut tracked = existing.unwrap_or_else(|| TrackedTarget {
            listed: listed.clone(),
            owner: None,
            ramp: Ramp::default(),
            lease: Lease::new(self.me.clone(), self.life * LEASE_LIFE_MULTIPLE),
            grants: None,
            is_warming: false,
            has_queue: false,
            load: LoadSummary::default(),
            restart_suspected_since: None,
            deferred_requests: BTreeMap::new(),
        });
        let was_zone_out = tracked.listed.state == TargetState::ZoneOut;
        if was_zone_out && listed.state == TargetState::Serving {
            // The targets of a zone that returns start with a ramp, so that the
            // zone never takes the whole load at once.
            tracked.ramp.reset_to_cold(&listed.capacity);
        }
        if !listed.reports_load {
            tracked
                .ramp
                .on_report(NO_REPORT_BOOT_ID, 0, &listed.capacity, now);
        }
        if is_owned && tracked.grants.is_none() {
            tracked.grants = Some(GrantTable::new(self.life, now));
        } else if !is_owned && let Some(grants) = tracked.grants.take() {
            tracked.lease.release();
            let (target, new_owner) = (name.clone(), owner.clone());
            if let (Some(holders), Some(new_owner)) = (grants.handover_entries(now), new_owner) {
                self.handovers
                    .push((new_owner, Handover { target, holders }));
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

    /// Applies an engine's load report.
    pub fn on_load(&mut self, target: &str, load: &LoadReport, now: BootTime) {
        let Some(tracked) = self.targets.get_mut(target) else {
            return;
        };
        let capacity = &tracked.listed.capacity;
        let is_new_start = tracked
            .ramp
            .on_report(&load.boot_id, load.preemptions, capacity, now);
        if is_new_start {
            log::info!(
                "event=target_started target={target} boot={} limit={}",
                load.boot_id,
                tracked.ramp.limit(capacity)
            );
        }
        tracked.load = load_summary(load);
        (tracked.is_warming, tracked.has_queue) = (load.is_cold, load.waiting > 0);
        if load.is_cold && tracked.ramp.is_ramped_up(capacity) {
            log::warn!("event=target_cold_again target={target} reason=report");
            tracked.ramp.reset_to_cold(capacity);
        }
        if let Some(grants) = &mut tracked.grants {
            if is_new_start {
                grants.on_restart();
            }
            grants.on_report(load.running + load.waiting, now);
        }
    }

    /// Applies the target's answer to a probe that was sent at `sent_at`, or
    /// `None` if it did not answer. An answer to a probe sent after the target
    /// came under suspicion of a restart clears the suspicion, which a periodic
    /// report does not. A target that does not answer comes under suspicion,
    /// and its deferred credit requests are dropped. Returns the answers to the
    /// requests deferred until then.
    pub fn on_probe(
        &mut self,
        target: &str,
        load: Option<&LoadReport>,
        sent_at: BootTime,
        now: BootTime,
    ) -> Vec<Action> {
        if let Some(load) = load {
            self.on_load(target, load, now);
        }
        let Some(tracked) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        if load.is_none() {
            tracked.restart_suspected_since.get_or_insert(now);
            tracked.deferred_requests.clear();
            return Vec::new();
        }
        if tracked
            .restart_suspected_since
            .is_some_and(|since| sent_at < since)
        {
            return Vec::new();
        }
        tracked.restart_suspected_since = None;
        let deferred_requests = std::mem::take(&mut tracked.deferred_requests);
        let answers = deferred_requests.into_iter();
        let answers =
            answers.filter_map(|(from, (seq, request))| self.grant(&from, seq, &request, now));
        answers.collect()
    }

    /// Returns what is due in each heartbeat period: handovers, credit requests
    /// for all targets in use, calls on leases and probes.
    pub fn tick(&mut self, now: BootTime) -> Vec<Action> {
        self.detect_pause(now);
        let mut out = self.send_handovers();
        out.extend(self.request_all(false, now));
        for (name, tracked) in &mut self.targets {
            out.extend(lease_call(&self.me, name, tracked, now));
            if tracked.restart_suspected_since.is_some() && tracked.grants.is_some() {
                out.push(Action::Probe(name.clone()));
            }
        }
        out
    }

    fn send_handovers(&mut self) -> Vec<Action> {
        let handovers = std::mem::take(&mut self.handovers).into_iter();
        let sent = handovers.map(|(to, handover)| {
            let sequence = self.next_sequence();
            Action::Send(to, sequence, Datagram::Handover(handover))
        });
        sent.collect()
    }

    /// Takes a target over from its last owner. For one credit lifetime after a
    /// pause of this process handovers are ignored, since they may be outdated.
    pub fn on_handover(&mut self, handover: &Handover, now: BootTime) {
        self.detect_pause(now);
        let is_recent = |at| now.saturating_sub(at) < self.life;
        if self.pause_detected_at.is_some_and(is_recent) {
            return;
        }
        let tracked = self.targets.get_mut(&handover.target);
        if let Some(grants) = tracked.and_then(|t| t.grants.as_mut()) {
            grants.on_handover(&handover.holders, now);
        }
    }

    /// Returns credit requests for the targets at which a caller's request
    /// found no credit.
    pub fn request_urgent(&mut self, now: BootTime) -> Vec<Action> {
        self.detect_pause(now);
        self.request_all(true, now)
    }

    /// Detects a pause of the process by a gap between calls, which come at
    /// least once per heartbeat period. After a gap longer than the lifetime of a
    /// credit, the credits held are dropped, and takeovers restart, since other
    /// daemons may have become owners of the targets meanwhile.
    fn detect_pause(&mut self, now: BootTime) {
        let gap = now.saturating_sub(self.last_call_at);
        self.last_call_at = now;
        if gap <= self.life {
            return;
        }
        log::warn!("event=paused gap_ms={}", gap.as_millis());
        self.pause_detected_at = Some(now);
        self.handovers.clear();
        self.holder.revoke_all(now);
        for tracked in self.targets.values_mut() {
            if let Some(grants) = &mut tracked.grants {
                grants.restart_takeover(now);
            }
        }
    }

    fn request_all(&mut self, is_urgent: bool, now: BootTime) -> Vec<Action> {
        if self.policy == Policy::LeastInFlight {
            return Vec::new();
        }
        let names: Vec<TargetName> = self.targets.keys().cloned().collect();
        let requests = names
            .iter()
            .flat_map(|n| self.request_credits(n, is_urgent, now));
        requests.collect()
    }

    fn request_credits(
        &mut self,
        target: &TargetName,
        is_urgent: bool,
        now: BootTime,
    ) -> Vec<Action> {
        let Some(tracked) = self.targets.get(target) else {
            return Vec::new();
        };
        let is_serving = tracked.listed.state == TargetState::Serving;
        let Some(owner) = tracked.owner.clone().filter(|_| is_serving) else {
            return Vec::new();
        };
        let sequence = self.next_sequence();
        let Some(request) = self
            .holder
            .next_request(target, &owner, sequence, is_urgent, now)
        else {
            return Vec::new();
        };
        if owner == self.me.name {
            let me = self.me.clone();
            return self.answer_or_defer(&me, sequence, request, now);
        }
        vec![Action::Send(
            owner,
            sequence,
            Datagram::CreditRequest(request),
        )]
    }

    /// Handles another daemon's credit request as the target's owner.
    pub fn on_request(
        &mut self,
        from: &MemberId,
        sequence: u64,
        request: CreditRequest,
        now: BootTime,
    ) -> Vec<Action> {
        self.detect_pause(now);
        self.answer_or_defer(from, sequence, request, now)
    }

    /// Answers a credit request, or defers it until the target has answered a
    /// probe. A target is probed after a holder reports a failed run, and when
    /// nothing is in flight there, since an idle target could have restarted
    /// unnoticed. A failed run also revokes the credits of the other holders.
    fn answer_or_defer(
        &mut self,
        from: &MemberId,
        sequence: u64,
        request: CreditRequest,
        now: BootTime,
    ) -> Vec<Action> {
        let target = request.target.clone();
        let Some(tracked) = self.targets.get_mut(&target) else {
            return Vec::new();
        };
        let Some(grants) = &mut tracked.grants else {
            return Vec::new();
        };
        let has_new_failure = grants.reports_new_failure(from, &request);
        let is_idle = grants.is_idle() && request.in_flight == 0;
        let is_newly_suspected =
            has_new_failure || (is_idle && tracked.restart_suspected_since.is_none());
        if !tracked.listed.reports_load
            || (!is_newly_suspected && tracked.restart_suspected_since.is_none())
        {
            return self
                .grant(from, sequence, &request, now)
                .into_iter()
                .collect();
        }
        let granted = grants.holders_with_grants().filter(|_| has_new_failure);
        let revoked_requests: Vec<(MemberId, u64)> =
            granted.map(|(id, seq)| (id.clone(), seq)).collect();
        grants.record_unanswered(from, sequence, &request, now);
        tracked
            .deferred_requests
            .insert(from.clone(), (sequence, request));
        if is_newly_suspected {
            tracked.restart_suspected_since = Some(now);
        }
        let to_revoke = revoked_requests.iter().filter(|(id, _)| id != from);
        let mut out: Vec<Action> = to_revoke
            .filter_map(|(id, request_sequence)| self.revoke_grant(&target, id, *request_sequence))
            .collect();
        if is_newly_suspected {
            out.push(Action::Probe(target));
        }
        out
    }

    /// Revokes the credits granted to `holder` in answer to its credit request
    /// with the sequence number `request_sequence`.
    fn revoke_grant(
        &mut self,
        target: &TargetName,
        holder: &MemberId,
        request_sequence: u64,
    ) -> Option<Action> {
        let grant = CreditGrant {
            target: target.clone(),
            credits: 0,
            life_ms: 0,
            ramp: None,
            load: LoadSummary::default(),
            request_sequence,
        };
        self.send_grant(holder, grant)
    }

    fn grant(
        &mut self,
        from: &MemberId,
        sequence: u64,
        request: &CreditRequest,
        now: BootTime,
    ) -> Option<Action> {
        let grant = self.answer(from, sequence, request, now)?;
        self.send_grant(from, grant)
    }

    fn send_grant(&mut self, to: &MemberId, grant: CreditGrant) -> Option<Action> {
        if *to == self.me {
            self.holder.on_grant(&to.name, &grant);
            return None;
        }
        let sequence = self.next_sequence();
        let message = Datagram::CreditGrant(grant);
        Some(Action::Send(to.name.clone(), sequence, message))
    }

    /// Applies a grant of a target's owner.
    pub fn on_grant(&mut self, from: &MemberId, grant: &CreditGrant) {
        let is_accepted = self.holder.on_grant(&from.name, grant);
        let tracked = self.targets.get_mut(&grant.target).filter(|_| is_accepted);
        let Some(tracked) = tracked else {
            return;
        };
        tracked.load = grant.load;
        if let Some(ramp) = &grant.ramp {
            tracked.ramp.merge(ramp);
        }
    }

    /// Records a credit request and returns the grant that answers it, if any.
    fn answer(
        &mut self,
        from: &MemberId,
        sequence: u64,
        request: &CreditRequest,
        now: BootTime,
    ) -> Option<CreditGrant> {
        let tracked = self.targets.get_mut(&request.target)?;
        let grants = tracked.grants.as_mut()?;
        if let Some(ramp) = &request.ramp {
            tracked.ramp.merge(ramp);
        }
        let capacity = &tracked.listed.capacity;
        let is_serving = tracked.listed.state == TargetState::Serving;
        let is_cold = tracked.ramp.is_cold(capacity);
        let limit = if is_serving {
            tracked.ramp.limit(capacity)
        } else {
            0
        };
        if is_cold && is_serving {
            let Some(held_since) = tracked.lease.held_since(now) else {
                // Another daemon may also be granting credits.
                grants.record_unanswered(from, sequence, request, now);
                return None;
            };
            grants.restart_takeover(held_since);
        }
        let (credits, first_tokens) = grants.on_request(from, sequence, request, limit, now)?;
        let life_ms = grants.life_ms();
        let has_work = grants.has_work();
        advance_ramp(&request.target, tracked, has_work, first_tokens, now);
        Some(CreditGrant {
            target: request.target.clone(),
            credits,
            life_ms,
            ramp: tracked.ramp.state(),
            load: tracked.load,
            request_sequence: sequence,
        })
    }

    /// Applies the result of a call on a lease that was sent at `sent_at`.
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
        let was_held = tracked.lease.held_since(now).is_some();
        match answer {
            LeaseAnswer::Read(object) => {
                tracked.lease.on_read(object.as_ref(), now);
                merge_recorded_ramp(tracked, object.as_ref());
            }
            LeaseAnswer::Write(result) => {
                tracked.lease.on_write(result, sent_at, now);
                if let PutResult::Conflict(object) = result {
                    merge_recorded_ramp(tracked, object.as_ref());
                }
            }
            LeaseAnswer::Failed => tracked.lease.on_failure(),
        }
        match (was_held, tracked.lease.held_since(now).is_some()) {
            (false, true) => log::info!("event=lease_acquired target={target}"),
            (true, false) => log::warn!("event=lease_lost target={target} reason=conflict"),
            _ => {}
        }
    }
}

fn load_summary(load: &LoadReport) -> LoadSummary {
    LoadSummary {
        kv_total: load.kv_total,
        kv_free: load.kv_total.saturating_sub(load.kv_used),
        running: load.running,
        waiting: load.waiting,
    }
}

/// Advances a ramp by the first tokens that a holder received. If more of them
/// are late than on time, a warm target is cold again, unless requests wait for
/// its memory, which also delays first tokens. First tokens on time do not count
/// while the target reports that it is warming up.
fn advance_ramp(
    target: &str,
    tracked: &mut TrackedTarget,
    has_work: bool,
    first_tokens: FirstTokens,
    now: BootTime,
) {
    let capacity = &tracked.listed.capacity;
    let is_late = first_tokens.late > first_tokens.on_time && !tracked.has_queue;
    if is_late && tracked.ramp.is_ramped_up(capacity) {
        log::warn!("event=target_cold_again target={target} reason=first_token");
        tracked.ramp.reset_to_cold(capacity);
        return;
    }
    let is_on_time = first_tokens.on_time > 0 && !tracked.is_warming;
    tracked.ramp.on_work(has_work, is_on_time, capacity, now);
}

/// Returns the call on the lease of a target that is due, if any. The owner of a cold
/// target acquires and renews the lease; otherwise, a lease that the object still names
/// this daemon for is released, so that other daemons need not wait for it to expire.
fn lease_call(
    me: &MemberId,
    name: &TargetName,
    tracked: &mut TrackedTarget,
    now: BootTime,
) -> Option<Action> {
    let is_owner = tracked.grants.is_some();
    if is_owner && tracked.lease.take_expiry(now) {
        log::warn!("event=lease_lost target={name} reason=expired");
    }
    let ramp = tracked.ramp.state();
    if is_owner && ramp.is_none() {
        return None;
    }
    let is_cold = is_owner && tracked.ramp.is_cold(&tracked.listed.capacity);
    let call = if is_cold {
        tracked.lease.next_call(now)?
    } else if tracked.lease.held_since(now).is_some() || tracked.lease.is_recorded() {
        let call = tracked.lease.next_release(now)?;
        let reason = if is_owner { "warm" } else { "new_owner" };
        log::info!("event=lease_released target={name} reason={reason}");
        call
    } else {
        return None;
    };
    let record = LeaseRecord {
        holder: me.clone(),
        ramp,
        is_released: !is_cold,
    };
    Some(Action::Lease(name.clone(), call, record))
}

/// Merges the ramp that a lease object holds into that of the target.
fn merge_recorded_ramp(tracked: &mut TrackedTarget, object: Option<&Object>) {
    let value = object.and_then(|o| o.value.clone());
    let record: Option<LeaseRecord> = value.and_then(|v| serde_json::from_value(v).ok());
    if let Some(ramp) = record.and_then(|r| r.ramp) {
        tracked.ramp.merge(&ramp);
    }
}
