//! Tests the shares of customers, in a simulated fleet of daemons before the targets of a plain
//! service. Guards against a burst of one customer that takes the capacity of all, and against
//! refusals of customers that send what they usually send.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_possible_wrap,
    clippy::cast_sign_loss,
    reason = "numbers of the simulation are small"
)]

use std::{
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use bluebelldrift::gateway::{
    Config, Customer, CustomerDemand, CustomerRate, DemandExchange, DemandReport, DemandScope,
    FORWARDED_TO, ServiceDemand, ServiceDemandReport, Surroundings, is_short, max_min,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

const CLASS: u32 = 7;
/// Places of a target, and requests that may wait there; it sheds further ones.
const SLOTS: usize = 6;
const QUEUE: usize = 6;
/// Time that a target takes for a request, and time within which an answer counts.
const RUN_MS: u64 = 200;
const OBJECTIVE_MS: u64 = 300;
const STEP_MS: u64 = 10;
/// Interval at which daemons know the work of others.
const REPORT_MS: u64 = 400;
const TICK_MS: u64 = 200;
/// Bytes per second that reports may take, of 6 KB/s for all control traffic of a daemon.
const MAX_BYTES_PER_S: f64 = 4_500.0;
/// Bytes of a datagram beside its report: sender, zone, incarnation and check sum.
const PACKET_BYTES: usize = 60;

fn at(ms: u64) -> Duration {
    Duration::from_secs(10_000) + Duration::from_millis(ms)
}

/// One customer of the simulation.
#[derive(Clone)]
struct Sender {
    /// Part of the usual load.
    part: f64,
    /// Factor of the load during the burst.
    burst: f64,
    /// Daemons that its callers use outside and during the burst: a part of all, from the first.
    reach: f64,
    burst_reach: f64,
}

impl Sender {
    fn new(part: f64, burst: f64) -> Self {
        Self {
            part,
            burst,
            reach: 1.0,
            burst_reach: 1.0,
        }
    }
}

/// How messages between daemons fare.
#[derive(Clone, Copy, Default)]
struct Network {
    /// Time from which all messages are lost.
    lost_from_ms: Option<u64>,
    is_duplicating: bool,
    delay_ms: u64,
}

struct Scenario {
    daemons: usize,
    zones: usize,
    senders: Vec<Sender>,
    /// Usual load as a part of the capacity.
    load: f64,
    burst: std::ops::Range<u64>,
    end_ms: u64,
    has_shares: bool,
    network: Network,
    /// Time at which half of the daemons of each zone start again with empty accounts.
    restart_ms: Option<u64>,
    customers: usize,
}

impl Scenario {
    /// Returns a burst of one of `senders`, 20 times its usual load, at three quarters of the capacity.
    fn burst(daemons: usize, zones: usize, senders: Vec<Sender>) -> Self {
        Self {
            daemons,
            zones,
            customers: senders.len(),
            senders,
            load: 0.75,
            burst: 25_000..37_000,
            end_ms: 37_000,
            has_shares: true,
            network: Network::default(),
            restart_ms: None,
        }
    }

    fn run(&self) -> Outcome {
        Simulation::new(self).run()
    }
}

/// Requests of a customer that arrived during the burst.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    in_time: u32,
    refused: u32,
}

impl Count {
    fn part_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Default)]
struct Outcome {
    counts: Vec<Count>,
    /// Refusals before and after the burst.
    refused_outside: u32,
    /// Bytes of all reports sent and received by the daemon that had most of them, per second
    /// of the burst.
    most_bytes_per_s: f64,
    /// Bytes of all reports before the burst.
    bytes_before: usize,
}

