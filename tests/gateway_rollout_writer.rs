//! Tests which daemon writes the status of a rollout, when and what, without a network, and
//! replays stores that lose or delay writes.

use std::time::Duration;

use bluebelldrift::gateway::{
    Change, FeedState, Fleet, Rollout, RolloutAnswer, RolloutCall, RolloutDecision, RolloutOrder,
    RolloutState, RolloutWriter, StatusStep, Topic, revision_in_era,
};
use proptest::prelude::*;

const SERVICE: &str = "plain";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn revision(era: u64, in_store: u64) -> u64 {
    revision_in_era(era, in_store).expect("a valid revision")
}

fn rollout(version: &str, state: Option<RolloutState>, revision: u64) -> Rollout {
    Rollout {
        order: RolloutOrder {
            service: SERVICE.into(),
            version: version.into(),
            time_limit: Duration::from_secs(12),
        },
        status: state.map(|state| (state, version.into())),
        revision,
    }
}

/// Applies changes as a watch returns them.
fn watch(fleet: &mut Fleet, changes: &[Change]) {
    fleet.apply(Topic::Rollouts, changes, &FeedState::default(), ms(0));
}

/// Applies the first list of a restored store.
fn list_in_new_era(fleet: &mut Fleet, changes: &[Change]) {
    let mut feed = FeedState::default();
    feed.record_new_era(ms(5));
    fleet.replace(Topic::Rollouts, changes, &feed, ms(5));
}

fn fleet_with(rollout: Rollout) -> Fleet {
    let mut fleet = Fleet::default();
    watch(&mut fleet, &[Change::Rollout(rollout)]);
    fleet
}

/// A writer, the decision of its daemon and the daemon's rank.
struct Daemon {
    writer: RolloutWriter,
    fleet: Fleet,
    decision: Option<RolloutDecision>,
    rank: u32,
}

impl Daemon {
    fn new(fleet: Fleet, decision: RolloutDecision) -> Self {
        Self {
            writer: RolloutWriter::default(),
            fleet,
            decision: Some(decision),
            rank: 0,
        }
    }

    fn due(&mut self, now: Duration) -> Option<StatusStep> {
        let decisions = self.decision.map(|d| (SERVICE.into(), d));
        let decisions: Vec<_> = decisions.into_iter().collect();
        let mut steps = self.writer.due(&self.fleet, &decisions, self.rank, now);
        assert!(steps.len() <= 1);
        steps.pop()
    }

    /// Returns the write that is due; fails if there is none.
    fn due_write(&mut self, now: Duration) -> (StatusStep, RolloutState, u64) {
        let step = self.due(now).expect("a call");
        let RolloutCall::Write(write) = step.call.clone() else {
            panic!("expected a write: {step:?}");
        };
        assert_eq!(&*write.version, "v2");
        (step, write.state, write.revision)
    }

    fn answer(&mut self, step: &StatusStep, answer: &RolloutAnswer, now: Duration) {
        self.writer.record(step, answer, now);
    }
}

fn unknown() -> RolloutAnswer {
    RolloutAnswer::Unknown("timeout".into())
}

fn held(rollout: Rollout) -> RolloutAnswer {
    RolloutAnswer::Held(Change::Rollout(rollout))
}

const RUNNING: RolloutDecision = RolloutDecision::Running { share: 0.08 };

#[test]
fn each_decision_is_written_once() {
    for (decision, state) in [
        (RUNNING, RolloutState::Running),
        (RolloutDecision::Complete, RolloutState::Completed),
        (RolloutDecision::RollBack, RolloutState::RolledBack),
    ] {
        let mut daemon = Daemon::new(fleet_with(rollout("v2", None, 7)), decision);
        let (step, written, based_on) = daemon.due_write(ms(0));
        assert_eq!((written, based_on), (state, 7));
        assert_eq!(daemon.due(ms(50)), None, "a call is in progress");
        daemon.answer(&step, &RolloutAnswer::Written, ms(60));
        assert_eq!(daemon.due(ms(20_000)), None);
    }
}

