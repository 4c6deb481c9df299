//! Property tests of the ledger's state machine: under any order of writes,
//! delays and lost responses, at most one claimant runs a key.

use bluebelldrift::{
    Object, PutResult, Ran, Revision, WriteCondition,
    ledger::{LedgerEntry, Outcome, State, Step},
};
use proptest::prelude::*;
use serde_json::Value;

/// A model of the platform with a single key, which behaves as its API promises.
#[derive(Default)]
struct Store {
    revision: Revision,
    stored: Option<Object>,
}

impl Store {
    fn put(&mut self, entry: &LedgerEntry, condition: WriteCondition) -> PutResult {
        let expected = match condition {
            WriteCondition::Absent => 0,
            WriteCondition::AtRevision(revision) => revision,
        };
        if self.stored.as_ref().map_or(0, |o| o.revision) != expected {
            return PutResult::Conflict(self.stored.clone());
        }
        self.revision += 1;
        self.stored = Some(Object {
            key: "ledger/k".into(),
            revision: self.revision,
            value: serde_json::to_value(entry).ok(),
        });
        PutResult::Written(self.revision)
    }
}

/// The phase of a claimant.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Claiming(WriteCondition),
    /// The claim may be stored, but the claimant gave up.
    Releasing(WriteCondition),
    Dispatching(Revision),
    /// The claimant writes the state that ends its claim.
    Ending(State, WriteCondition),
    Done,
}

/// A claimant and its writes that are still in transit to the platform.
struct Claimant {
    entry: LedgerEntry,
    phase: Phase,
    delayed: Vec<(LedgerEntry, WriteCondition)>,
    reported_not_run: bool,
}

impl Claimant {
    fn new(id: usize) -> Self {
        Self {
            entry: LedgerEntry::claimed("payload", format!("claimant-{id}")),
            phase: Phase::Claiming(WriteCondition::Absent),
            delayed: Vec::new(),
            reported_not_run: false,
        }
    }

    /// Takes one step; returns whether it dispatched the request.
    fn step(&mut self, store: &mut Store, delivery: Delivery) -> bool {
        let (entry, condition) = match &self.phase {
            Phase::Claiming(condition) => (self.entry.clone(), *condition),
            Phase::Releasing(condition) => (self.entry.with_state(State::Released), *condition),
            Phase::Ending(state, condition) => (self.entry.with_state(state.clone()), *condition),
            Phase::Dispatching(revision) => {
                // `Lost` means here that the target declined the request.
                let is_declined = delivery == Delivery::Lost;
                let state = if is_declined {
                    State::Released
                } else {
                    settled()
                };
                self.reported_not_run = is_declined;
                self.phase = Phase::Ending(state, WriteCondition::AtRevision(*revision));
                return !is_declined;
            }
            Phase::Done => return false,
        };
        match delivery {
            Delivery::Delayed => self.delayed.push((entry, condition)),
            Delivery::Lost => drop(store.put(&entry, condition)),
            Delivery::Abandoned if matches!(self.phase, Phase::Claiming(_)) => {
                self.delayed.push((entry, condition));
                self.reported_not_run = true;
                self.phase = Phase::Releasing(condition);
            }
            Delivery::Answered | Delivery::Abandoned => self.handle(&store.put(&entry, condition)),
        }
        false
    }

    fn handle(&mut self, result: &PutResult) {
        self.phase = match &self.phase {
            Phase::Claiming(_) => match self.entry.after_claim(result) {
                Step::Write(condition) => Phase::Claiming(condition),
                Step::Run(revision) => Phase::Dispatching(revision),
                // A repeat claims again.
                Step::Wait(..) => Phase::Claiming(WriteCondition::Absent),
                _ => Phase::Done,
            },
            Phase::Releasing(_) => self
                .entry
                .end_retry_condition(result)
                .map_or(Phase::Done, Phase::Releasing),
            Phase::Ending(state, _) => {
                let next = self.entry.end_retry_condition(result);
                next.map_or(Phase::Done, |c| Phase::Ending(state.clone(), c))
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

/// What happens to one write and its response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    /// The platform receives the write, and its response arrives.
    Answered,
    /// The write takes effect, but the response is lost.
    Lost,
    /// The write is still in transit; the claimant tries again.
    Delayed,
    /// The write is still in transit, and the claimant refuses its request as
    /// not run.
    Abandoned,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Answered),
        1 => Just(Delivery::Lost),
        1 => Just(Delivery::Delayed),
        1 => Just(Delivery::Abandoned),
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
        turns in prop::collection::vec((0usize..4, any::<bool>(), delivery()), 1..80),
    ) {
        let mut store = Store::default();
        let mut claimants: Vec<_> = (0..4).map(Claimant::new).collect();
        let mut runs = 0;
        for (index, deliver_delayed, delivery) in turns {
            let claimant = &mut claimants[index];
            if deliver_delayed && !claimant.delayed.is_empty() {
                let (entry, condition) = claimant.delayed.remove(0);
                store.put(&entry, condition);
            } else if claimant.step(&mut store, delivery) {
                runs += 1;
                prop_assert!(!claimant.reported_not_run, "the request was reported as not run, but was dispatched");
            }
            prop_assert!(runs <= 1);
        }
        // All delayed writes arrive, all active claimants run to completion, and
        // a new claimant finds the key settled or may run it.
        for claimant in &mut claimants {
            for (entry, condition) in std::mem::take(&mut claimant.delayed) {
                store.put(&entry, condition);
            }
        }
        claimants.push(Claimant::new(4));
        for _ in 0..100 {
            for claimant in &mut claimants {
                runs += usize::from(claimant.step(&mut store, Delivery::Answered));
            }
        }
        prop_assert_eq!(runs, 1);
        prop_assert!(claimants.iter().all(|c| c.phase == Phase::Done));
    }

    #[test]
    fn any_response_survives_storage(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let outcome = Outcome { status: 201, media: "a/b".into(), body };
        let entry = LedgerEntry::claimed("p", "c").with_state(outcome.into());
        let value: Value = serde_json::to_value(&entry).expect("the entry is encoded as JSON");
        prop_assert_eq!(serde_json::from_value::<LedgerEntry>(value).expect("the entry is decoded from JSON"), entry);
    }
}

#[test]
fn a_response_too_large_for_an_object_is_reported_as_ran() {
    let outcome = Outcome {
        status: 201,
        media: "a/b".into(),
        body: vec![0; 800 * 1024],
    };
    assert_eq!(State::from(outcome), State::Unanswered { ran: Ran::Ran });
}