impl Outcome {
    /// Returns the requests of the customers other than the first one.
    fn others(&self) -> Count {
        self.counts[1..]
            .iter()
            .fold(Count::default(), |sum, c| Count {
                sent: sum.sent + c.sent,
                in_time: sum.in_time + c.in_time,
                refused: sum.refused + c.refused,
            })
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    customer: u32,
    daemon: usize,
    arrived: u64,
    /// Whether the caller has tried before.
    is_repeat: bool,
    is_counted: bool,
}

#[derive(Default)]
struct Target {
    /// Ends of the running requests, with their daemons.
    running: Vec<(u64, Request)>,
    waiting: VecDeque<Request>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    daemons: Vec<DemandExchange>,
    incarnation: u64,
    targets: Vec<Target>,
    /// Requests at each target by the last reports, and those of each daemon since.
    known: Vec<usize>,
    own: Vec<BTreeMap<usize, isize>>,
    messages: BinaryHeap<(std::cmp::Reverse<u64>, usize, usize, usize)>,
    reports: Vec<DemandReport>,
    repeats: BinaryHeap<(std::cmp::Reverse<u64>, Request)>,
    bytes: Vec<usize>,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let targets = scenario.daemons.clamp(10, 60);
        let daemons = (0..scenario.daemons).map(|i| DemandExchange::new(i as u64 + 1));
        Self {
            scenario,
            rng: StdRng::seed_from_u64(3),
            daemons: daemons.collect(),
            incarnation: scenario.daemons as u64 + 1,
            targets: (0..targets).map(|_| Target::default()).collect(),
            known: vec![0; targets],
            own: vec![BTreeMap::new(); scenario.daemons],
            messages: BinaryHeap::new(),
            reports: Vec::new(),
            repeats: BinaryHeap::new(),
            bytes: vec![0; scenario.daemons],
            outcome: Outcome {
                counts: vec![Count::default(); scenario.senders.len()],
                ..Outcome::default()
            },
        }
    }

    /// Requests per millisecond that the targets can serve.
    fn capacity(&self) -> f64 {
        (self.targets.len() * SLOTS) as f64 / RUN_MS as f64
    }

    fn run(mut self) -> Outcome {
        for ms in (0..self.scenario.end_ms).step_by(STEP_MS as usize) {
            if ms == self.scenario.burst.start {
                self.outcome.bytes_before = self.bytes.iter().sum();
                self.bytes.fill(0);
            }
            if self.scenario.restart_ms == Some(ms) {
                self.restart_half();
            }
            if ms.is_multiple_of(REPORT_MS) {
                let count = |target: &Target| target.running.len() + target.waiting.len();
                self.known = self.targets.iter().map(count).collect();
                self.own.iter_mut().for_each(BTreeMap::clear);
            }
            self.end_runs(ms);
            self.deliver(ms);
            for daemon in 0..self.daemons.len() {
                // Daemons do not tick at the same moment.
                if (ms + daemon as u64 * STEP_MS).is_multiple_of(TICK_MS) {
                    self.tick(daemon, ms);
                }
            }
            while let Some((due, request)) = self.repeats.peek().copied() {
                if due.0 > ms {
                    break;
                }
                self.repeats.pop();
                self.arrive(request, ms);
            }
            self.arrivals(ms);
        }
        let seconds = (self.scenario.end_ms - self.scenario.burst.start) as f64 / 1_000.0;
        let most = self.bytes.iter().max().copied().unwrap_or(0);
        self.outcome.most_bytes_per_s = most as f64 / seconds;
        self.outcome
    }

    fn zone(&self, daemon: usize) -> usize {
        daemon % self.scenario.zones
    }

    fn restart_half(&mut self) {
        let zones = self.scenario.zones;
        for daemon in 0..self.daemons.len() {
            if (daemon / zones) % 2 == 1 {
                self.incarnation += 1;
                self.daemons[daemon] = DemandExchange::new(self.incarnation);
            }
        }
    }

    /// Lets a daemon exchange demand. The leader of a zone is its first daemon.
    fn tick(&mut self, daemon: usize, ms: u64) {
        let zones = self.scenario.zones;
        let zone_daemons = self.daemons.len().div_ceil(zones);
        let around = Surroundings {
            is_leader: daemon < zones,
            zone_daemons,
            daemons: self.daemons.len(),
            customers: self.scenario.customers,
        };
        for report in self.daemons[daemon].step(&around, at(ms)) {
            match report.scope {
                DemandScope::Daemon => self.send(daemon, self.zone(daemon), &report, ms),
                DemandScope::Zone => {
                    for leader in (0..zones).filter(|leader| *leader != daemon) {
                        self.send(daemon, leader, &report, ms);
                    }
                }
                DemandScope::All => self.send_to_few(daemon, &report, ms),
            }
        }
    }

