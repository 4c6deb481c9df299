//! Tests what daemons keep of the statements of targets, and how they divide limits, at one
//! daemon and in a simulated fleet whose daemons report their sends.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bluebelldrift::gateway::{
    LIMIT_WINDOW, LimitChange, SentToTarget, StatementTable, TargetKey, drawn_targets, has_room,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TARGET: TargetKey = 7;
const TICK_MS: u64 = 10;

fn at(ms: u64) -> Duration {
    Duration::from_secs(10_000) + Duration::from_millis(ms)
}

/// Exchanges reports of two daemons, of which the first leads the zone.
fn exchange(leader: &mut StatementTable, other: &mut StatementTable, ms: u64) {
    other.merge(&leader.report(true, at(ms)), false, at(ms));
    leader.merge(&other.report(false, at(ms)), true, at(ms));
}

#[test]
fn a_limit_is_kept_until_an_answer_without_one() {
    let mut table = StatementTable::default();
    assert_eq!(table.record_answer(TARGET, None, at(0), at(10)), None);
    let stated = table.record_answer(TARGET, Some(2.5), at(0), at(10));
    assert_eq!(stated, Some(LimitChange::Stated(2.5)));
    assert_eq!(table.record_answer(TARGET, Some(2.5), at(20), at(30)), None);
    // The request was sent before the limit was known, so its answer may be older.
    assert_eq!(table.record_answer(TARGET, None, at(25), at(40)), None);
    assert_eq!(table.limit(TARGET), Some(2.5));
    let ended = table.record_answer(TARGET, None, at(50), at(60));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(table.limit(TARGET), None);
}

#[test]
fn a_limit_of_zero_leaves_room_for_the_request_that_finds_its_end() {
    let mut table = StatementTable::default();
    table.record_answer(TARGET, Some(0.0), at(0), at(10));
    let limit = table.limit(TARGET).expect("the limit");
    let sent = |by_all| SentToTarget {
        by_all,
        by_zone: by_all,
        zone_share: 0.3,
    };
    assert!(has_room(limit, &sent(0)));
    assert!(!has_room(limit, &sent(1)));
}

#[test]
fn other_daemons_hear_of_a_limit_and_of_its_end() {
    let (mut leader, mut other) = (StatementTable::default(), StatementTable::default());
    other.record_answer(TARGET, Some(2.0), at(0), at(10));
    exchange(&mut leader, &mut other, 200);
    assert_eq!(leader.limit(TARGET), Some(2.0));
    // The leader tells a daemon that has just started.
    let mut started = StatementTable::default();
    exchange(&mut leader, &mut started, 2_000);
    assert_eq!(started.limit(TARGET), Some(2.0));
    leader.record_answer(TARGET, None, at(3_000), at(3_010));
    exchange(&mut leader, &mut started, 3_200);
    exchange(&mut leader, &mut other, 3_400);
    for table in [&leader, &other, &started] {
        assert_eq!(table.limit(TARGET), None);
    }
}

/// Reports that two daemons echo to each other kept a limit in force after its end.
#[test]
fn echoed_reports_do_not_bring_a_limit_back() {
    let (mut leader, mut other) = (StatementTable::default(), StatementTable::default());
    other.record_answer(TARGET, Some(2.0), at(0), at(10));
    for ms in (200..20_000).step_by(200) {
        exchange(&mut leader, &mut other, ms);
    }
    leader.record_answer(TARGET, None, at(20_000), at(20_010));
    for ms in (20_200..40_000).step_by(200) {
        exchange(&mut leader, &mut other, ms);
        assert_eq!(leader.limit(TARGET), None);
    }
    assert_eq!(other.limit(TARGET), None);
}

#[test]
fn reports_and_tables_are_bounded() {
    let mut table = StatementTable::default();
    for target in 0..10_000 {
        table.record_answer(target, Some(1.0), at(0), at(10));
        table.record_leaving(target, at(10));
    }
    let report = table.report(true, at(59_000));
    assert!(report.len() <= 64, "{}", report.len());
    // A datagram has 1,200 bytes, of which 100 are for its sender and its check sum.
    let bytes = postcard::to_allocvec(&report).expect("encode the report");
    assert!(bytes.len() <= 1_100, "{}", bytes.len());
    let kept = (0..10_000).filter(|target| table.limit(*target).is_some());
    assert!(kept.count() <= 4_096);
}

/// Number of zones of a simulated fleet. Daemon `i` is in zone `i % ZONES`.
const ZONES: usize = 3;