/// Guards against statuses of orders on which nothing has been decided.
#[test]
fn nothing_is_written_without_an_order_or_a_decision() {
    let mut daemon = Daemon::new(Fleet::default(), RolloutDecision::Complete);
    assert_eq!(daemon.due(ms(0)), None);
    daemon.fleet = fleet_with(rollout("v2", None, 7));
    daemon.decision = None;
    assert_eq!(daemon.due(ms(0)), None);
}

/// Guards against a status of an earlier order that is taken for that of the present one.
#[test]
fn the_status_of_an_earlier_order_does_not_count() {
    let mut order = rollout("v2", None, 7);
    order.status = Some((RolloutState::Completed, "v1".into()));
    let mut daemon = Daemon::new(fleet_with(order), RUNNING);
    assert_eq!(daemon.due_write(ms(0)).1, RolloutState::Running);
}

/// Guards against daemons that restart a rollout, or overwrite its outcome, after a start.
#[test]
fn states_found_at_the_start_are_kept() {
    for state in [RolloutState::Completed, RolloutState::RolledBack] {
        for decision in [
            RUNNING,
            RolloutDecision::Complete,
            RolloutDecision::RollBack,
        ] {
            let mut daemon = Daemon::new(fleet_with(rollout("v2", Some(state), 7)), decision);
            assert_eq!(daemon.due(ms(0)), None, "{state} {decision:?}");
        }
    }
    let running = || fleet_with(rollout("v2", Some(RolloutState::Running), 7));
    let mut daemon = Daemon::new(running(), RUNNING);
    assert_eq!(daemon.due(ms(0)), None);
    daemon.decision = Some(RolloutDecision::RollBack);
    assert_eq!(daemon.due_write(ms(0)).1, RolloutState::RolledBack);
}

/// Guards against hundreds of writes of the same status, and against none if the first daemon
/// dies, freezes or loses the store.
#[test]
fn daemons_write_in_the_order_of_their_rank_until_the_status_is_there() {
    let order = rollout("v2", None, 7);
    let mut daemon = Daemon::new(fleet_with(order.clone()), RolloutDecision::RollBack);
    daemon.rank = 2;
    assert_eq!(daemon.due(ms(0)), None);
    assert_eq!(daemon.due(ms(1_400)), None);
    assert_eq!(daemon.due_write(ms(1_600)).1, RolloutState::RolledBack);

    let mut daemon = Daemon::new(fleet_with(order), RolloutDecision::RollBack);
    daemon.rank = 2;
    assert_eq!(daemon.due(ms(0)), None);
    let written = rollout("v2", Some(RolloutState::RolledBack), 8);
    watch(&mut daemon.fleet, &[Change::Rollout(written)]);
    assert_eq!(daemon.due(ms(1_600)), None);
}

/// Guards against a second write after a lost answer to a write that was executed.
#[test]
fn the_object_is_read_after_a_lost_answer() {
    let mut daemon = Daemon::new(
        fleet_with(rollout("v2", None, 7)),
        RolloutDecision::Complete,
    );
    let (step, ..) = daemon.due_write(ms(0));
    daemon.answer(&step, &unknown(), ms(1_000));
    let step = daemon.due(ms(1_200)).expect("a read");
    assert_eq!(step.call, RolloutCall::Read(SERVICE.into()));
    let written = rollout("v2", Some(RolloutState::Completed), 8);
    daemon.answer(&step, &held(written), ms(1_300));
    assert_eq!(daemon.due(ms(30_000)), None);
}