    fn send_to_few(&mut self, daemon: usize, report: &DemandReport, ms: u64) {
        let zone = self.zone(daemon);
        let peers = (zone..self.daemons.len()).step_by(self.scenario.zones);
        let peers: Vec<usize> = peers.filter(|peer| *peer != daemon).collect();
        let few: Vec<usize> = peers.sample(&mut self.rng, FORWARDED_TO).copied().collect();
        for peer in few {
            self.send(daemon, peer, report, ms);
        }
    }

    fn send(&mut self, from: usize, to: usize, report: &DemandReport, ms: u64) {
        let network = self.scenario.network;
        let bytes = PACKET_BYTES + postcard::to_stdvec(report).expect("encode a report").len();
        self.bytes[from] += bytes;
        self.bytes[to] += bytes;
        if network.lost_from_ms.is_some_and(|from| ms >= from) {
            return;
        }
        let copies = if network.is_duplicating { 2 } else { 1 };
        for copy in 0..copies {
            self.reports.push(report.clone());
            let due = ms + STEP_MS + network.delay_ms + copy * 1_500;
            self.messages
                .push((std::cmp::Reverse(due), to, from, self.reports.len() - 1));
        }
    }

    fn deliver(&mut self, ms: u64) {
        while let Some((due, to, from, report)) = self.messages.peek().copied() {
            if due.0 > ms {
                break;
            }
            self.messages.pop();
            let report = self.reports[report].clone();
            let (name, zone) = (from.to_string(), self.zone(from).to_string());
            if self.daemons[to].receive(&name, &zone, report.clone(), at(ms)) {
                self.send_to_few(to, &report, ms);
            }
        }
    }

    fn arrivals(&mut self, ms: u64) {
        let is_burst = self.scenario.burst.contains(&ms);
        for customer in 0..self.scenario.senders.len() {
            let sender = &self.scenario.senders[customer];
            let (factor, reach) = if is_burst {
                (sender.burst, sender.burst_reach)
            } else {
                (1.0, sender.reach)
            };
            let rate = self.scenario.load * self.capacity() * sender.part * factor;
            let expected = rate * STEP_MS as f64;
            let reached = (self.daemons.len() as f64 * reach).ceil() as usize;
            let count = (expected + self.rng.random::<f64>()).floor() as usize;
            for _ in 0..count {
                let request = Request {
                    customer: customer as u32,
                    daemon: self.rng.random_range(0..reached),
                    arrived: ms,
                    is_repeat: false,
                    is_counted: is_burst,
                };
                if is_burst {
                    self.outcome.counts[customer].sent += 1;
                }
                self.arrive(request, ms);
            }
        }
    }

    /// Serves a request at its daemon as `plain.rs` does.
    fn arrive(&mut self, request: Request, ms: u64) {
        let (daemon, now) = (request.daemon, at(ms));
        self.daemons[daemon]
            .meter
            .record(CLASS, request.customer, 1.0, now);
        for attempt in 0..2 {
            if attempt > 0 {
                self.daemons[daemon]
                    .meter
                    .record(CLASS, request.customer, 1.0, now);
            }
            if self.is_refused(request, ms) {
                if request.is_counted {
                    self.outcome.counts[request.customer as usize].refused += 1;
                } else {
                    self.outcome.refused_outside += 1;
                }
                let pause = 1_000 + self.rng.random_range(0..1_000);
                self.repeat(request, ms + pause);
                return;
            }
            let all: Vec<usize> = (0..self.targets.len()).collect();
            let sampled: Vec<usize> = all.sample(&mut self.rng, 2).copied().collect();
            let known = |target: &usize| {
                self.known[*target] as isize + self.own[daemon].get(target).copied().unwrap_or(0)
            };
            let target = sampled.into_iter().min_by_key(known).expect("a target");
            if self.targets[target].running.len() < SLOTS {
                self.begin(target, request, ms);
            } else if self.targets[target].waiting.len() < QUEUE {
                self.targets[target].waiting.push_back(request);
            } else {
                self.daemons[daemon].meter.record_declined(CLASS, now);
                continue;
            }
            *self.own[daemon].entry(target).or_default() += 1;
            return;
        }
        let pause = 300 + self.rng.random_range(0..300);
        self.repeat(request, ms + pause);
    }

    fn repeat(&mut self, request: Request, due: u64) {
        if !request.is_repeat {
            let repeated = Request {
                is_repeat: true,
                ..request
            };
            self.repeats.push((std::cmp::Reverse(due), repeated));
        }
    }

