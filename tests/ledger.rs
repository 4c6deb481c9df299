//! The ledger's state machine under every order of writes, delays and lost
//! answers: at most one claimant ever runs a key.

use bluebelldrift::{
    Condition, Object, Put, Ran, Revision,
    ledger::{LedgerEntry, Outcome, State, Step},
};
use proptest::prelude::*;
use serde_json::Value;

/// A platform that holds one key, as its API promises.
#[derive(Default)]
struct Store {
    revision: Revision,
    held: Option<Object>,
}

impl Store {
    fn put(&mut self, entry: &LedgerEntry, condition: Condition) -> Put {
        let expected = match condition {
            Condition::Absent => 0,
            Condition::At(revision) => revision,
        };
        if self.held.as_ref().map_or(0, |o| o.revision) != expected {
            return Put::Conflict(self.held.clone());
        }
        self.revision += 1;
        self.held = Some(Object {
            key: "ledger/k".into(),
            revision: self.revision,
            value: serde_json::to_value(entry).ok(),
        });
        Put::Written(self.revision)
    }
}

/// Where a claimant is.
#[derive(Clone, Debug, PartialEq)]
enum At {
    Claiming(Condition),
    /// The claim may stand, but the claimant gave up.
    Releasing(Condition),
    Dispatching(Revision),
    Ended(State, Condition),
    Done,
}

/// A claimant, with writes that are still on their way to the platform.
struct Claimant {
    entry: LedgerEntry,
    at: At,
    late: Vec<(LedgerEntry, Condition)>,
    was_told_not_run: bool,
}

impl Claimant {
    fn new(id: usize) -> Self {
        Self {
            entry: LedgerEntry::claimed("payload", format!("claimant-{id}")),
            at: At::Claiming(Condition::Absent),
            late: Vec::new(),
            was_told_not_run: false,
        }
    }

    /// One step; returns whether it dispatched.
    fn step(&mut self, store: &mut Store, fate: Fate) -> bool {
        let (entry, condition) = match &self.at {
            At::Claiming(condition) => (self.entry.clone(), *condition),
            At::Releasing(condition) => (self.entry.with_state(State::Released), *condition),
            At::Ended(state, condition) => (self.entry.with_state(state.clone()), *condition),
            At::Dispatching(revision) => {
                let declined = fate == Fate::Lost;
                let state = if declined { State::Released } else { settled() };
                self.was_told_not_run = declined;
                self.at = At::Ended(state, Condition::At(*revision));
                return !declined;
            }
            At::Done => return false,
        };
        match fate {
            Fate::Late => self.late.push((entry, condition)),
            Fate::Lost => drop(store.put(&entry, condition)),
            Fate::GivesUp if matches!(self.at, At::Claiming(_)) => {
                self.late.push((entry, condition));
                self.was_told_not_run = true;
                self.at = At::Releasing(condition);
            }
            Fate::Answered | Fate::GivesUp => self.answered(&store.put(&entry, condition)),
        }
        false
    }

    fn answered(&mut self, put: &Put) {
        self.at = match &self.at {
            At::Claiming(_) => match self.entry.after_claim(put) {
                Step::Write(condition) => At::Claiming(condition),
                Step::Run(revision) => At::Dispatching(revision),
                // A repeat asks again.
                Step::Wait(..) => At::Claiming(Condition::Absent),
                _ => At::Done,
            },
            At::Releasing(_) => self
                .entry
                .end_retry_condition(put)
                .map_or(At::Done, At::Releasing),
            At::Ended(state, _) => {
                let next = self.entry.end_retry_condition(put);
                next.map_or(At::Done, |c| At::Ended(state.clone(), c))
            }
            other => other.clone(),
        };
    }
}

fn settled() -> State {
    Outcome {
        status: 201,
        media: "application/octet-stream".into(),
        body: vec![0, 159, 146, 150],
    }
    .into()
}

/// What becomes of one write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    /// It takes effect, the answer is lost.
    Lost,
    /// It is still on its way; the claimant tries again.
    Late,
    /// As late, and the claimant refuses its request as not run.
    GivesUp,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Late),
        1 => Just(Fate::GivesUp),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x1ed6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_claimant_runs_and_the_key_is_never_stuck(
        turns in prop::collection::vec((0usize..4, any::<bool>(), fate()), 1..80),
    ) {
        let mut store = Store::default();
        let mut claimants: Vec<_> = (0..4).map(Claimant::new).collect();
        let mut runs = 0;
        for (who, is_late, fate) in turns {
            let claimant = &mut claimants[who];
            if is_late && !claimant.late.is_empty() {
                let (entry, condition) = claimant.late.remove(0);
                store.put(&entry, condition);
            } else if claimant.step(&mut store, fate) {
                runs += 1;
                prop_assert!(!claimant.was_told_not_run, "not-run, but it dispatched");
            }
            prop_assert!(runs <= 1);
        }
        // All late writes land, all live claimants go on to their end, and a
        // fresh claimant finds the key settled or may run it.
        for claimant in &mut claimants {
            for (entry, condition) in std::mem::take(&mut claimant.late) {
                store.put(&entry, condition);
            }
        }
        claimants.push(Claimant::new(4));
        for _ in 0..100 {
            for claimant in &mut claimants {
                runs += usize::from(claimant.step(&mut store, Fate::Answered));
            }
        }
        prop_assert_eq!(runs, 1);
        prop_assert!(claimants.iter().all(|c| c.at == At::Done));
    }

    #[test]
    fn any_answer_survives_storage(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let outcome = Outcome { status: 201, media: "a/b".into(), body };
        let entry = LedgerEntry::claimed("p", "c").with_state(outcome.into());
        let value: Value = serde_json::to_value(&entry).expect("it is JSON");
        prop_assert_eq!(serde_json::from_value::<LedgerEntry>(value).expect("it reads back"), entry);
    }
}

#[test]
fn an_answer_too_large_for_an_object_is_told_as_run() {
    let outcome = Outcome {
        status: 201,
        media: "a/b".into(),
        body: vec![0; 800 * 1024],
    };
    assert_eq!(State::from(outcome), State::Unanswered { ran: Ran::Ran });
}
