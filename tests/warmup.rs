//! Tests of a target's ramp after a start and of its limit, in virtual time.
//!
//! They guard against an overload of a cold target: by a limit that grows faster
//! than the target worked, by an outdated ramp state that undoes a reset to
//! cold, or by an owner that misses that the target became cold again.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bluebelldrift::{
    Action, CreditAllocator, LeaseAnswer, LeaseCall, LeaseRecord, ListedTarget, LoadReport, Object,
    Policy, PutResult, Ramp, RampState, TargetState, WriteCondition,
    records::Capacity,
    wire::{CreditRequest, Datagram, MemberId},
};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::sync::Notify;

const COLD_LIMIT: u32 = 3;
const LIMIT: u32 = 40;
const WINDOW: Duration = Duration::from_secs(2);

fn capacity() -> Capacity {
    Capacity {
        limit: LIMIT,
        cold_limit: COLD_LIMIT,
        ramp_window: WINDOW,
        kv_tokens: 0,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Work { has_work: bool, is_on_time: bool },
    Report { boot: u8, preemptions: u64 },
    ResetToCold,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..1_500_u64).prop_map(Step::Advance),
        8 => (any::<bool>(), any::<bool>())
            .prop_map(|(has_work, is_on_time)| Step::Work { has_work, is_on_time }),
        1 => (0..2_u8, 0..9_u64)
            .prop_map(|(boot, preemptions)| Step::Report { boot, preemptions }),
        1 => Just(Step::ResetToCold),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn limit_doubles_at_most_once_per_window_of_work(
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let (capacity, mut ramp) = (capacity(), Ramp::default());
        let mut now = Duration::from_secs(100);
        // Time that passed right after a sample with work, since the last reset
        // to cold.
        let (mut work_time, mut work_since) = (Duration::ZERO, None);
        let mut current_boot = None;
        for step in steps {
            match step {
                Step::Advance(ms) => now += Duration::from_millis(ms),
                Step::Work { has_work, is_on_time } => {
                    work_time += work_since.map_or(Duration::ZERO, |at| now.saturating_sub(at));
                    work_since = has_work.then_some(now);
                    ramp.on_work(has_work, is_on_time, &capacity, now);
                }
                Step::Report { boot, preemptions } => {
                    let name = format!("b{boot}");
                    ramp.on_report(&name, preemptions, &capacity, now);
                    if current_boot.replace(boot) != Some(boot) {
                        (work_time, work_since) = (Duration::ZERO, None);
                    }
                }
                Step::ResetToCold => {
                    ramp.reset_to_cold(&capacity);
                    (work_time, work_since) = (Duration::ZERO, None);
                }
            }
            let windows = u32::try_from(work_time.as_millis() / WINDOW.as_millis())
                .expect("the number of windows fits in a u32");
            let max_limit = COLD_LIMIT.saturating_mul(2_u32.saturating_pow(windows)).min(LIMIT);
            let limit = ramp.limit(&capacity);
            prop_assert!(limit <= max_limit, "limit {limit} after {work_time:?} of work");
        }
    }
}

#[test]
fn outdated_ramp_state_does_not_undo_a_reset_to_cold() {
    let (capacity, now) = (capacity(), Duration::from_secs(100));
    let mut ramp = Ramp::default();
    ramp.on_report("b1", 0, &capacity, now);
    let warm_state = RampState {
        boot_id: "b1".into(),
        cold_resets: 0,
        limit: LIMIT,
        is_warm: true,
    };
    ramp.merge(&warm_state);
    assert_eq!(ramp.limit(&capacity), LIMIT);
    ramp.reset_to_cold(&capacity);
    ramp.merge(&warm_state);
    assert_eq!(ramp.limit(&capacity), COLD_LIMIT);
    let other_start = RampState {
        boot_id: "b2".into(),
        cold_resets: 9,
        ..warm_state
    };
    ramp.merge(&other_start);
    assert_eq!(ramp.limit(&capacity), COLD_LIMIT);
}

#[test]
fn preemptions_cut_the_limit_which_then_grows_back_to_the_recorded_one() {
    let (capacity, mut ramp) = (capacity(), Ramp::default());
    let at = Duration::from_secs;
    ramp.on_report("b1", 0, &capacity, at(100));
    ramp.merge(&RampState {
        boot_id: "b1".into(),
        cold_resets: 0,
        limit: LIMIT,
        is_warm: true,
    });
    ramp.on_report("b1", 5, &capacity, at(102));
    assert_eq!(ramp.limit(&capacity), 30);
    // At most one cut per second, however many preemptions there were.
    ramp.on_report("b1", 9, &capacity, at(102));
    assert_eq!(ramp.limit(&capacity), 30);
    for second in 103..200 {
        ramp.on_report("b1", 9, &capacity, at(second));
        assert!(ramp.limit(&capacity) <= LIMIT);
    }
    assert_eq!(ramp.limit(&capacity), LIMIT);
}

/// Owner of one target. The target is warm according to the ramp state in its
/// lease object.
struct Owner {
    allocator: CreditAllocator,
    now: Duration,
    sequence: u64,
}

fn member(name: &str) -> MemberId {
    MemberId {
        name: name.into(),
        incarnation: 1,
    }
}

fn report(waiting: u32, is_cold: bool) -> LoadReport {
    LoadReport {
        boot_id: "b1".into(),
        waiting,
        is_cold,
        ..LoadReport::default()
    }
}

/// Returns the state of a ramp that has been completed.
fn warm_ramp() -> RampState {
    RampState {
        boot_id: "b1".into(),
        cold_resets: 0,
        limit: LIMIT,
        is_warm: true,
    }
}