    fn is_refused(&mut self, request: Request, ms: u64) -> bool {
        let (daemon, now) = (request.daemon, at(ms));
        let own: isize = self.own[daemon].values().sum();
        let requests = self.known.iter().sum::<usize>() as isize + own;
        let taken = requests as f64 / (self.targets.len() * SLOTS) as f64;
        let exchange = &mut self.daemons[daemon];
        if !self.scenario.has_shares || !is_short(taken, exchange.meter.declined_age(CLASS, now)) {
            return false;
        }
        exchange.meter.record_short(CLASS, now);
        let limit = exchange.limit(CLASS, request.customer);
        limit.is_some_and(|limit| self.rng.random::<f64>() >= limit.kept)
    }

    fn begin(&mut self, target: usize, request: Request, ms: u64) {
        let took = RUN_MS / 2 + self.rng.random_range(0..RUN_MS);
        self.targets[target].running.push((ms + took, request));
    }

    fn end_runs(&mut self, ms: u64) {
        for target in 0..self.targets.len() {
            let running = &mut self.targets[target].running;
            let ended: Vec<_> = running.extract_if(.., |(end, _)| *end <= ms).collect();
            for (end, request) in ended {
                let daemon = &mut self.daemons[request.daemon];
                daemon.meter.record_served(CLASS, 1.0, at(ms));
                *self.own[request.daemon].entry(target).or_default() -= 1;
                if request.is_counted && end <= request.arrived + OBJECTIVE_MS + RUN_MS {
                    self.outcome.counts[request.customer as usize].in_time += 1;
                }
                if let Some(next) = self.targets[target].waiting.pop_front() {
                    self.begin(target, next, ms);
                }
            }
        }
    }
}

/// Returns customers of which the first sends `burst` times its usual load, and the second and
/// third are large.
fn senders(count: usize, burst: f64) -> Vec<Sender> {
    let small = 0.65 / (count - 3) as f64;
    let first = [
        Sender::new(0.05, burst),
        Sender::new(0.2, 1.0),
        Sender::new(0.1, 1.0),
    ];
    let others = (3..count).map(|_| Sender::new(small, 1.0));
    first.into_iter().chain(others).collect()
}

/// Replays a burst with and without shares, and without the burst. Prints what customers get.
fn replay(name: &str, mut scenario: Scenario) -> [Outcome; 3] {
    let with = scenario.run();
    scenario.has_shares = false;
    let without = scenario.run();
    for sender in &mut scenario.senders {
        sender.burst = 1.0;
    }
    let usual = scenario.run();
    let outcomes = [with, without, usual];
    for (kind, outcome) in ["with", "without", "usual"].iter().zip(&outcomes) {
        let (first, others) = (outcome.counts[0], outcome.others());
        println!(
            "{name} {kind}: in time first={:.3} others={:.3} large={:.3}, refused first={} others={} \
             outside={}, bytes/s={:.0}",
            first.part_in_time(),
            others.part_in_time(),
            outcome.counts[1].part_in_time(),
            first.refused,
            others.refused,
            outcome.refused_outside,
            outcome.most_bytes_per_s
        );
    }
    outcomes
}

/// The others are never refused, and get back at least `part` of what the burst takes from them.
fn assert_protected([with, without, usual]: &[Outcome; 3], part: f64) {
    assert_eq!(with.others().refused, 0);
    assert_eq!(with.refused_outside, 0);
    let in_time = |outcome: &Outcome| outcome.others().part_in_time();
    let (with_shares, without_shares) = (in_time(with), in_time(without));
    let taken = in_time(usual) - without_shares;
    assert!(taken > 0.3, "{taken}");
    assert!(with_shares - without_shares >= part * taken, "{taken}");
    assert!(
        with.most_bytes_per_s < MAX_BYTES_PER_S,
        "{}",
        with.most_bytes_per_s
    );
}

#[test]
fn a_burst_does_not_take_the_capacity_of_others_at_6_daemons() {
    let outcomes = replay("6 daemons", Scenario::burst(6, 3, senders(24, 20.0)));
    assert_protected(&outcomes, 0.75);
}