/// Daemons before targets of one service, with the delays of reports between them.
struct Fleet {
    rng: StdRng,
    limits: Vec<(TargetKey, f64)>,
    /// Share of each daemon in the requests.
    shares: Vec<f64>,
    /// Time, daemon and target of each send.
    sends: Vec<(Duration, usize, TargetKey)>,
    /// The sends of the last [`LIMIT_WINDOW`], and the requests of the last [`SHARE_WINDOW`].
    recent_sends: VecDeque<(Duration, usize, TargetKey)>,
    recent_requests: VecDeque<(Duration, usize)>,
    refused: usize,
}

/// Time for which other daemons do not know of a send, in the same zone and in others.
const ZONE_DELAY: Duration = Duration::from_millis(20);
const REMOTE_DELAY: Duration = Duration::from_millis(1_200);
/// Window over which sends to a service are counted.
const SHARE_WINDOW: Duration = Duration::from_secs(10);

impl Fleet {
    /// Creates `daemons` of which the first has as many callers as all others.
    fn new(seed: u64, daemons: usize, limits: Vec<(TargetKey, f64)>) -> Self {
        let others = f64::from(u32::try_from(daemons - 1).expect("count the daemons"));
        let mut shares = vec![0.5 / others; daemons];
        shares[0] = 0.5;
        Self {
            rng: StdRng::seed_from_u64(seed),
            limits,
            shares,
            sends: Vec::new(),
            recent_sends: VecDeque::new(),
            recent_requests: VecDeque::new(),
            refused: 0,
        }
    }

    /// Serves requests, `per_second` of them, from `from_ms` to `to_ms`.
    fn run(&mut self, per_second: f64, from_ms: u64, to_ms: u64) {
        let tick_s = Duration::from_millis(TICK_MS).as_secs_f64();
        let mut ms = from_ms;
        while ms < to_ms {
            let mut expected = per_second * tick_s;
            while expected > 0.0 {
                if self.rng.random::<f64>() < expected.min(1.0) {
                    self.serve(at(ms));
                }
                expected -= 1.0;
            }
            ms += TICK_MS;
        }
    }

    fn serve(&mut self, now: Duration) {
        let mut choice = self.rng.random::<f64>();
        let picked = self.shares.iter().position(|share| {
            choice -= share;
            choice < 0.0
        });
        let daemon = picked.unwrap_or(0);
        let from = now.saturating_sub(LIMIT_WINDOW);
        self.recent_sends.retain(|(at, ..)| *at >= from);
        let share_from = now.saturating_sub(SHARE_WINDOW);
        self.recent_requests.retain(|(at, _)| *at >= share_from);
        self.recent_requests.push_back((now, daemon));
        let is_of_zone = |sender: usize| sender % ZONES == daemon % ZONES;
        let is_known = |at: Duration, sender: usize| {
            let delay = match sender == daemon {
                true => Duration::ZERO,
                false if is_of_zone(sender) => ZONE_DELAY,
                false => REMOTE_DELAY,
            };
            at + delay <= now
        };
        let requests = self.recent_requests.iter();
        let known: Vec<_> = requests.filter(|(at, d)| is_known(*at, *d)).collect();
        let count = |n: usize| f64::from(u32::try_from(n).expect("count the requests"));
        let by_all = count(known.len());
        let demand = count(known.iter().filter(|(at, _)| *at >= from).count());
        let of_zone = count(known.iter().filter(|(_, d)| is_of_zone(*d)).count());
        let per_second = demand / LIMIT_WINDOW.as_secs_f64();
        let drawn = drawn_targets(&self.limits, per_second, self.rng.random());
        let mut sent: HashMap<TargetKey, SentToTarget> = HashMap::new();
        for (at, sender, target) in &self.recent_sends {
            let sent = sent.entry(*target).or_default();
            let is_known = is_known(*at, *sender);
            sent.by_all += u32::from(is_known);
            sent.by_zone += u32::from(is_known && is_of_zone(*sender));
        }
        let limits: HashMap<_, _> = self.limits.iter().copied().collect();
        let room = |target: &&TargetKey| {
            let sent = SentToTarget {
                zone_share: of_zone / by_all,
                ..sent.get(*target).copied().unwrap_or_default()
            };
            has_room(limits[*target], &sent)
        };
        match drawn.iter().find(room) {
            Some(target) => {
                self.sends.push((now, daemon, *target));
                self.recent_sends.push_back((now, daemon, *target));
            }
            None => self.refused += 1,
        }
    }