/// Guards against a status that is never written because an answer was lost.
#[test]
fn a_write_that_was_not_executed_is_repeated() {
    let order = rollout("v2", None, 7);
    let mut daemon = Daemon::new(fleet_with(order.clone()), RolloutDecision::Complete);
    let (step, ..) = daemon.due_write(ms(0));
    daemon.answer(&step, &unknown(), ms(1_000));
    let step = daemon.due(ms(1_200)).expect("a read");
    daemon.answer(&step, &held(order), ms(1_300));
    assert_eq!(daemon.due_write(ms(1_700)).2, 7);
}

/// Guards against a store that executes writes but answers nothing, and against short timeouts
/// at one that is slow.
#[test]
fn without_any_answer_reads_and_writes_alternate_with_longer_waits() {
    let mut daemon = Daemon::new(
        fleet_with(rollout("v2", None, 7)),
        RolloutDecision::Complete,
    );
    let mut now = ms(0);
    let mut calls = Vec::new();
    while now < ms(30_000) {
        if let Some(step) = daemon.due(now) {
            now += step.timeout;
            daemon.answer(&step, &unknown(), now);
            calls.push((matches!(step.call, RolloutCall::Write(_)), step.timeout));
        }
        now += ms(100);
    }
    assert!(calls.len() >= 5, "{calls:?}");
    assert!(
        calls
            .iter()
            .enumerate()
            .all(|(i, (is_write, _))| *is_write == (i % 2 == 0))
    );
    assert!(calls.is_sorted_by_key(|(_, timeout)| *timeout));
    assert_eq!(calls.last().expect("a call").1, ms(4_000));
}

/// Guards against a store that is called without pause while it refuses.
#[test]
fn refused_writes_are_repeated_with_growing_pauses() {
    let mut daemon = Daemon::new(
        fleet_with(rollout("v2", None, 7)),
        RolloutDecision::RollBack,
    );
    let mut writes = Vec::new();
    for now in (0..20_000).step_by(50).map(ms) {
        if let Some(step) = daemon.due(now) {
            assert!(matches!(step.call, RolloutCall::Write(_)));
            daemon.answer(&step, &RolloutAnswer::NotDone("503".into()), now);
            writes.push(now);
        }
    }
    let pauses: Vec<_> = writes
        .windows(2)
        .map(|w| w[1].saturating_sub(w[0]))
        .collect();
    assert!(pauses.is_sorted() && pauses[0] <= ms(150), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&ms(2_000)));
}

/// Guards against a writer that stood still and then overwrites what another daemon wrote.
#[test]
fn after_a_conflict_a_final_status_stays() {
    let mut daemon = Daemon::new(
        fleet_with(rollout("v2", None, 7)),
        RolloutDecision::Complete,
    );
    let (step, ..) = daemon.due_write(ms(60_000));
    let written = rollout("v2", Some(RolloutState::RolledBack), 9);
    daemon.answer(&step, &held(written), ms(60_100));
    assert_eq!(daemon.due(ms(70_000)), None);
}

/// Guards against a final status that is given up because `running` was written meanwhile.
#[test]
fn after_a_conflict_with_the_same_order_the_write_is_repeated() {
    let mut daemon = Daemon::new(
        fleet_with(rollout("v2", None, 7)),
        RolloutDecision::RollBack,
    );
    let (step, ..) = daemon.due_write(ms(0));
    let running = rollout("v2", Some(RolloutState::Running), 8);
    daemon.answer(&step, &held(running), ms(10));
    let (_, state, based_on) = daemon.due_write(ms(200));
    assert_eq!((state, based_on), (RolloutState::RolledBack, 8));
}