#[test]
fn a_burst_does_not_take_the_capacity_of_others_at_58_daemons() {
    let outcomes = replay("58 daemons", Scenario::burst(58, 3, senders(24, 20.0)));
    assert_protected(&outcomes, 0.75);
}

#[test]
fn a_burst_does_not_take_the_capacity_of_others_at_340_daemons() {
    for customers in [24, 250] {
        let name = format!("340 daemons {customers} customers");
        let outcomes = replay(&name, Scenario::burst(340, 6, senders(customers, 20.0)));
        assert_protected(&outcomes, 0.75);
    }
}

#[test]
fn nothing_is_sent_or_refused_with_free_room() {
    let mut scenario = Scenario::burst(58, 3, senders(250, 2.0));
    scenario.load = 0.4;
    let outcome = scenario.run();
    assert_eq!(outcome.bytes_before, 0);
    assert!(outcome.most_bytes_per_s < f64::EPSILON, "{outcome:?}");
    assert_eq!(outcome.counts[0].refused + outcome.others().refused, 0);
}

#[test]
fn without_reports_nobody_is_refused() {
    let mut scenario = Scenario::burst(58, 3, senders(24, 20.0));
    scenario.network.lost_from_ms = Some(0);
    let outcome = scenario.run();
    assert_eq!(outcome.counts[0].refused + outcome.others().refused, 0);
}

#[test]
fn reports_that_stop_in_a_burst_end_the_limits() {
    let mut scenario = Scenario::burst(58, 3, senders(24, 20.0));
    let all = scenario.run();
    scenario.network.lost_from_ms = Some(30_000);
    let lost = scenario.run();
    assert!(lost.counts[0].refused > 0);
    // A limit lasts for 3.5 s of the last 7 s, and longer only at leaders.
    assert!(lost.counts[0].refused < all.counts[0].refused, "{lost:?}");
    assert_eq!(lost.others().refused, 0);
    assert_eq!(lost.refused_outside, 0);
}

#[test]
fn late_and_duplicated_reports_limit_the_same_customer_only() {
    let mut scenario = Scenario::burst(58, 3, senders(24, 20.0));
    scenario.network.delay_ms = 1_000;
    scenario.network.is_duplicating = true;
    assert_protected(&replay("late", scenario), 0.4);
}

#[test]
fn daemons_that_start_without_accounts_refuse_no_other_customer() {
    let mut scenario = Scenario::burst(58, 3, senders(24, 20.0));
    // In the middle of the burst, and just before it.
    for restart_ms in [30_000, 24_000] {
        scenario.restart_ms = Some(restart_ms);
        let outcome = scenario.run();
        assert_eq!(outcome.others().refused, 0, "{restart_ms}");
        assert_eq!(outcome.refused_outside, 0, "{restart_ms}");
    }
}

#[test]
fn the_only_customer_is_never_refused() {
    let mut scenario = Scenario::burst(6, 3, vec![Sender::new(1.0, 20.0)]);
    assert_eq!(scenario.run().counts[0].refused, 0);
    // Others are configured, but send nothing.
    scenario.customers = 24;
    assert_eq!(scenario.run().counts[0].refused, 0);
}

#[test]
fn many_equal_customers_are_not_refused_when_all_of_them_send_too_much() {
    for count in [24, 250] {
        let equal = vec![Sender::new(1.0 / f64::from(count), 3.0); count as usize];
        let outcome = Scenario::burst(58, 3, equal).run();
        let refused: u32 = outcome.counts.iter().map(|c| c.refused).sum();
        assert_eq!(refused, 0, "{count}");
    }
}

#[test]
fn a_burst_at_one_daemon_is_limited_there() {
    let mut all = senders(24, 20.0);
    all[0].burst_reach = 0.01;
    let outcomes = replay("one daemon", Scenario::burst(58, 3, all));
    assert_protected(&outcomes, 0.75);
}

#[test]
fn a_customer_whose_callers_move_to_other_daemons_is_not_refused_for_anothers_burst() {
    let mut all = senders(24, 20.0);
    // It sends as much as before, but to one daemon.
    all[1].burst_reach = 0.01;
    let outcome = Scenario::burst(58, 3, all).run();
    assert!(outcome.counts[0].refused > 0);
    assert_eq!(outcome.others().refused, 0);
}

