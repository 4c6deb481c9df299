//! Tests the decisions on placing, backing up and resuming runs under simulated load.

use std::time::Duration;

use bluebelldrift::gateway::{
    Candidate, Distance, EngineLimits, EventSplitter, GenerationDemand, RepeatReason, SendBudget,
    SendCounts, SendHistory, Work, ends_before_exit, engine_cost, has_room_for_backup, plain_cost,
    sample_other_zones,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const LIMITS: EngineLimits = EngineLimits {
    slots: 64,
    memory_tokens: 34_000,
    bytes_per_token: 18_432,
    link_mbps: 2_700.0,
    has_backups: true,
    has_moves: true,
};
const DEMAND: GenerationDemand = GenerationDemand {
    prompt: 3_000,
    tokens: 4_000,
    objective: Duration::from_millis(1_800),
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engine(work: Work) -> Candidate {
    Candidate {
        work,
        slots: 64,
        failures: 0.0,
        is_cold: false,
        distance: Distance::SameZone,
        slowness: 1.0,
    }
}

fn cost(candidate: &Candidate) -> f64 {
    engine_cost(candidate, &LIMITS, &DEMAND, 5_000.0)
}

#[test]
fn a_queued_prompt_costs_more_than_memory_use_below_the_limit() {
    let queued = engine(Work {
        requests: 1,
        tokens: 4_000,
        pending_prompt_tokens: 3_000,
    });
    let decoding = engine(Work {
        requests: 4,
        tokens: 16_000,
        pending_prompt_tokens: 0,
    });
    assert!(cost(&decoding) < cost(&queued));
}

#[test]
fn memory_use_above_the_limit_costs_more_than_a_queue_within_the_objective() {
    let queued = engine(Work {
        requests: 2,
        tokens: 8_000,
        pending_prompt_tokens: 6_000,
    });
    let full = engine(Work {
        requests: 8,
        tokens: 32_000,
        pending_prompt_tokens: 0,
    });
    assert!(cost(&queued) < cost(&full));
}

#[test]
fn a_plain_call_stays_in_its_zone_unless_the_target_fails() {
    let in_own_zone = engine(Work {
        requests: 2,
        ..Work::default()
    });
    let in_other_region = Candidate {
        distance: Distance::OtherRegion,
        ..engine(Work::default())
    };
    assert!(plain_cost(&in_own_zone) < plain_cost(&in_other_region));
    let failing = Candidate {
        failures: 3.0,
        ..in_own_zone
    };
    assert!(plain_cost(&in_other_region) < plain_cost(&failing));
}

#[test]
fn backups_are_placed_only_up_to_half_of_an_engines_memory() {
    let room = |tokens| {
        has_room_for_backup(
            &Work {
                tokens,
                ..Work::default()
            },
            &LIMITS,
            &DEMAND,
        )
    };
    assert!(room(12_000));
    assert!(!room(14_000));
}

/// A run in progress, which takes memory at its engine and at that of its backup.
struct ActiveRun {
    until: f64,
    tokens: u64,
    engine: usize,
    backup: Option<usize>,
}

fn work_at(active: &[ActiveRun], i: usize) -> Work {
    let runs = active.iter().filter(|run| run.engine == i);
    let with_backups = active
        .iter()
        .filter(|run| run.engine == i || run.backup == Some(i));
    Work {
        requests: u32::try_from(runs.count()).expect("the number of runs fits into u32"),
        tokens: with_backups.map(|run| run.tokens).sum(),
        pending_prompt_tokens: 0,
    }
}

/// Simulates twelve engines with memory for 27,000 tokens each, two thirds of which
/// are in use by runs on average, as at the daily peak. Returns the fraction of runs
/// that do not fit into memory, and the fraction of runs with a backup.
fn blocked_and_backed_up(
    has_room: impl Fn(&Work, &EngineLimits, &GenerationDemand) -> bool,
) -> (f64, f64) {
    let limits = EngineLimits {
        memory_tokens: 27_000,
        ..LIMITS
    };
    let mut rng = StdRng::seed_from_u64(11);
    let mut active: Vec<ActiveRun> = vec![];
    let (mut now, mut blocked, mut backed_up) = (0.0, 0, 0);
    for _ in 0..3_000 {
        now += -rng.random::<f64>().ln() / 9.0;
        active.retain(|run| run.until > now);
        let demand = GenerationDemand {
            tokens: rng.random_range(2_000..6_000),
            ..DEMAND
        };
        let engines: Vec<_> = (0..12).map(|i| engine(work_at(&active, i))).collect();
        let cheapest = |excluded: Option<usize>| {
            let others = (0..12).filter(|i| Some(*i) != excluded);
            let cost = |i: &usize| engine_cost(&engines[*i], &limits, &demand, 7_000.0);
            let cheapest = others.min_by(|a, b| cost(a).total_cmp(&cost(b)));
            cheapest.expect("an engine")
        };
        let chosen = cheapest(None);
        let backup_engine = cheapest(Some(chosen));
        let backup =
            has_room(&engines[backup_engine].work, &limits, &demand).then_some(backup_engine);
        blocked += u32::from(engines[chosen].work.tokens + demand.tokens > limits.memory_tokens);
        backed_up += u32::from(backup.is_some());
        active.push(ActiveRun {
            until: now - 6.0 * rng.random::<f64>().ln(),
            tokens: demand.tokens,
            engine: chosen,
            backup,
        });
    }
    (f64::from(blocked) / 3_000.0, f64::from(backed_up) / 3_000.0)
}

#[test]
fn backups_do_not_block_runs_at_the_daily_peak() {
    let (blocked, backed_up) = blocked_and_backed_up(has_room_for_backup);
    let (blocked_without_backups, _) = blocked_and_backed_up(|_, _, _| false);
    assert!(
        blocked < blocked_without_backups + 0.01,
        "{blocked} of the runs blocked with backups, {blocked_without_backups} without"
    );
    // Runs are backed up whenever there is room.
    assert!(backed_up > 0.02, "{backed_up} of the runs backed up");
}

/// Simulates twelve engines that prefill 7 tokens per millisecond, at eleven
/// requests per second, as under moderate load. Returns the fraction of first events
/// that take more than 1.5 s.
fn late_fraction(choose: impl Fn(&[Candidate]) -> usize) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let mut free_at = [0.0_f64; 12];
    let (mut now, mut late) = (0.0, 0);
    for _ in 0..2_000 {
        now += -rng.random::<f64>().ln() / 11.0;
        let candidates: Vec<_> = free_at
            .iter()
            .map(|free| {
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "positive and far below 2^64"
                )]
                let pending_prompt_tokens = ((free - now).max(0.0) * 7_000.0) as u64;
                engine(Work {
                    requests: 1,
                    tokens: pending_prompt_tokens,
                    pending_prompt_tokens,
                })
            })
            .collect();
        let chosen = choose(&candidates);
        let prompt = rng.random_range(1_000.0..5_000.0);
        free_at[chosen] = free_at[chosen].max(now) + prompt / 7_000.0;
        late += u32::from(free_at[chosen] - now > 1.5);
    }
    f64::from(late) / 2_000.0
}

