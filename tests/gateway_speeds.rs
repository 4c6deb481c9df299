//! Tests what daemons believe of the speed of targets, and that requests begin sooner for it, in
//! a simulated fleet.

use std::time::Duration;

use bluebelldrift::gateway::{
    Candidate, Distance, EngineLimits, GapMeter, GenerationDemand, SpeedTable, StatedLoad,
    TargetKey, UnseenRequests, Work, engine_cost, plain_cost,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const TARGET: TargetKey = 7;
const SERVICE: TargetKey = 1;

fn at(ms: u64) -> Duration {
    Duration::from_secs(10_000) + Duration::from_millis(ms)
}

fn stated(percent: impl Into<Option<f64>>) -> StatedLoad {
    StatedLoad {
        running: 0,
        waiting: 0,
        slots: 8,
        slowness: percent.into().map(|percent| percent / 100.0),
    }
}

/// Records that a target states `percent` every 100 ms from `from` to `to`.
fn state(table: &mut SpeedTable, target: TargetKey, percent: f64, from: u64, to: u64) {
    for ms in (from..to).step_by(100) {
        table.record_load(target, &stated(percent), 0, at(ms));
    }
}

fn assert_near(value: f64, expected: f64) {
    assert!((value / expected - 1.0).abs() < 0.05, "{value}");
}

#[test]
fn only_whole_numbers_of_requests_and_a_positive_speed_are_read() {
    let load = StatedLoad::parse("3, 2,8 ,130").expect("a load");
    assert_eq!((load.running, load.waiting, load.slots), (3, 2, 8));
    assert_eq!(load.slowness, Some(1.3));
    assert_eq!(StatedLoad::parse("0,0,0").map(|l| l.slowness), Some(None));
    let malformed = [
        "",
        "3",
        "3,2",
        "3,2,",
        "3,2,8,",
        "3,2,8,0",
        "3,2,8,-1",
        "3,2,8,NaN",
        "3,2,8,inf",
        "3,2,8,1e9",
        "-3,2,8",
        "3.5,2,8",
        "3,2,8,100,1",
        "3;2;8",
        "4294967295,1,8",
        "x,2,8,100",
    ];
    for text in malformed {
        assert_eq!(StatedLoad::parse(text), None, "{text:?}");
    }
}

/// Guards against a choice that changes where nothing is known, or all is as usual.
#[test]
fn a_target_without_a_header_or_at_the_usual_speed_has_exactly_the_usual_speed() {
    let mut table = SpeedTable::default();
    for ms in (0..20_000).step_by(100) {
        // Another target of the service is three times as slow, but neither states its load.
        table.record_gap(TARGET, SERVICE, Duration::from_millis(40), at(ms));
        table.record_gap(TARGET + 1, SERVICE, Duration::from_millis(120), at(ms));
        table.record_first_event(TARGET + 1, 3.0, at(ms));
    }
    assert!(table.is_empty());
    assert!((table.slowness(TARGET + 1, at(20_000)) - 1.0).abs() < f64::EPSILON);
    state(&mut table, TARGET, 100.0, 0, 20_000);
    assert!((table.slowness(TARGET, at(20_000)) - 1.0).abs() < f64::EPSILON);
    assert_eq!(
        table.unseen(TARGET, 0, at(20_000)),
        UnseenRequests::default()
    );
    assert_eq!(table.report(at(20_000)), []);
    assert_eq!(table.take_change(TARGET, at(20_000)), None);
}

#[test]
fn a_short_slowdown_is_believed_for_that_time_only() {
    let mut table = SpeedTable::default();
    state(&mut table, TARGET, 100.0, 0, 20_000);
    state(&mut table, TARGET, 250.0, 20_000, 20_400);
    assert!(table.slowness(TARGET, at(20_300)) > 2.3);
    // No answer says that it has ended.
    assert!(table.slowness(TARGET, at(21_500)) < 1.1);
    state(&mut table, TARGET, 250.0, 22_000, 22_400);
    state(&mut table, TARGET, 100.0, 22_400, 22_500);
    assert!(table.slowness(TARGET, at(22_400)) < 1.1);
}

#[test]
fn a_target_that_is_slow_for_long_stays_slow_between_answers() {
    let mut table = SpeedTable::default();
    state(&mut table, TARGET, 130.0, 0, 40_000);
    assert_near(table.slowness(TARGET, at(43_000)), 1.3);
    let change = table.take_change(TARGET, at(43_000));
    assert_near(change.expect("a change"), 1.3);
    assert_eq!(table.take_change(TARGET, at(43_000)), None);
    // Stale after some minutes, so that the target is tried again.
    assert!(table.slowness(TARGET, at(240_000)) < 1.01);
}

#[test]
fn gaps_between_events_show_a_slowdown_where_no_speed_is_stated() {
    let mut table = SpeedTable::default();
    let run = |table: &mut SpeedTable, slow_gap: u64, from: u64, to: u64| {
        for ms in (from..to).step_by(100) {
            for target in 0..3 {
                table.record_load(target, &stated(None), 0, at(ms));
                let gap = if target == 0 { slow_gap } else { 40 };
                table.record_gap(target, SERVICE, Duration::from_millis(gap), at(ms));
            }
        }
    };
    run(&mut table, 40, 0, 20_000);
    for target in 0..3 {
        assert!((table.slowness(target, at(20_000)) - 1.0).abs() < f64::EPSILON);
    }
    run(&mut table, 100, 20_000, 20_300);
    assert!(table.slowness(0, at(20_200)) > 2.0);
    run(&mut table, 40, 20_300, 40_000);
    run(&mut table, 80, 40_000, 80_000);
    let ratio = table.slowness(0, at(81_000)) / table.slowness(1, at(81_000));
    assert!((1.5..2.1).contains(&ratio), "{ratio}");
}

#[test]
fn a_gap_is_measured_over_several_events_and_never_over_a_pause() {
    let mut meter = GapMeter::default();
    let gap = |meter: &mut GapMeter, ms: u64| meter.record(at(ms));
    assert_eq!(gap(&mut meter, 0), None);
    // Two events in one read.
    assert_eq!(gap(&mut meter, 80), None);
    assert_eq!(gap(&mut meter, 80), None);
    assert_eq!(gap(&mut meter, 120), Some(Duration::from_millis(40)));
    assert_eq!(gap(&mut meter, 2_000), None);
    meter.restart(at(2_500));
    assert_eq!(gap(&mut meter, 2_540), None);
    assert_eq!(gap(&mut meter, 2_620), Some(Duration::from_millis(60)));
}

/// Guards against counting one request twice: by this daemon or a report, and by the header.
#[test]
fn only_requests_that_no_daemon_knows_are_added() {
    let mut table = SpeedTable::default();
    let load = StatedLoad {
        running: 8,
        waiting: 4,
        ..stated(None)
    };
    table.record_load(TARGET, &load, 5, at(0));
    let unseen = |requests, waiting| UnseenRequests { requests, waiting };
    assert_eq!(table.unseen(TARGET, 0, at(0)), unseen(7, 4));
    // Another daemon has reported four of them meanwhile, or all and a new one.
    assert_eq!(table.unseen(TARGET, 4, at(0)), unseen(3, 3));
    assert_eq!(table.unseen(TARGET, 8, at(0)), unseen(0, 0));
    // The value gets old.
    assert!(table.unseen(TARGET, 0, at(1_500)).requests < 4);
    assert_eq!(table.unseen(TARGET, 0, at(3_000)), unseen(0, 0));
    // An answer that is read after that of another request of this daemon still counts it.
    table.record_load(TARGET, &load, 12, at(4_000));
    table.record_load(TARGET, &load, 11, at(4_010));
    assert_eq!(table.unseen(TARGET, 0, at(4_010)), unseen(0, 0));
    // This daemon's own count is newer than the header.
    table.record_load(TARGET, &load, 20, at(5_000));
    assert_eq!(table.unseen(TARGET, 0, at(5_000)), unseen(0, 0));
}

#[test]
fn daemons_share_what_is_slow_for_long_and_echo_nothing() {
    let (mut first, mut second) = (SpeedTable::default(), SpeedTable::default());
    state(&mut first, TARGET, 180.0, 0, 30_000);
    state(&mut first, TARGET + 1, 105.0, 0, 30_000);
    // A short slowdown is not shared.
    state(&mut first, TARGET + 2, 100.0, 0, 29_600);
    state(&mut first, TARGET + 2, 250.0, 29_600, 30_000);
    let report = first.report(at(30_000));
    let reported: Vec<_> = report.iter().map(|r| (r.target, r.percent)).collect();
    assert_eq!(reported, [(TARGET, 180)]);
    assert_eq!(first.report(at(30_500)), [], "reports come once a second");
    second.merge(&report, at(30_050));
    assert_near(second.slowness(TARGET, at(30_050)), 1.8);
    assert_eq!(second.report(at(31_000)), []);
    // Own answers go before reports.
    state(&mut second, TARGET, 100.0, 31_000, 61_000);
    second.merge(&first.report(at(60_000)), at(60_950));
    assert!(second.slowness(TARGET, at(62_000)) < 1.05);
    // A report that was delayed, or is about the past, changes nothing.
    let mut third = SpeedTable::default();
    let old = [bluebelldrift::gateway::SpeedReport {
        age_ms: 40_000,
        ..report[0]
    }];
    third.merge(&old, at(60_000));
    assert!((third.slowness(TARGET, at(60_000)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn a_report_holds_few_targets_and_all_have_their_turn() {
    let (mut first, mut second) = (SpeedTable::default(), SpeedTable::default());
    for target in 0..40 {
        state(&mut first, target, 150.0, 0, 20_000);
    }
    for second_at in 20..25 {
        let report = first.report(at(second_at * 1_000));
        assert!(report.len() <= 8);
        // With eight receivers a second, and some 60 bytes for the sender, a fifth of the 6 KB
        // a second that control traffic may take.
        let bytes = postcard::to_allocvec(&report).expect("encode the report");
        assert!(8 * (bytes.len() + 60) < 6_000 / 5, "{}", bytes.len());
        second.merge(&report, at(second_at * 1_000));
    }
    assert_eq!(second.len(), 40);
}

/// A target that restarts has a new id; what was believed of the old one has to go.
#[test]
fn estimates_of_targets_that_are_gone_are_removed() {
    let mut table = SpeedTable::default();
    state(&mut table, TARGET, 250.0, 0, 20_000);
    state(&mut table, TARGET + 1, 130.0, 0, 20_000);
    table.retain(|key| key != TARGET);
    assert_eq!(table.len(), 1);
    assert!((table.slowness(TARGET, at(20_000)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn the_table_is_bounded() {
    let mut table = SpeedTable::default();
    for target in 0..20_000 {
        table.record_load(target, &stated(120.0), 0, at(0));
        table.record_gap(target % 4_000, target, Duration::from_millis(40), at(1));
    }
    assert!(table.len() <= 4_096);
    // Known targets are still updated.
    state(&mut table, 0, 250.0, 0, 1_000);
    assert!(table.slowness(0, at(900)) > 2.0);
    assert!(table.slowness(19_999, at(900)) < 1.01);
}

#[test]
fn unreadable_values_are_logged_at_a_bounded_rate() {
    let mut table = SpeedTable::default();
    let logged: Vec<u64> = (0..30_000)
        .filter_map(|ms| table.count_unreadable(at(ms)))
        .collect();
    assert_eq!(logged, [1, 10_000, 10_000]);
}

#[test]
fn a_slow_target_costs_more_also_when_it_is_idle() {
    let candidate = |requests, slowness| Candidate {
        work: Work {
            requests,
            ..Work::default()
        },
        slots: 8,
        failures: 0.0,
        is_cold: false,
        distance: Distance::SameZone,
        slowness,
    };
    let idle_but_slow = plain_cost(&candidate(0, 2.5));
    assert!(plain_cost(&candidate(1, 1.0)) < idle_but_slow);
    assert!(idle_but_slow < plain_cost(&candidate(2, 1.0)));
    for requests in 0..20 {
        let utilization = f64::from(requests) / 8.0;
        let cost = plain_cost(&candidate(requests, 1.0));
        assert!((cost - utilization).abs() < f64::EPSILON);
    }
}

proptest! {
    /// Guards against values that no cost can be computed with.
    #[test]
    fn a_believed_speed_is_finite_whatever_is_recorded(
        samples in prop::collection::vec((0..4_u8, 0.0..1e6_f64, 0..100_000_u64), 1..60),
    ) {
        let mut table = SpeedTable::default();
        for (kind, value, ms) in samples {
            match kind {
                0 => table.record_load(TARGET, &stated(value), 0, at(ms)),
                1 => table.record_load(TARGET, &stated(None), 0, at(ms)),
                2 => table.record_gap(TARGET, SERVICE, Duration::from_secs_f64(value), at(ms)),
                _ => table.record_first_event(TARGET, value, at(ms)),
            }
            let slowness = table.slowness(TARGET, at(ms));
            prop_assert!((0.25..=8.0).contains(&slowness), "{slowness}");
        }
    }
}

/// What the daemons of the simulation know of the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knowledge {
    /// The daemons' own work, as before there were estimates.
    Work,
    /// Headers without a speed, gaps and first events as well.
    Gaps,
    /// Headers with a speed as well.
    Speed,
}

const ENGINES: usize = 12;
const DAEMONS: usize = 4;
const STEP_MS: u32 = 10;
/// Tokens that an engine of the usual speed prefills in a second.
const RATE: f64 = 7_000.0;
const LIMITS: EngineLimits = EngineLimits {
    slots: 64,
    memory_tokens: 200_000,
    bytes_per_token: 18_432,
    link_mbps: 2_700.0,
    has_backups: false,
    has_moves: false,
};
/// Requests whose first event takes longer begin late.
const LATE_MS: u32 = 1_500;
const REQUESTS: usize = 2_500;

/// A request at an engine of the simulation.
struct Run {
    /// Daemon that sent it; `None` for one of another system.
    daemon: Option<usize>,
    sent_ms: u32,
    prompt: u64,
    /// Prompt tokens that are not prefilled yet, and those that the daemon knew of at the engine.
    left: f64,
    queued: u64,
    decoding_ms: u32,
    /// Time of the first event, and when the run ends; `None` while it waits.
    decoding: Option<(u32, u32)>,
}

/// One engine of the simulation.
struct Engine {
    runs: Vec<Run>,
    /// How long work always takes, and the times of the next slowdown.
    base: f64,
    slow: (u32, u32),
}

impl Engine {
    fn slowness(&self, ms: u32) -> f64 {
        let is_slow = (self.slow.0..self.slow.1).contains(&ms);
        if is_slow { self.base * 2.5 } else { self.base }
    }

    fn work_of(&self, is_counted: impl Fn(usize) -> bool) -> Work {
        let runs = self
            .runs
            .iter()
            .filter(|r| r.daemon.is_some_and(&is_counted));
        let mut work = Work::default();
        for run in runs {
            work.add(Some(&Work {
                requests: 1,
                tokens: run.prompt + 500,
                pending_prompt_tokens: if run.decoding.is_none() {
                    run.prompt
                } else {
                    0
                },
            }));
        }
        work
    }
}

fn boot(ms: u32) -> Duration {
    at(ms.into())
}

/// Simulates engines of which a third take 1.3 times as long and each slows down 2.5-fold about
/// every four seconds for 300 to 700 ms. `foreign` is the fraction of requests that come from
/// another system, which sends to any engine. Returns the fraction of the daemons' requests
/// that begin late.
fn late_fraction(knowledge: Knowledge, foreign: f64, per_second: f64, seed: u64) -> f64 {
    // Several, so that what arrives and when engines are slow is the same in all variants.
    let [mut rng, mut slow_rng, mut tie_rng, mut noise_rng] =
        [0, 1, 2, 3].map(|i| StdRng::seed_from_u64(4 * seed + i));
    let mut engines: Vec<_> = (0..ENGINES)
        .map(|i| Engine {
            runs: Vec::new(),
            base: if i % 3 == 0 { 1.3 } else { 1.0 },
            slow: (0, 0),
        })
        .collect();
    let mut tables: Vec<SpeedTable> = (0..DAEMONS).map(|_| SpeedTable::default()).collect();
    let mut reported: Vec<Vec<Work>> = vec![vec![Work::default(); ENGINES]; DAEMONS];
    let (mut late, mut begun, mut arrived) = (0, 0, 0);
    let mut next_arrival = 0.0;
    let mut ms = 0;
    while begun < REQUESTS {
        ms += STEP_MS;
        if ms.is_multiple_of(200) {
            for (daemon, reported) in reported.iter_mut().enumerate() {
                *reported = engines.iter().map(|e| e.work_of(|d| d == daemon)).collect();
            }
        }
        for engine in &mut engines {
            if engine.slow.1 <= ms && slow_rng.random::<f64>() < f64::from(STEP_MS) / 4_000.0 {
                engine.slow = (ms, ms + slow_rng.random_range(300..700));
            }
        }
        while next_arrival < f64::from(ms) {
            next_arrival -= rng.random::<f64>().ln() * 1_000.0 / per_second;
            let prompt = rng.random_range(1_000..5_000);
            let decoding_ms = rng.random_range(1_000..6_000);
            let (origin, any) = (rng.random::<f64>(), rng.random_range(0..ENGINES));
            let daemon = (origin >= foreign).then_some(arrived % DAEMONS);
            arrived += 1;
            let (chosen, queued) = daemon.map_or((any, 0), |daemon| {
                let view = View {
                    engines: &engines,
                    table: &tables[daemon],
                    reported: &reported,
                    daemon,
                    ms,
                };
                view.choose(prompt, &mut tie_rng)
            });
            engines[chosen].runs.push(Run {
                daemon,
                sent_ms: ms,
                prompt,
                left: f64::from(u32::try_from(prompt).expect("a short prompt")),
                queued,
                decoding_ms,
                decoding: None,
            });
        }
        for (key, engine) in engines.iter_mut().enumerate() {
            let waits = step_engine(engine, key, &mut tables, knowledge, ms, &mut noise_rng);
            begun += waits.len();
            late += waits.iter().filter(|wait| **wait > LATE_MS).count();
        }
    }
    f64::from(u32::try_from(late).expect("few")) / f64::from(u32::try_from(begun).expect("few"))
}

/// What one daemon of the simulation sees.
struct View<'a> {
    engines: &'a [Engine],
    table: &'a SpeedTable,
    reported: &'a [Vec<Work>],
    daemon: usize,
    ms: u32,
}

impl View<'_> {
    /// Returns the cheapest engine, and the prompt tokens to prefill there before the first event.
    fn choose(&self, prompt: u64, rng: &mut StdRng) -> (usize, u64) {
        let demand = GenerationDemand {
            prompt,
            tokens: prompt + 500,
            objective: Duration::from_millis(1_800),
        };
        let costs = (0..ENGINES).map(|i| {
            let candidate = self.candidate(i, &demand);
            let cost = engine_cost(&candidate, &LIMITS, &demand, RATE);
            let queued = candidate.work.pending_prompt_tokens + prompt;
            (cost + 0.02 * rng.random::<f64>(), i, queued)
        });
        let cheapest = costs.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        let (_, engine, queued) = cheapest.expect("an engine");
        (engine, queued)
    }

    fn candidate(&self, i: usize, demand: &GenerationDemand) -> Candidate {
        let key = TargetKey::try_from(i).expect("few engines");
        let now = boot(self.ms);
        let mut others = Work::default();
        let daemons = self.reported.iter().enumerate();
        for (_, work) in daemons.filter(|(d, _)| *d != self.daemon) {
            others.add(Some(&work[i]));
        }
        let mut work = self.engines[i].work_of(|d| d == self.daemon);
        work.add(Some(&others));
        let unseen = self.table.unseen(key, others.requests, now);
        unseen.add_to(&mut work, demand);
        Candidate {
            work,
            slots: 64,
            failures: 0.0,
            is_cold: false,
            distance: Distance::SameZone,
            slowness: self.table.slowness(key, now),
        }
    }
}

/// Simulates one step of an engine. Returns the waits of the daemons' requests that begin in it.
fn step_engine(
    engine: &mut Engine,
    key: usize,
    tables: &mut [SpeedTable],
    knowledge: Knowledge,
    ms: u32,
    rng: &mut StdRng,
) -> Vec<u32> {
    let key = TargetKey::try_from(key).expect("few engines");
    let slowness = engine.slowness(ms);
    let mut capacity = RATE * f64::from(STEP_MS) / 1_000.0 / slowness;
    let mut waits = Vec::new();
    let mut heads = Vec::new();
    for run in engine.runs.iter_mut().filter(|r| r.decoding.is_none()) {
        let done = run.left.min(capacity);
        (run.left, capacity) = (run.left - done, capacity - done);
        if run.left <= 0.0 {
            run.decoding = Some((ms, ms + run.decoding_ms));
            if let Some(daemon) = run.daemon {
                waits.push(ms - run.sent_ms);
                heads.push((daemon, run.queued, ms - run.sent_ms));
            }
        }
    }
    engine
        .runs
        .retain(|r| r.decoding.is_none_or(|(_, end)| end > ms));
    let waiting = engine.runs.iter().filter(|r| r.decoding.is_none()).count();
    let [running, waiting] = [engine.runs.len() - waiting, waiting]
        .map(|count| u32::try_from(count).expect("few requests"));
    if knowledge == Knowledge::Work {
        return waits;
    }
    for (daemon, queued, wait) in &heads {
        let load = StatedLoad {
            running,
            waiting,
            slots: 64,
            slowness: (knowledge == Knowledge::Speed).then_some(slowness),
        };
        let own = engine.work_of(|d| d == *daemon).requests;
        tables[*daemon].record_load(key, &load, own, boot(ms));
        let tokens = f64::from(u32::try_from(*queued).expect("few tokens"));
        let ratio = f64::from(*wait) / 1_000.0 * RATE / tokens;
        tables[*daemon].record_first_event(key, ratio, boot(ms));
    }
    for run in &engine.runs {
        let noise = 0.9 + 0.2 * rng.random::<f64>();
        if let (Some(daemon), Some((since, _))) = (run.daemon, run.decoding)
            && ms > since
            && (ms - since).is_multiple_of(120)
            && waiting == 0
        {
            let gap = Duration::from_secs_f64(0.041 * slowness * noise);
            tables[daemon].record_gap(key, SERVICE, gap, boot(ms));
        }
    }
    waits
}

/// Guards against placing requests as if all engines were equally fast, and as if there were no
/// requests but those of the daemons.
#[test]
fn fewer_requests_begin_late_where_speeds_are_known() {
    for (foreign, per_second) in [(0.0, 13.0), (0.2, 13.0)] {
        let mean = |knowledge| {
            let seeds = [3, 5, 8, 13];
            let late = seeds.map(|seed| late_fraction(knowledge, foreign, per_second, seed));
            late.iter().sum::<f64>() / 4.0
        };
        let before = mean(Knowledge::Work);
        let (gaps, speed) = (mean(Knowledge::Gaps), mean(Knowledge::Speed));
        println!("foreign={foreign} before={before:.4} gaps={gaps:.4} speed={speed:.4}");
        assert!(
            speed < before * 0.75,
            "{speed} with speeds, {before} without"
        );
        assert!(gaps < before, "{gaps} with gaps, {before} without");
    }
}