fn report(scope: DemandScope, origin: u64, number: u32, recent: u32) -> DemandReport {
    let service = ServiceDemandReport {
        class: CLASS,
        is_short: true,
        daemons: 1,
        recent: 100 * 64,
        usual: 20 * 64,
        served: 50 * 64,
        largest: vec![CustomerDemand {
            customer: 1,
            recent: recent * 64,
            usual: 64,
            deviation: 64,
        }],
    };
    DemandReport {
        scope,
        origin,
        number,
        services: vec![service],
    }
}

/// Returns the demand of the customer that is limited.
fn limited_rate(exchange: &mut DemandExchange, around: &Surroundings, ms: u64) -> Option<f64> {
    exchange.step(around, at(ms));
    exchange.limit(CLASS, 1).map(|limit| limit.rate.recent)
}

#[test]
fn reports_that_are_repeated_or_from_before_a_restart_change_nothing() {
    let around = Surroundings {
        is_leader: true,
        zone_daemons: 2,
        daemons: 2,
        customers: 24,
    };
    let daemon = DemandScope::Daemon;
    let mut exchange = DemandExchange::new(100);
    exchange.receive("d", "z", report(daemon, 5, 2, 80), at(0));
    assert_eq!(limited_rate(&mut exchange, &around, 0), Some(80.0));
    for (origin, number) in [(5, 2), (5, 1), (4, 9)] {
        exchange.receive("d", "z", report(daemon, origin, number, 60), at(10));
        assert_eq!(limited_rate(&mut exchange, &around, 10), Some(80.0));
    }
    // The daemon has restarted.
    exchange.receive("d", "z", report(daemon, 6, 1, 70), at(20));
    assert_eq!(limited_rate(&mut exchange, &around, 20), Some(70.0));
    // Too few of the daemons are known.
    let cut_off = Surroundings {
        daemons: 5,
        ..around
    };
    assert_eq!(limited_rate(&mut exchange, &cut_off, 20), None);
    // Its reports have stopped.
    assert_eq!(limited_rate(&mut exchange, &around, 13_000), None);
}

#[test]
fn a_report_of_all_daemons_is_passed_on_once_and_ends_with_its_leader() {
    let around = Surroundings {
        is_leader: false,
        zone_daemons: 2,
        daemons: 2,
        customers: 24,
    };
    let all = DemandScope::All;
    let mut exchange = DemandExchange::new(100);
    assert!(exchange.receive("d", "z", report(all, 5, 2, 80), at(0)));
    assert!(!exchange.receive("e", "z", report(all, 5, 2, 80), at(10)));
    assert!(!exchange.receive("e", "z", report(all, 100, 3, 80), at(10)));
    // Another daemon that leads the zone counts once the first one is silent.
    assert!(!exchange.receive("f", "z", report(all, 9, 1, 60), at(1_000)));
    assert_eq!(limited_rate(&mut exchange, &around, 1_000), Some(80.0));
    assert!(exchange.receive("f", "z", report(all, 9, 2, 60), at(4_000)));
    assert_eq!(limited_rate(&mut exchange, &around, 4_000), Some(60.0));
    assert_eq!(limited_rate(&mut exchange, &around, 8_000), None);
}

#[test]
fn a_customer_with_several_keys_is_one_customer() {
    let customer = |name: &str| {
        Arc::new(Customer {
            name: name.into(),
            priority: None,
            allowed_regions: Vec::new(),
        })
    };
    let mut config = Config::default();
    assert!(!config.has_several_customers());
    for key in ["old", "new"] {
        config.customers_by_key.insert(key.into(), customer("a"));
    }
    assert!(!config.has_several_customers());
    assert_eq!(config.customer_count(), 1);
    config
        .customers_by_key
        .insert("other".into(), customer("b"));
    assert!(config.has_several_customers());
    assert_eq!(config.customer_count(), 2);
}

/// Returns the demand for a service that serves 100 requests a second, by customer.
fn demand(rates: &[(f64, f64)]) -> ServiceDemand {
    let rate = |(recent, usual): &(f64, f64)| CustomerRate {
        recent: *recent,
        usual: *usual,
        deviation: 0.0,
    };
    let largest = (0..).zip(rates).map(|(i, r)| (i, rate(r), 1.0));
    ServiceDemand {
        all: CustomerRate {
            recent: rates.iter().map(|(recent, _)| recent).sum(),
            usual: rates.iter().map(|(_, usual)| usual).sum(),
            deviation: 0.0,
        },
        served: 100.0,
        largest: largest.collect(),
        weights: rates.len() as f64,
    }
}