#[test]
fn few_first_events_are_late_under_moderate_load() {
    let late = late_fraction(|engines| {
        let costs = engines.iter().map(cost).enumerate();
        costs
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .expect("an engine")
            .0
    });
    // At the peak, 95 of 100 first events are promised within 1.6 s.
    assert!(late < 0.05, "{late} of the first events are late");
}

#[test]
fn all_runs_of_a_reclaimed_engine_at_one_daemon_are_resumed() {
    // 82 daemons handle 83 requests per second; all runs of the reclaimed engine are
    // at one daemon.
    let budget = SendBudget {
        share: 0.2,
        extra: 204.0,
        window: at(10_000),
    };
    let mut sends = SendHistory::default();
    for i in 0..10 {
        sends.record_first(at(i * 1_000));
    }
    let others = SendCounts {
        firsts: 820,
        repeats: 40,
    };
    let resumed = (0..20)
        .filter(|_| sends.try_repeat(RepeatReason::BrokenRun, at(10_000), &budget, 82, others))
        .count();
    assert_eq!(resumed, 20);
}

// All engines restarted at once and declined; the daemons repeated twice the budget.
#[test]
fn daemons_repeat_declined_sends_beyond_the_budget_before_the_first_is_reported() {
    let budget = SendBudget {
        share: 0.2,
        extra: 159.0,
        window: at(10_000),
    };
    let daemons = 59;
    let mut all: Vec<_> = (0..daemons).map(|_| SendHistory::default()).collect();
    let mut repeats = Vec::new();
    // 57 requests per second; from second 10 on, up to ten engines decline each.
    for i in 0..570_u64 + 114 {
        let now = at(i * 1_000 / 57);
        let daemon = usize::try_from(i * 31 % 59).expect("a daemon");
        all[daemon].record_first(now);
        if i < 570 {
            continue;
        }
        // Reports show what was sent up to half a second ago.
        let reported = now.saturating_sub(at(500));
        let shown = repeats.iter().filter(|sent| **sent < reported).count();
        let others = SendCounts {
            firsts: 560,
            repeats: u32::try_from(shown).expect("a count"),
        };
        let reason = RepeatReason::OtherTarget;
        let declined =
            (0..10).take_while(|_| all[daemon].try_repeat(reason, now, &budget, daemons, others));
        repeats.extend(declined.map(|_| now));
    }
    // 0.2 of the requests of a window, and the extra ones.
    let allowed = 114 + 159;
    assert!(repeats.len() <= allowed, "{} of {allowed}", repeats.len());
}