/// Guards against the outcome of one order that is written to another.
#[test]
fn an_order_that_changed_in_the_store_gets_no_status_of_the_earlier_one() {
    let mut daemon = Daemon::new(
        fleet_with(rollout("v2", None, 7)),
        RolloutDecision::Complete,
    );
    let (step, ..) = daemon.due_write(ms(0));
    let changed = rollout("v3", None, 9);
    daemon.answer(&step, &held(changed.clone()), ms(10));
    // The daemon has not learnt of the change by its watch.
    for now in (0..10_000).step_by(100).map(ms) {
        if let Some(step) = daemon.due(now) {
            assert_eq!(step.call, RolloutCall::Read(SERVICE.into()));
            daemon.answer(&step, &held(changed.clone()), now);
        }
    }
    watch(&mut daemon.fleet, &[Change::Rollout(changed)]);
    daemon.decision = Some(RUNNING);
    let step = daemon.due(ms(10_000)).expect("a call");
    let RolloutCall::Write(write) = step.call else {
        panic!("expected a write: {step:?}");
    };
    assert_eq!((&*write.version, write.revision), ("v3", 9));
}

/// Guards against writes to an order that is gone.
#[test]
fn an_order_that_vanished_gets_no_status() {
    let mut daemon = Daemon::new(
        fleet_with(rollout("v2", None, 7)),
        RolloutDecision::Complete,
    );
    let (step, ..) = daemon.due_write(ms(0));
    let gone = RolloutAnswer::Held(Change::RolloutGone(SERVICE.into()));
    daemon.answer(&step, &gone, ms(10));
    let step = daemon.due(ms(300)).expect("a read");
    assert_eq!(step.call, RolloutCall::Read(SERVICE.into()));
    watch(&mut daemon.fleet, &[Change::RolloutGone(SERVICE.into())]);
    assert!(daemon.fleet.rollouts.is_empty());
    assert_eq!(daemon.due(ms(400)), None);
    daemon.answer(&step, &gone, ms(500));
    assert_eq!(daemon.due(ms(10_000)), None);
}

/// Guards against a rollback that waits for the answer to an earlier write, which may come
/// seconds later.
#[test]
fn another_decision_does_not_wait_for_the_call_in_progress() {
    let mut daemon = Daemon::new(fleet_with(rollout("v2", None, 7)), RUNNING);
    let (first, ..) = daemon.due_write(ms(0));
    daemon.decision = Some(RolloutDecision::RollBack);
    let read = daemon.due(ms(100)).expect("a read");
    assert_eq!(read.call, RolloutCall::Read(SERVICE.into()));
    // The answer to the earlier write says nothing of the present one.
    daemon.answer(&first, &RolloutAnswer::Written, ms(150));
    let running = rollout("v2", Some(RolloutState::Running), 8);
    daemon.answer(&read, &held(running), ms(200));
    let (_, state, based_on) = daemon.due_write(ms(400));
    assert_eq!((state, based_on), (RolloutState::RolledBack, 8));
}

/// Guards against a final status that is lost with a restored store, so that the platform goes
/// on as if the rollout were running.
#[test]
fn a_final_status_that_a_restored_store_lacks_stays_in_force_and_is_written_again() {
    for state in [RolloutState::Completed, RolloutState::RolledBack] {
        let mut fleet = fleet_with(rollout("v2", Some(state), revision(0, 20)));
        let stored = rollout("v2", Some(RolloutState::Running), revision(1, 15));
        list_in_new_era(&mut fleet, &[Change::Rollout(stored.clone())]);
        assert_eq!(fleet.rollouts[SERVICE].state(), Some(state));
        // Whatever the decision is by now, for want of evidence.
        let mut daemon = Daemon::new(fleet, RUNNING);
        let (_, written, based_on) = daemon.due_write(ms(0));
        assert_eq!((written, based_on), (state, stored.revision));
        let again = rollout("v2", Some(state), revision(1, 16));
        watch(&mut daemon.fleet, &[Change::Rollout(again)]);
        assert!(daemon.fleet.lost_rollouts.is_empty());
        assert_eq!(daemon.due(ms(1_000)), None);
    }
}