impl Owner {
    /// Returns the owner of a target that has reported its start.
    fn of_target() -> Self {
        let now = Duration::from_secs(100);
        let life = Duration::from_secs(2);
        let wake = Arc::new(Notify::new());
        let mut allocator = CreditAllocator::new(member("a"), Policy::Credits, life, wake, now);
        let listed = ListedTarget {
            region: "vest".into(),
            state: TargetState::Serving,
            capacity: capacity(),
            first_token_band: Duration::from_secs(1),
            reports_load: true,
        };
        let daemons = BTreeMap::from([("a".into(), "vest".into())]);
        allocator.refresh(BTreeMap::from([("t".into(), listed)]), &daemons, now);
        allocator.on_load("t", &report(0, false), now);
        Self {
            allocator,
            now,
            sequence: 0,
        }
    }

    fn of_warm_target() -> Self {
        let mut owner = Self::of_target();
        let record = LeaseRecord {
            holder: member("gone"),
            ramp: Some(warm_ramp()),
            is_released: true,
        };
        let object = Object {
            key: "lease/target/t".into(),
            revision: 7,
            value: serde_json::to_value(record).ok(),
        };
        owner.answer(&LeaseAnswer::Read(Some(object)));
        // The takeover ends one credit lifetime and a margin after the start.
        owner.advance(4);
        owner
    }

    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            self.allocator.tick(self.now);
        }
    }

    fn answer(&mut self, answer: &LeaseAnswer) {
        self.allocator.on_lease("t", answer, self.now, self.now);
    }

    /// Returns the call on the lease that is due a second later, and whether its record
    /// releases the lease.
    fn next_lease_call(&mut self) -> Option<(LeaseCall, bool)> {
        self.now += Duration::from_secs(1);
        let actions = self.allocator.tick(self.now);
        actions.into_iter().find_map(|action| match action {
            Action::Lease(_, call, record) => Some((call, record.is_released)),
            _ => None,
        })
    }

    /// Returns the credits granted to a holder that reports these requests in
    /// flight and first tokens; `None` without an answer.
    fn request_credits(&mut self, in_flight: u32, on_time: u64, late: u64) -> Option<u32> {
        self.sequence += 1;
        let request = CreditRequest {
            target: "t".into(),
            held: 0,
            in_flight,
            additional: LIMIT,
            first_tokens_on_time: on_time,
            first_tokens_late: late,
            failures: 0,
            ramp: None,
        };
        let from = member("b");
        let mut out = self
            .allocator
            .on_request(&from, self.sequence, request, self.now);
        if let [Action::Probe(_)] = out[..] {
            let load = report(0, false);
            out = self
                .allocator
                .on_probe("t", Some(&load), self.now, self.now);
        }
        match out.first() {
            Some(Action::Send(_, _, Datagram::CreditGrant(grant))) => Some(grant.credits),
            _ => None,
        }
    }
}

#[test]
fn late_first_tokens_make_a_target_cold_unless_it_has_a_queue() {
    let mut owner = Owner::of_warm_target();
    assert_eq!(owner.request_credits(1, 1, 0), Some(LIMIT));
    owner.allocator.on_load("t", &report(3, false), owner.now);
    owner.request_credits(1, 1, 2);
    assert_eq!(
        owner.request_credits(1, 1, 2),
        Some(LIMIT),
        "late first tokens are due to the queue"
    );
    owner.allocator.on_load("t", &report(0, false), owner.now);
    owner.request_credits(1, 1, 4);
    // The target is cold, and its owner grants nothing without the lease.
    assert_eq!(owner.request_credits(1, 1, 4), None);
}

#[test]
fn target_that_reports_being_cold_is_cold() {
    let mut owner = Owner::of_warm_target();
    assert_eq!(owner.request_credits(1, 1, 0), Some(LIMIT));
    owner.allocator.on_load("t", &report(0, true), owner.now);
    assert_eq!(owner.request_credits(1, 1, 0), None);
}

/// The lease of a warm target was released while a renewal was under way. The release
/// failed, since the revision had changed, and was not written again.
#[test]
fn a_lease_stays_recorded_after_a_release_during_a_renewal() {
    let write = |revision| LeaseCall::Write(WriteCondition::AtRevision(revision));
    let written = |revision| LeaseAnswer::Write(PutResult::Written(revision));
    let mut owner = Owner::of_target();
    assert_eq!(owner.next_lease_call(), Some((LeaseCall::Read, false)));
    owner.answer(&LeaseAnswer::Read(None));
    let acquired = LeaseCall::Write(WriteCondition::Absent);
    assert_eq!(owner.next_lease_call(), Some((acquired, false)));
    owner.answer(&written(1));
    let renewal = (0..4).find_map(|_| owner.next_lease_call());
    assert_eq!(renewal, Some((write(1), false)));
    let request = CreditRequest {
        target: "t".into(),
        held: 0,
        in_flight: 0,
        additional: 0,
        first_tokens_on_time: 0,
        first_tokens_late: 0,
        failures: 0,
        ramp: Some(warm_ramp()),
    };
    let (from, now) = (member("b"), owner.now);
    owner.allocator.on_request(&from, 1, request, now);
    let load = report(0, false);
    owner.allocator.on_probe("t", Some(&load), now, now);
    assert_eq!(
        owner.next_lease_call(),
        None,
        "the renewal has no answer yet"
    );
    owner.answer(&written(2));
    assert_eq!(owner.next_lease_call(), Some((write(2), true)));
    // A release whose answer is lost is written again.
    owner.answer(&LeaseAnswer::Failed);
    let again = (0..9).find_map(|_| owner.next_lease_call());
    assert_eq!(again, Some((write(2), true)));
    owner.answer(&written(3));
    assert!((0..16).all(|_| owner.next_lease_call().is_none()));
}
