//! A fleet of daemons without a network: each has its own state of rollouts and its own delayed
//! view of the store, and exchanges reports with a delay.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation are small"
)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::Arc,
    time::Duration,
};

use bluebelldrift::gateway::{
    Fleet, KnownTarget, ReportTo, Rollout, RolloutDecision, RolloutOrder, RolloutReport,
    RolloutSettings, RolloutState, Rollouts, SendMeter, Target, VersionSend, target_key,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub const SERVICE: &str = "chat";
pub const OLD: &str = "v1";
pub const NEW: &str = "v2";
pub const ROUTES: usize = 3;
const ZONES: usize = 6;
const TARGETS_PER_ZONE: usize = 6;
const SLOTS: u32 = 8;
/// Time of the order.
const ORDER_MS: u64 = 1_000;
const STEP_MS: u64 = 10;
const TICK_MS: u64 = 200;
/// Size of a datagram without its reports: addresses, names, checksum and headers.
const PACKET_BYTES: usize = 100;
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Longest delay of a change of the store until a daemon knows it.
const STORE_DELAY_MS: u64 = 400;

pub fn at(ms: u64) -> Duration {
    Duration::from_secs(10_000) + Duration::from_millis(ms)
}

pub fn settings() -> RolloutSettings {
    RolloutSettings {
        exposure_share: 0.1,
        exposure_slack: 50.0,
        rollback_ms: 5_000,
    }
}

pub fn order(version: &str, limit_s: u64) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.into(),
        version: version.into(),
        time_limit: Duration::from_secs(limit_s),
    }
}

pub fn target(id: &str, version: &str, zone: &str) -> KnownTarget {
    KnownTarget {
        key: target_key(id),
        target: Arc::new(Target {
            id: id.into(),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: zone.into(),
            slots: SLOTS,
            is_draining: false,
            cold_for: Duration::ZERO,
        }),
        version: Some(version.into()),
        cold_until: Duration::ZERO,
        removal_due_at: None,
        leaving_since: None,
        said_leaving_at: None,
    }
}

/// What a request meets at a target.
#[derive(Clone, Copy)]
pub struct Visit {
    pub is_new: bool,
    pub route: usize,
    pub zone: usize,
    /// Number of the target within its version.
    pub target: usize,
    /// Requests that the target runs.
    pub running: usize,
    /// Time since the order, in seconds.
    pub t: f64,
    /// A random number in `0..1`.
    pub random: f64,
}

/// Response of a target: the factor of the usual time, and whether it is bad.
pub type Behaviour = fn(Visit) -> (f64, bool);

pub fn good(_: Visit) -> (f64, bool) {
    (1.0, false)
}

#[derive(Clone)]
pub struct Scenario {
    pub daemons: usize,
    /// Requests per second of all daemons.
    pub rate: f64,
    pub limit_s: u64,
    pub behaviour: Behaviour,
    /// Part of the daemons that restart at a third of the time limit.
    pub restarts: f64,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Number of daemons that neither get nor send datagrams.
    pub cut_off: usize,
    /// Time for which new targets are cold.
    pub cold_ms: u64,
    /// Time of a crash of all targets, old and new.
    pub crash_ms: Option<u64>,
    /// Time of a crash of the new target that runs most requests, which does not come back.
    pub crash_one_ms: Option<u64>,
    /// Time from which the store takes no writes and tells nothing.
    pub store_lost_ms: Option<u64>,
    /// Times between which the first half of the daemons stand still.
    pub pause_ms: Option<(u64, u64)>,
    /// Time at which the order disappears, or asks for another version.
    pub change_ms: Option<(u64, Option<&'static str>)>,
    pub seed: u64,
}

impl Scenario {
    pub fn new(daemons: usize, behaviour: Behaviour) -> Self {
        Self {
            daemons,
            rate: 4.0 * daemons as f64 + 600.0,
            limit_s: 12,
            behaviour,
            restarts: 0.0,
            loss: 0.02,
            cut_off: 0,
            cold_ms: 0,
            crash_ms: None,
            crash_one_ms: None,
            store_lost_ms: None,
            pause_ms: None,
            change_ms: None,
            seed: 7,
        }
    }
}

/// What was seen in one run. Times are in seconds since the order.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests until the time limit.
    pub requests: usize,
    /// Requests that the new version got until the time limit, from daemons in contact.
    pub exposed: usize,
    pub fiftieth_bad: Option<f64>,
    pub last_to_new: f64,
    /// Final state in the store.
    pub state: Option<RolloutState>,
    pub final_at: f64,
    /// Requests that ran on the new version after their daemon knew that it was rolled back, or
    /// after the order was gone.
    pub forbidden: usize,
    /// Requests that were in progress at old targets when `completed` was written.
    pub cut_by_completion: usize,
    pub unplaced: usize,
    /// Bytes of the datagrams of the daemon that sent most.
    pub most_bytes: usize,
}