#[test]
fn what_others_leave_is_divided_among_those_beyond_their_share() {
    // 90 remain for two customers that want 200 and 100 in place of 5.
    let limited = demand(&[(5.0, 5.0), (5.0, 5.0), (200.0, 5.0), (100.0, 5.0)]).limited();
    let kept: Vec<_> = limited.iter().map(|l| l.kept * l.rate.recent).collect();
    assert_eq!(
        limited.iter().map(|l| l.customer).collect::<Vec<_>>(),
        [2, 3]
    );
    let (first, second) = (kept[0], kept[1]);
    assert!((first - second).abs() < 0.01, "{kept:?}");
    assert!((89.0..180.0).contains(&(first + second)), "{kept:?}");
}

#[test]
fn a_few_large_requests_are_no_burst() {
    let mut few = demand(&[(60.0, 4.0), (60.0, 60.0)]);
    assert_eq!(few.limited().len(), 1);
    few.largest[0].1.deviation = 30.0;
    assert_eq!(few.limited(), []);
}

/// Generations of very different sizes arrive at random, more than engines serve, and some
/// customers happen to send much at a time.
#[test]
fn chance_limits_nobody() {
    let mut rng = StdRng::seed_from_u64(5);
    let around = Surroundings {
        is_leader: true,
        zone_daemons: 1,
        daemons: 1,
        customers: 24,
    };
    let mut exchange = DemandExchange::new(1);
    let mut limited = 0;
    for ms in (0..300_000).step_by(10) {
        for customer in 0..24 {
            // Two requests a second of 100 to 30,000 tokens.
            if rng.random::<f64>() < 0.02 {
                let tokens = 100.0 * 300_f64.powf(rng.random());
                exchange.meter.record(CLASS, customer, tokens, at(ms));
                exchange.meter.record_short(CLASS, at(ms));
                if rng.random::<f64>() < 0.7 {
                    exchange.meter.record_served(CLASS, tokens, at(ms));
                }
            }
        }
        if ms % TICK_MS == 0 {
            exchange.step(&around, at(ms));
            limited += exchange.limited_count();
        }
    }
    // Of 36,000 times that a customer could have been limited.
    assert!(limited <= 36, "{limited}");
}

#[test]
fn weights_divide_what_is_left() {
    let parts = max_min(90.0, &[(100.0, 2.0), (100.0, 1.0), (10.0, 1.0)]);
    for (part, expected) in parts.iter().zip([160.0 / 3.0, 80.0 / 3.0, 10.0]) {
        assert!((part - expected).abs() < 1e-9, "{parts:?}");
    }
}

#[test]
fn nobody_is_limited_if_all_repeat_their_requests_or_nothing_is_known_to_be_served() {
    let repeating = demand(&[(120.0, 40.0), (60.0, 20.0), (60.0, 20.0)]);
    assert_eq!(repeating.limited(), []);
    let outage = ServiceDemand {
        served: 0.0,
        ..demand(&[(120.0, 4.0), (60.0, 60.0)])
    };
    assert_eq!(outage.limited(), []);
}

proptest! {
    #[test]
    fn parts_keep_to_the_capacity_and_the_demands(
        capacity in 0.0..1_000.0,
        demands in prop::collection::vec((0.0..500.0, 0.1..10.0), 1..20),
    ) {
        let parts = max_min(capacity, &demands);
        let (total, wanted): (f64, f64) = (
            parts.iter().sum(),
            demands.iter().map(|(demand, _)| demand).sum(),
        );
        prop_assert!((total - wanted.min(capacity)).abs() < 1e-6);
        for (part, (demand, _)) in parts.iter().zip(&demands) {
            prop_assert!(*part <= demand + 1e-9);
        }
    }

    #[test]
    fn a_customer_at_its_usual_demand_is_never_limited(
        rates in prop::collection::vec((0.0..100.0, 0.1..100.0), 2..20),
    ) {
        for limited in demand(&rates).limited() {
            prop_assert!(limited.rate.recent > limited.rate.usual);
            prop_assert!((0.0..1.0).contains(&limited.kept));
        }
    }
}