/// Guards against a daemon that takes an order which a restored store lacks for withdrawn, and
/// sends requests to a version that was rolled back, or to targets that were stopped.
#[test]
fn a_rollout_that_is_over_survives_the_loss_of_its_order() {
    let state = RolloutState::RolledBack;
    let mut fleet = fleet_with(rollout("v2", Some(state), revision(0, 20)));
    list_in_new_era(&mut fleet, &[]);
    assert_eq!(fleet.rollouts[SERVICE].state(), Some(state));
    let mut daemon = Daemon::new(fleet, RUNNING);
    assert_eq!(daemon.due(ms(0)), None);
    // An order that the operator writes afterwards counts, whatever its revision.
    let order = rollout("v3", None, revision(1, 12));
    watch(&mut daemon.fleet, &[Change::Rollout(order.clone())]);
    assert_eq!(daemon.fleet.rollouts[SERVICE], order);

    // An order from before the lost one does not.
    let known = rollout("v2", Some(RolloutState::Completed), revision(0, 20));
    let mut fleet = fleet_with(known.clone());
    let lost_before = rollout("v1", Some(RolloutState::Completed), revision(1, 9));
    list_in_new_era(&mut fleet, &[Change::Rollout(lost_before.clone())]);
    assert_eq!(fleet.rollouts[SERVICE], known);
    let mut daemon = Daemon::new(fleet, RUNNING);
    assert_eq!(daemon.due(ms(0)), None);
    // Another list of the same era says nothing new.
    let feed = FeedState::default();
    let listed = [Change::Rollout(lost_before)];
    daemon.fleet.replace(Topic::Rollouts, &listed, &feed, ms(9));
    assert_eq!(daemon.fleet.rollouts[SERVICE], known);
}

/// Guards against an order that runs on although the operator has lost or removed it.
#[test]
fn a_running_rollout_ends_with_its_order() {
    let running = || fleet_with(rollout("v2", Some(RolloutState::Running), revision(0, 20)));
    let mut fleet = running();
    list_in_new_era(&mut fleet, &[]);
    assert!(fleet.rollouts.is_empty());
    let mut fleet = running();
    fleet.replace(Topic::Rollouts, &[], &FeedState::default(), ms(9));
    assert!(fleet.rollouts.is_empty());
    // A removal by the operator ends one that is over as well.
    let mut fleet = fleet_with(rollout("v2", Some(RolloutState::Completed), 20));
    fleet.replace(Topic::Rollouts, &[], &FeedState::default(), ms(9));
    assert!(fleet.rollouts.is_empty());
}

/// Guards against an order that is followed although its entry can no longer be decoded, and
/// against forgetting that a version was rolled back.
#[test]
fn an_entry_that_cannot_be_decoded_ends_a_rollout_unless_it_is_over() {
    let unreadable = Change::Unreadable {
        name: SERVICE.into(),
        reason: "no target".into(),
    };
    for (state, is_kept) in [
        (RolloutState::Running, false),
        (RolloutState::Completed, true),
        (RolloutState::RolledBack, true),
    ] {
        let mut fleet = fleet_with(rollout("v2", Some(state), 7));
        watch(&mut fleet, std::slice::from_ref(&unreadable));
        assert_eq!(fleet.rollouts.contains_key(SERVICE), is_kept, "{state}");
        let listed = [unreadable.clone()];
        fleet.replace(Topic::Rollouts, &listed, &FeedState::default(), ms(9));
        assert_eq!(fleet.rollouts.contains_key(SERVICE), is_kept, "{state}");
    }
}

/// Guards against a watch that repeats an older state of an order after a list.
#[test]
fn an_older_change_of_the_same_era_does_not_replace_a_newer_one() {
    let newer = rollout("v2", Some(RolloutState::Completed), 9);
    let mut fleet = fleet_with(newer.clone());
    watch(&mut fleet, &[Change::Rollout(rollout("v2", None, 7))]);
    assert_eq!(fleet.rollouts[SERVICE], newer);
}

/// What happens to a call in the replay.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Refused,
    AnswerLost,
    /// Executed after this many steps; the answer is lost.
    Late(u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::None),
        Just(Fault::Refused),
        Just(Fault::AnswerLost),
        (1_u8..60).prop_map(Fault::Late),
    ]
}