impl Outcome {
    /// Checks the bound on the exposure, and that a bad version gets nothing later than
    /// `rollback-ms` after its 50th bad response.
    pub fn check_bounds(&self) {
        let settings = settings();
        let bound = settings.exposure_share * self.requests as f64 + settings.exposure_slack;
        assert!(self.exposed as f64 <= bound, "over {bound}: {self:?}");
        if let Some(bad) = self.fiftieth_bad {
            let limit = bad + settings.rollback_ms as f64 / 1e3;
            assert!(self.last_to_new <= limit, "too late: {self:?}");
        }
        assert_eq!(self.forbidden, 0, "{self:?}");
    }
}

struct Daemon {
    name: String,
    zone: usize,
    incarnation: u64,
    rollouts: Rollouts,
    /// Delay of its view of the store.
    store_delay_ms: u64,
    /// Number of the state of the store that it knows.
    known: usize,
    is_cut_off: bool,
    sent_bytes: usize,
}

struct Running {
    daemon: usize,
    target: Box<str>,
    is_new: bool,
    is_bad: bool,
    meter: Option<SendMeter>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    at_ms: u64,
    number: u64,
    from: usize,
    to: usize,
}

pub struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    daemons: Vec<Daemon>,
    /// States of the store, with the time of each.
    store: Vec<(u64, Fleet)>,
    datagrams: BinaryHeap<Reverse<Datagram>>,
    contents: HashMap<u64, (Vec<RolloutReport>, u64)>,
    next_number: u64,
    running: HashMap<u64, Running>,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    load: HashMap<Box<str>, usize>,
    /// The same by key.
    busy: HashMap<u32, usize>,
    bad: usize,
    write_due_ms: Option<(u64, RolloutState)>,
    outcome: Outcome,
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl Simulation {
    pub fn run(scenario: Scenario) -> Outcome {
        let mut simulation = Self::new(scenario);
        let end_ms = ORDER_MS + simulation.scenario.limit_s * 1_000 + 4_000;
        for now_ms in (0..end_ms).step_by(STEP_MS as usize) {
            simulation.step(now_ms);
        }
        let bytes = simulation.daemons.iter().map(|d| d.sent_bytes).max();
        simulation.outcome.most_bytes = bytes.unwrap_or_default();
        simulation.outcome
    }

    fn new(scenario: Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let mut fleet = Fleet {
            is_complete: true,
            ..Fleet::default()
        };
        let mut with_new = fleet.clone();
        for zone in 0..ZONES {
            for i in 0..TARGETS_PER_ZONE {
                for version in [OLD, NEW] {
                    let id = format!("{version}-{zone}-{i}");
                    let mut known = target(&id, version, &zone_name(zone));
                    if version == NEW {
                        known.cold_until = at(500 + scenario.cold_ms);
                    } else {
                        fleet.targets.insert(id.clone().into(), known.clone());
                    }
                    with_new.targets.insert(id.into(), known);
                }
            }
        }
        let mut ordered = with_new.clone();
        let rollout = Rollout {
            order: order(NEW, scenario.limit_s),
            status: None,
            revision: 10,
        };
        ordered.rollouts.insert(SERVICE.into(), rollout);
        let daemons = (0..scenario.daemons).map(|i| {
            let (name, zone) = (format!("daemon-{i}"), i % ZONES);
            Daemon {
                rollouts: Rollouts::new(Some(&settings()), &name, &zone_name(zone)),
                name,
                zone,
                incarnation: 1,
                store_delay_ms: rng.random_range(20..STORE_DELAY_MS),
                known: 0,
                // Not the leaders of zones, which come first.
                is_cut_off: i >= scenario.daemons - scenario.cut_off,
                sent_bytes: 0,
            }
        });
        Self {
            daemons: daemons.collect(),
            rng,
            // The new targets are seen before the order.
            store: vec![(0, fleet), (500, with_new), (ORDER_MS, ordered)],
            datagrams: BinaryHeap::new(),
            contents: HashMap::new(),
            next_number: 0,
            running: HashMap::new(),
            ends: BinaryHeap::new(),
            load: HashMap::new(),
            busy: HashMap::new(),
            bad: 0,
            write_due_ms: None,
            outcome: Outcome::default(),
            scenario,
        }
    }

    fn since_order(now_ms: u64) -> f64 {
        (now_ms as f64 - ORDER_MS as f64) / 1e3
    }

    fn is_paused(&self, daemon: usize, now_ms: u64) -> bool {
        let is_within = |(from, to): (u64, u64)| (from..to).contains(&now_ms);
        daemon < self.daemons.len() / 2 && self.scenario.pause_ms.is_some_and(is_within)
    }

    fn is_store_lost(&self, at_ms: u64) -> bool {
        self.scenario
            .store_lost_ms
            .is_some_and(|from| at_ms >= from)
    }

    /// The first daemon of each zone that does not stand still.
    fn leader(&self, zone: usize, now_ms: u64) -> usize {
        let mut in_zone = (0..self.daemons.len()).filter(|i| self.daemons[*i].zone == zone);
        in_zone
            .find(|i| !self.is_paused(*i, now_ms))
            .unwrap_or_default()
    }

    fn step(&mut self, now_ms: u64) {
        self.change_order(now_ms);
        self.restart_daemons(now_ms);
        self.deliver(now_ms);
        self.end_requests(now_ms);
        if self.scenario.crash_ms == Some(now_ms) {
            self.crash(|_| true);
        }
        if self.scenario.crash_one_ms == Some(now_ms) {
            self.crash_one(now_ms);
        }
        for i in 0..self.daemons.len() {
            if self.is_paused(i, now_ms) {
                continue;
            }
            self.read_store(i, now_ms);
            if (now_ms + i as u64 * STEP_MS).is_multiple_of(TICK_MS) {
                self.tick(i, now_ms);
            }
        }
        self.write_store(now_ms);
        let expected = self.scenario.rate * STEP_MS as f64 / 1e3;
        let count = expected as usize + usize::from(self.rng.random::<f64>() < expected.fract());
        for _ in 0..count {
            let daemon = self.rng.random_range(0..self.daemons.len());
            if !self.is_paused(daemon, now_ms) {
                self.request(daemon, now_ms);
            }
        }
    }

    fn change_order(&mut self, now_ms: u64) {
        let Some((_, version)) = self.scenario.change_ms.filter(|(ms, _)| *ms == now_ms) else {
            return;
        };
        let mut fleet = self.store[self.store.len() - 1].1.clone();
        fleet.rollouts.clear();
        if let Some(version) = version {
            let rollout = Rollout {
                order: order(version, self.scenario.limit_s),
                status: None,
                revision: 100,
            };
            fleet.rollouts.insert(SERVICE.into(), rollout);
        }
        self.store.push((now_ms, fleet));
    }

    fn restart_daemons(&mut self, now_ms: u64) {
        if now_ms != ORDER_MS + self.scenario.limit_s * 1_000 / 3 {
            return;
        }
        let count = (self.daemons.len() as f64 * self.scenario.restarts) as usize;
        let lost = self.running.extract_if(|_, run| run.daemon < count);
        for (_, run) in lost.collect::<Vec<_>>() {
            self.remove_load(&run.target);
        }
        for daemon in &mut self.daemons[..count] {
            daemon.incarnation += 1;
            let zone = zone_name(daemon.zone);
            daemon.rollouts = Rollouts::new(Some(&settings()), &daemon.name, &zone);
            let fleet = &self.store[daemon.known].1;
            daemon.rollouts.observe(fleet, at(now_ms));
        }
    }

    fn read_store(&mut self, daemon: usize, now_ms: u64) {
        let delay_ms = self.daemons[daemon].store_delay_ms;
        let is_known = |(ms, _): &&(u64, Fleet)| {
            *ms == 0 || (ms + delay_ms <= now_ms && !self.is_store_lost(ms + delay_ms))
        };
        let known = self.store.iter().take_while(is_known).count() - 1;
        let daemon = &mut self.daemons[daemon];
        if known != daemon.known || now_ms == 0 {
            daemon.known = known;
            daemon.rollouts.observe(&self.store[known].1, at(now_ms));
        }
    }

    fn tick(&mut self, i: usize, now_ms: u64) {
        let daemon = &self.daemons[i];
        let has_work = |key| self.busy.get(&key).is_some_and(|count| *count > 0);
        let fleet = &self.store[daemon.known].1;
        daemon.rollouts.tick(fleet, has_work, at(now_ms));
        self.report(i, now_ms);
    }

    fn report(&mut self, i: usize, now_ms: u64) {
        let leads = self.leader(self.daemons[i].zone, now_ms) == i;
        let own_zone = self.daemons[i].zone;
        let leaders: Vec<usize> = (0..ZONES).map(|z| self.leader(z, now_ms)).collect();
        for (to, report) in self.daemons[i].rollouts.reports(leads, at(now_ms)) {
            let mut receivers = Vec::new();
            if to != ReportTo::OtherLeaders {
                receivers.push(leaders[own_zone]);
            }
            if to != ReportTo::Leader {
                receivers.extend(leaders.iter().filter(|l| **l != leaders[own_zone]));
            }
            if to == ReportTo::All {
                let in_zone = (0..self.daemons.len()).filter(|j| self.daemons[*j].zone == own_zone);
                receivers.extend(in_zone.filter(|j| *j != leaders[own_zone]));
            }
            for receiver in receivers.into_iter().filter(|j| *j != i) {
                self.send(i, receiver, std::slice::from_ref(&report), now_ms);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, reports: &[RolloutReport], now_ms: u64) {
        self.daemons[from].sent_bytes +=
            PACKET_BYTES + postcard::to_allocvec(reports).map_or(0, |b| b.len());
        let is_cut_off = self.daemons[from].is_cut_off || self.daemons[to].is_cut_off;
        if is_cut_off || self.rng.random::<f64>() < self.scenario.loss {
            return;
        }
        // A few arrive twice, the second time late.
        let copies = 1 + usize::from(self.rng.random::<f64>() < 0.02);
        for copy in 0..copies {
            self.next_number += 1;
            let delay_ms = self.rng.random_range(1..40) + copy as u64 * 1_500;
            let datagram = Datagram {
                at_ms: now_ms + delay_ms,
                number: self.next_number,
                from,
                to,
            };
            let incarnation = self.daemons[from].incarnation;
            let content = (reports.to_vec(), incarnation);
            self.contents.insert(datagram.number, content);
            self.datagrams.push(Reverse(datagram));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        while let Some(Reverse(first)) = self.datagrams.peek()
            && first.at_ms <= now_ms
        {
            let Some(Reverse(datagram)) = self.datagrams.pop() else {
                return;
            };
            let Some((reports, incarnation)) = self.contents.remove(&datagram.number) else {
                continue;
            };
            let (from, to) = (datagram.from, datagram.to);
            if self.is_paused(to, now_ms) {
                continue;
            }
            let sender = (self.daemons[from].name.as_str(), incarnation);
            let zone = zone_name(self.daemons[from].zone);
            let rollouts = self.daemons[to].rollouts.clone();
            if rollouts.merge(&reports, sender, &zone, at(now_ms)) {
                self.send(to, from, &rollouts.news(at(now_ms)), now_ms);
            }
            let leads = self.leader(self.daemons[to].zone, now_ms) == to;
            if rollouts.has_news(leads) {
                self.report(to, now_ms);
            }
        }
    }

    /// The first daemon that does not stand still writes the status.
    fn write_store(&mut self, now_ms: u64) {
        if let Some((due_ms, state)) = self.write_due_ms {
            if due_ms <= now_ms {
                self.write_due_ms = None;
                self.put_status(state, now_ms);
            }
            return;
        }
        if self.is_store_lost(now_ms) || self.outcome.state.is_some() {
            return;
        }
        let writer = self.leader(0, now_ms);
        let writer = &self.daemons[writer];
        let fleet = &self.store[writer.known].1;
        let status = |fleet: &Fleet| Some(fleet.rollouts.get(SERVICE)?.status.clone());
        for (_, decision) in writer.rollouts.decisions(fleet, at(now_ms)) {
            let state = match decision {
                RolloutDecision::Running { .. } if status(fleet) == Some(None) => {
                    RolloutState::Running
                }
                RolloutDecision::Running { .. } => continue,
                RolloutDecision::Complete => RolloutState::Completed,
                RolloutDecision::RollBack => RolloutState::RolledBack,
            };
            self.write_due_ms = Some((now_ms + 50, state));
        }
    }

    fn put_status(&mut self, state: RolloutState, now_ms: u64) {
        let mut fleet = self.store[self.store.len() - 1].1.clone();
        let Some(rollout) = fleet.rollouts.get_mut(SERVICE) else {
            return;
        };
        let version = rollout.order.version.clone();
        if rollout.status == Some((state, version.clone())) {
            return;
        }
        rollout.status = Some((state, version));
        rollout.revision += 1;
        if state != RolloutState::Running {
            self.outcome.state = Some(state);
            self.outcome.final_at = Self::since_order(now_ms);
        }
        if state == RolloutState::Completed {
            let old = self.running.values().filter(|run| !run.is_new);
            self.outcome.cut_by_completion = old.count();
        }
        self.store.push((now_ms, fleet));
    }

    fn request(&mut self, daemon: usize, now_ms: u64) {
        let t = Self::since_order(now_ms);
        if (0.0..self.scenario.limit_s as f64).contains(&t) {
            self.outcome.requests += 1;
        }
        let random = self.rng.random();
        self.place(daemon, Some(random), now_ms);
    }

    fn place(&mut self, i: usize, offered: Option<f64>, now_ms: u64) {
        let now = at(now_ms);
        let t = Self::since_order(now_ms);
        let daemon = &self.daemons[i];
        let fleet = &self.store[daemon.known].1;
        let versions = daemon.rollouts.version_use(SERVICE, offered, now);
        let selected = versions.select(fleet.available_targets(SERVICE).collect(), |_| true);
        // The less loaded one of two, as in a placement by cost.
        let mut chosen: Option<&KnownTarget> = None;
        for _ in 0..2.min(selected.len()) {
            let other = selected[self.rng.random_range(0..selected.len())];
            let load = |k: &KnownTarget| self.load.get(&k.target.id).copied().unwrap_or_default();
            if chosen.is_none_or(|known| load(other) < load(known)) {
                chosen = Some(other);
            }
        }
        let Some(known) = chosen else {
            self.outcome.unplaced += 1;
            return;
        };
        let is_new = known.version.as_deref() == Some(NEW);
        let route = self.rng.random_range(0..ROUTES);
        let send = VersionSend {
            service: SERVICE,
            version: known.version.as_deref(),
            route: target_key(&format!("route-{route}")),
            zone: target_key(&known.target.zone),
            target: known.key,
            objective: OBJECTIVE,
            is_comparable: known.cold_until <= now,
        };
        let meter = daemon.rollouts.start(&send, now);
        let (id, key) = (known.target.id.clone(), known.key);
        let numbers: Vec<usize> = id.split('-').filter_map(|n| n.parse().ok()).collect();
        let visit = Visit {
            is_new,
            route,
            zone: numbers[0],
            target: numbers[0] * TARGETS_PER_ZONE + numbers[1],
            running: self.load.get(&id).copied().unwrap_or_default(),
            t,
            random: self.rng.random(),
        };
        let (factor, is_bad) = (self.scenario.behaviour)(visit);
        // A third of the targets takes 1.3 times as long, and cold ones five times.
        let speed = if visit.target.is_multiple_of(3) {
            1.3
        } else {
            1.0
        };
        let cold = if known.cold_until > now { 5.0 } else { 1.0 };
        let usual_ms = 30.0 * 8f64.powf(self.rng.random::<f64>());
        let end_ms = now_ms + (usual_ms * speed * cold * factor) as u64;
        if is_new {
            self.record_exposure(i, t);
        }
        *self.load.entry(id.clone()).or_default() += 1;
        *self.busy.entry(key).or_default() += 1;
        self.next_number += 1;
        let run = Running {
            daemon: i,
            target: id,
            is_new,
            is_bad,
            meter,
        };
        self.running.insert(self.next_number, run);
        self.ends.push(Reverse((end_ms, self.next_number)));
    }

    fn record_exposure(&mut self, daemon: usize, t: f64) {
        let daemon = &self.daemons[daemon];
        if !daemon.is_cut_off {
            self.outcome.last_to_new = self.outcome.last_to_new.max(t);
            if t < self.scenario.limit_s as f64 {
                self.outcome.exposed += 1;
            }
        }
        let order = self.store[daemon.known].1.rollouts.get(SERVICE);
        let is_rolled_back = order
            .is_some_and(|rollout| matches!(rollout.status, Some((RolloutState::RolledBack, _))));
        let is_ordered = order.is_some_and(|rollout| *rollout.order.version == *NEW);
        self.outcome.forbidden += usize::from(is_rolled_back || !is_ordered);
    }

    fn end_requests(&mut self, now_ms: u64) {
        while let Some(Reverse((end_ms, _))) = self.ends.peek()
            && *end_ms <= now_ms
        {
            let Some(Reverse((_, number))) = self.ends.pop() else {
                return;
            };
            let Some(mut run) = self.running.remove(&number) else {
                continue;
            };
            self.remove_load(&run.target);
            if let Some(meter) = &mut run.meter {
                meter.record_response(run.is_bad, at(now_ms));
            }
            if run.is_bad {
                self.record_bad(&run, now_ms);
                // The request is repeated at another target.
                if !self.is_paused(run.daemon, now_ms) {
                    self.place(run.daemon, None, now_ms);
                }
            }
        }
    }

    fn record_bad(&mut self, run: &Running, now_ms: u64) {
        self.bad += usize::from(run.is_new);
        if self.bad == 50 {
            let at = Self::since_order(now_ms);
            self.outcome.fiftieth_bad.get_or_insert(at);
        }
    }

    /// Targets crash, and their requests break off.
    fn crash(&mut self, is_hit: impl Fn(&str) -> bool) {
        let lost = self.running.extract_if(|_, run| is_hit(&run.target));
        for (_, mut run) in lost.collect::<Vec<_>>() {
            self.remove_load(&run.target);
            if let Some(meter) = &mut run.meter {
                meter.record_broken();
            }
        }
    }

    fn crash_one(&mut self, now_ms: u64) {
        let new = self.load.iter().filter(|(id, _)| id.starts_with(NEW));
        let Some((id, _)) = new.max_by_key(|(_, count)| **count) else {
            return;
        };
        let id = id.clone();
        self.crash(|target| *target == *id);
        let mut fleet = self.store[self.store.len() - 1].1.clone();
        fleet.targets.remove(&id);
        self.store.push((now_ms, fleet));
    }

    fn remove_load(&mut self, target: &str) {
        if let Some(load) = self.load.get_mut(target) {
            *load -= 1;
        }
        if let Some(load) = self.busy.get_mut(&target_key(target)) {
            *load -= 1;
        }
    }
}