    /// Asserts that, from the contact time after the first request, no target got more in
    /// some 4 s than one and a half times its limit and five requests.
    fn assert_within_limits(&self, seed: u64) {
        for (target, limit) in &self.limits {
            let is_late = |s: &&(Duration, usize, TargetKey)| s.2 == *target && s.0 > at(4_000);
            let times: Vec<_> = self.sends.iter().filter(is_late).collect();
            let most = times
                .iter()
                .map(|(start, ..)| {
                    let within = times
                        .iter()
                        .filter(|(at, ..)| at >= start && *at <= *start + LIMIT_WINDOW);
                    u32::try_from(within.count()).expect("count the sends")
                })
                .max();
            let allowed = limit * LIMIT_WINDOW.as_secs_f64() * 1.5 + 5.0;
            let most = f64::from(most.unwrap_or(0));
            assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
        }
    }

    fn assert_limits_used(&self, seed: u64, seconds: f64) {
        let limit: f64 = self.limits.iter().map(|(_, limit)| limit).sum();
        let used = f64::from(u32::try_from(self.sends.len()).expect("count the sends"));
        assert!(
            used >= 0.8 * limit * seconds,
            "seed {seed}: {used} requests, limit {limit} in {seconds} s"
        );
    }
}

#[test]
fn a_hundred_daemons_keep_to_the_limit_of_one_target_and_use_it() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(seed, 100, vec![(TARGET, 2.6)]);
        fleet.run(30.0, 0, 200_000);
        fleet.assert_within_limits(seed);
        fleet.assert_limits_used(seed, 200.0);
    }
}

#[test]
fn daemons_use_the_limits_of_several_targets() {
    for seed in 0..8 {
        let limits = vec![(1, 2.0), (2, 6.0), (3, 9.0)];
        let mut fleet = Fleet::new(seed, 6, limits);
        fleet.run(25.0, 0, 200_000);
        fleet.assert_within_limits(seed);
        fleet.assert_limits_used(seed, 200.0);
    }
}

/// Requests grow faster than daemons count them.
#[test]
fn daemons_keep_to_limits_when_requests_come_five_times_as_often() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(seed, 82, vec![(1, 2.6), (2, 4.1)]);
        fleet.run(30.0, 0, 20_000);
        fleet.run(150.0, 20_000, 40_000);
        fleet.assert_within_limits(seed);
    }
}

#[test]
fn requests_below_the_limits_are_not_refused() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(seed, 6, vec![(1, 20.0), (2, 20.0)]);
        fleet.run(15.0, 0, 60_000);
        assert_eq!(fleet.refused, 0, "seed {seed}");
    }
}

#[test]
fn other_daemons_hear_that_a_target_leaves_until_that_is_long_ago() {
    let (mut leader, mut other) = (StatementTable::default(), StatementTable::default());
    assert!(other.record_leaving(TARGET, at(0)));
    assert!(!other.record_leaving(TARGET, at(50)));
    // Its entry may return.
    other.retain(|_| false);
    for ms in (200..59_000).step_by(200) {
        exchange(&mut leader, &mut other, ms);
        assert!(leader.leaving(at(ms)).contains_key(&TARGET), "{ms}");
    }
    // Each report is delayed, so that the statement seems younger with each echo.
    for ms in (59_000..70_000).step_by(20) {
        let report = leader.report(true, at(ms));
        other.merge(&report, true, at(ms + 90));
        leader.merge(&other.report(true, at(ms + 100)), true, at(ms + 190));
        assert!(
            ms < 61_000 || leader.leaving(at(ms + 190)).is_empty(),
            "{ms}"
        );
    }
    assert!(other.leaving(at(70_000)).is_empty());
}

#[test]
fn waits_are_bounded_and_the_longest_one_holds() {
    let mut table = StatementTable::default();
    let seconds = Duration::from_secs;
    assert_eq!(table.record_wait(TARGET, seconds(10), at(0)), None);
    assert_eq!(table.record_wait(TARGET, seconds(1), at(100)), None);
    assert_eq!(table.waits_until(TARGET, at(9_900)), Some(at(10_000)));
    assert_eq!(table.waits_until(TARGET, at(10_000)), None);
    for wait in [seconds(86_400), Duration::MAX] {
        let kept = table.record_wait(TARGET, wait, at(20_000));
        assert_eq!(kept, Some(seconds(300)));
    }
    assert_eq!(table.waits_until(TARGET, at(320_000)), None);
}

#[test]
fn daemons_follow_limits_that_fall_rise_and_end() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed, 82, vec![(1, 10.0), (2, 50.0)]);
        fleet.run(30.0, 0, 20_000);
        for (limit, from_ms) in [(2.0, 20_000), (0.25, 60_000), (8.0, 100_000)] {
            fleet.limits[0].1 = limit;
            fleet.sends.clear();
            fleet.run(30.0, from_ms, from_ms + 40_000);
            // What was sent in the contact time may follow the limit before.
            fleet
                .sends
                .retain(|(at_ms, ..)| *at_ms >= at(from_ms + 4_000));
            fleet.assert_within_limits(seed);
        }
    }
}