#[test]
fn a_stale_report_of_an_empty_engine_does_not_attract_all_requests() {
    // Sixty engines in other zones, one of them new and empty. At eighty requests per
    // second, forty are placed by the same load report, which is half a second old.
    let mut rng = StdRng::seed_from_u64(7);
    let engines: Vec<_> = (0..60_u64)
        .map(|i| {
            engine(Work {
                requests: 4,
                tokens: 16_000 * u64::from(i > 0),
                pending_prompt_tokens: 0,
            })
        })
        .collect();
    let numbered: Vec<_> = engines.iter().enumerate().collect();
    let mut chosen = [0; 60];
    for _ in 0..40 {
        let sampled = sample_other_zones(&numbered, &mut rng);
        let best = sampled.min_by(|(_, a), (_, b)| cost(a).total_cmp(&cost(b)));
        chosen[best.expect("an engine").0] += 1;
    }
    // Four prompts that are prefilled one after the other stay within the objective.
    assert!(
        chosen.iter().all(|n| *n <= 4),
        "requests by engine: {chosen:?}"
    );
}

proptest! {
    #[test]
    fn daemons_that_receive_no_messages_from_each_other_stay_within_the_budget(
        daemons in 1_usize..100,
        attempts in proptest::collection::vec((0_usize..100, 0_u64..10_000), 0..2_000),
    ) {
        let budget = SendBudget { share: 0.2, extra: 58.0, window: at(10_000) };
        let mut all: Vec<_> = (0..daemons).map(|_| SendHistory::default()).collect();
        let mut attempts = attempts;
        attempts.sort_by_key(|(_, ms)| *ms);
        // By the counts that each daemon received, the others have used up the budget.
        let others = SendCounts { firsts: 0, repeats: 58 };
        let allowed = attempts.iter().filter(|(daemon, ms)| {
            let reason = if *ms % 2 == 0 { RepeatReason::BrokenRun } else { RepeatReason::OtherTarget };
            all[daemon % daemons].try_repeat(reason, at(*ms), &budget, daemons, others)
        });
        prop_assert!(allowed.count() <= 58);
    }

    #[test]
    fn event_splitting_does_not_depend_on_chunk_boundaries(cuts in proptest::collection::vec(1_usize..40, 0..60)) {
        let events = (1..=20).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
        let text = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let mut rest = text.as_bytes();
        let mut events = vec![];
        for cut in cuts.into_iter().chain([text.len()]) {
            let (chunk, remaining) = rest.split_at(cut.min(rest.len()));
            splitter.push(chunk);
            rest = remaining;
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let ids: Vec<_> = events.iter().map(|e| e.id).collect();
        prop_assert_eq!(ids, (1..=20).map(Some).collect::<Vec<_>>());
        let whole: Vec<u8> = events.iter().flat_map(|e| e.raw.to_vec()).collect();
        prop_assert_eq!(whole, text.as_bytes());
        prop_assert!(!splitter.has_incomplete_event());
    }
}

#[test]
fn a_stopping_daemon_accepts_requests_whose_time_limit_ends_within_the_grace_period() {
    let grace = at(8_000);
    assert!(ends_before_exit(at(6_000), at(1_000), grace));
    assert!(ends_before_exit(at(1_200), at(6_000), grace));
    assert!(!ends_before_exit(at(6_000), at(2_000), grace));
    assert!(!ends_before_exit(at(1_200), at(6_500), grace));
    assert!(!ends_before_exit(at(39_000), Duration::ZERO, grace));
    // What ends just before the process exits would have no time to be answered.
    assert!(!ends_before_exit(at(7_400), Duration::ZERO, grace));
    assert!(!ends_before_exit(at(7_600), Duration::ZERO, grace));
    assert!(!ends_before_exit(Duration::MAX, Duration::ZERO, grace));
}