/// The store's object, its revision, and writes that are still to be executed.
struct StoreModel {
    held: Rollout,
    late: Vec<(u64, RolloutCall)>,
    finals: Vec<RolloutState>,
}

impl StoreModel {
    fn execute(&mut self, call: &RolloutCall) -> RolloutAnswer {
        match call {
            RolloutCall::Write(write) if write.revision == self.held.revision => {
                let status = Some((write.state, write.version.clone()));
                if self.held.status != status {
                    self.held.status = status;
                    self.held.revision += 1;
                    self.finals
                        .extend(Some(write.state).filter(|s| s.is_final()));
                }
                RolloutAnswer::Written
            }
            _ => held(self.held.clone()),
        }
    }
}

proptest! {
    /// Guards against two final statuses for one order, or none, whatever calls are refused,
    /// lost or executed late while three daemons, which disagree at times, write; one stands
    /// still for a while.
    #[test]
    fn one_final_status_is_written_and_stays(
        faults in prop::collection::vec(fault(), 0..40),
        frozen in 0_usize..3,
        frozen_for in 0_u64..150,
        disagrees in any::<bool>(),
    ) {
        let order = rollout("v2", None, 7);
        let mut store = StoreModel { held: order.clone(), late: vec![], finals: vec![] };
        let mut daemons: Vec<Daemon> = (0..3)
            .map(|rank| Daemon { rank, ..Daemon::new(fleet_with(order.clone()), RUNNING) })
            .collect();
        let mut faults = faults.into_iter();
        let mut answers: Vec<(u64, usize, StatusStep, RolloutAnswer)> = vec![];
        for tick in 0_u64..400 {
            let now = ms(100 * tick);
            let (due, later) = store.late.drain(..).partition::<Vec<_>, _>(|(at, _)| *at <= tick);
            store.late = later;
            for (_, call) in due {
                store.execute(&call);
            }
            for (i, daemon) in daemons.iter_mut().enumerate() {
                if i == frozen && (5..5 + frozen_for).contains(&tick) {
                    continue;
                }
                if tick > 20 {
                    let is_other = disagrees && i == 1;
                    daemon.decision = Some(if is_other {
                        RolloutDecision::Complete
                    } else {
                        RolloutDecision::RollBack
                    });
                }
                // The watch is half a second late.
                if tick % 5 == 0 {
                    watch(&mut daemon.fleet, &[Change::Rollout(store.held.clone())]);
                }
                let (due, later) = answers
                    .drain(..)
                    .partition::<Vec<_>, _>(|(at, to, ..)| *at <= tick && *to == i);
                answers = later;
                for (_, _, step, answer) in due {
                    daemon.answer(&step, &answer, now);
                }
                let Some(step) = daemon.due(now) else { continue };
                let timed_out = tick + u64::try_from(step.timeout.as_millis()).unwrap() / 100;
                let (at, answer) = match faults.next().unwrap_or(Fault::None) {
                    Fault::None => (tick + 1, store.execute(&step.call)),
                    Fault::Refused => (tick + 1, RolloutAnswer::NotDone("503".into())),
                    Fault::AnswerLost => {
                        store.execute(&step.call);
                        (timed_out, unknown())
                    }
                    Fault::Late(ticks) => {
                        store.late.push((tick + u64::from(ticks), step.call.clone()));
                        (timed_out, unknown())
                    }
                };
                answers.push((at, i, step, answer));
            }
        }
        prop_assert_eq!(store.finals.len(), 1, "{:?}", store.finals);
        prop_assert!(store.held.is_over());
        if !disagrees {
            prop_assert_eq!(store.held.state(), Some(RolloutState::RolledBack));
        }
        for daemon in &mut daemons {
            watch(&mut daemon.fleet, &[Change::Rollout(store.held.clone())]);
            prop_assert_eq!(daemon.due(ms(60_000)), None);
        }
    }
}
