//! Records: their revision in force never falls and ends equal to the store's,
//! in whatever order changes, listings and pages arrive.

use std::collections::BTreeMap;

use bluebelldrift::{
    Listing, Object, RecordReplica,
    records::{RecordKey, RecordSet},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};
use serde_json::{Value, json};

/// Seed of all property tests.
const SEED: u64 = 0x5eed;

fn config() -> Config {
    Config {
        cases: 300,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn zone(name: &str, region: &str) -> Value {
    json!({"schema": "bluebelldrift/v1", "kind": "AvailabilityZone", "name": name,
           "spec": {"region": region}})
}

fn object(revision: u64, name: &str, value: Option<Value>) -> Object {
    let key = format!("records/AvailabilityZone/{name}").into();
    Object {
        key,
        revision,
        value,
    }
}

/// The platform's whole history, so that it can be read as of any revision.
#[derive(Clone, Debug, Default)]
struct Store(Vec<Object>);

impl Store {
    /// Change `i` touches one of four records; every third is a withdrawal.
    fn new(changes: &[(u8, bool)]) -> Self {
        let numbered = changes.iter().zip(1..);
        let objects = numbered.map(|((name, is_gone), revision)| {
            let name = format!("z{}", name % 4);
            let value = (!is_gone).then(|| zone(&name, &format!("r{revision}")));
            object(revision, &name, value)
        });
        Self(objects.collect())
    }

    fn listing(&self, revision: usize) -> Listing {
        let mut live = BTreeMap::new();
        for object in &self.0[..revision] {
            live.insert(object.key.clone(), object.clone());
        }
        Listing {
            revision: revision as u64,
            objects: live.into_values().filter(|o| o.value.is_some()).collect(),
        }
    }
}

fn live(records: &RecordSet) -> BTreeMap<String, u64> {
    let held = records.records.iter().filter(|(_, h)| h.document.is_some());
    held.map(|(k, h)| (k.to_string(), h.revision)).collect()
}

fn listed(listing: &Listing) -> BTreeMap<String, u64> {
    let objects = listing.objects.iter();
    objects.map(|o| (o.key.to_string(), o.revision)).collect()
}

/// What one of three daemons meets.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A change written through it, in no order.
    Written(usize),
    /// A listing, perhaps stale.
    List(usize),
    /// The next change that its watch brings.
    Watch,
    /// A page of another daemon, asked for now.
    Page(usize),
    /// A page asked for earlier, sent again.
    LatePage,
    /// It starts anew with nothing.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..12_usize).prop_map(Step::Written),
        2 => (0..13_usize).prop_map(Step::List),
        4 => Just(Step::Watch),
        4 => (0..3_usize).prop_map(Step::Page),
        2 => Just(Step::LatePage),
        1 => Just(Step::Restart),
    ]
}

/// Checks that a daemon which says "complete up to R" lacks nothing up to R.
fn check_complete(store: &Store, replica: &RecordReplica) -> Result<(), TestCaseError> {
    let records = replica.records();
    if !replica.has_full_set() {
        return Ok(());
    }
    for (key, revision) in listed(&store.listing(usize::try_from(records.revision).unwrap())) {
        let key: RecordKey = key.parse().unwrap();
        let held = records.records.get(&key).map_or(0, |h| h.revision);
        prop_assert!(
            held >= revision,
            "{key} at {held}, complete to {}",
            records.revision
        );
    }
    let newest = store.listing(store.0.len());
    for (key, revision) in live(records) {
        let is_newest = listed(&newest).get(&key) == Some(&revision);
        let withdrawn = store.0[..usize::try_from(records.revision).unwrap()]
            .iter()
            .any(|o| *o.key == *key && o.revision > revision);
        prop_assert!(is_newest || !withdrawn, "{key}@{revision} rose again");
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_order_is_monotone_and_ends_equal_to_the_store(
        changes in prop::collection::vec((any::<u8>(), prop::bool::weighted(0.3)), 12),
        steps in prop::collection::vec((0..3_usize, step()), 1..60),
    ) {
        let store = Store::new(&changes);
        let mut daemons: Vec<RecordReplica> = (0..3).map(|_| RecordReplica::default()).collect();
        let mut late = Vec::new();
        for (i, step) in steps {
            let before = daemons[i].records().clone();
            match step {
                Step::Written(change) => daemons[i].on_written(&store.0[change]),
                Step::List(revision) => daemons[i].on_listing(&store.listing(revision)),
                Step::Watch if daemons[i].has_full_set() => {
                    let next = usize::try_from(before.revision).unwrap();
                    if let Some(object) = store.0.get(next) {
                        daemons[i].on_watched(object);
                    }
                }
                Step::Watch => {}
                Step::Page(from) => {
                    let page = daemons[from].page_after(before.revision);
                    daemons[i].on_page(&page);
                    late.push(page);
                }
                Step::LatePage => if let Some(page) = late.pop() { daemons[i].on_page(&page) },
                Step::Restart => { daemons[i] = RecordReplica::default(); continue; }
            }
            let after = daemons[i].records();
            prop_assert!(after.revision >= before.revision);
            for (key, held) in &before.records {
                prop_assert!(after.records[key].revision >= held.revision, "{key} went back");
                prop_assert!(after.records[key].in_force_revision >= held.in_force_revision);
            }
            check_complete(&store, &daemons[i])?;
        }
        let newest = store.listing(store.0.len());
        daemons[0].on_listing(&newest);
        for i in 1..3 {
            let page = daemons[0].page_after(daemons[i].revision());
            daemons[i].on_page(&page);
        }
        for daemon in &daemons {
            prop_assert_eq!(live(daemon.records()), listed(&newest));
            prop_assert_eq!(daemon.hash(), daemons[0].hash());
        }
    }
}

#[test]
fn an_own_write_does_not_hide_changes_before_it() {
    let mut replica = RecordReplica::default();
    replica.on_listing(&Listing::default());
    replica.on_written(&object(2, "b", Some(zone("b", "r"))));
    assert_eq!(replica.revision(), 0, "change 1 is still missing");
    assert!(
        replica.snapshot().zones.contains_key("b"),
        "in force at once"
    );
    replica.on_watched(&object(1, "a", Some(zone("a", "r"))));
    replica.on_watched(&object(2, "b", Some(zone("b", "r"))));
    assert_eq!(replica.revision(), 2);
}

#[test]
fn a_withdrawn_record_stays_withdrawn_after_a_stale_listing() {
    let mut replica = RecordReplica::default();
    replica.on_listing(&Listing {
        revision: 9,
        objects: Vec::new(),
    });
    replica.on_listing(&Listing {
        revision: 5,
        objects: vec![object(4, "a", Some(zone("a", "r")))],
    });
    assert!(replica.snapshot().zones.is_empty());
}

#[test]
fn the_last_valid_form_stays_in_force_and_reaches_a_new_daemon() {
    let mut old = RecordReplica::default();
    old.on_listing(&Listing::default());
    old.on_watched(&object(1, "a", Some(zone("a", "r"))));
    let mut unknown = zone("a", "elsewhere");
    unknown["schema"] = json!("bluebelldrift/v9");
    old.on_watched(&object(2, "a", Some(unknown.clone())));
    assert_eq!(&*old.snapshot().zones["a"].region, "r");
    let mut new = RecordReplica::default();
    new.on_listing(&Listing {
        revision: 2,
        objects: vec![object(2, "a", Some(unknown))],
    });
    assert!(new.snapshot().zones.is_empty());
    assert_ne!(old.hash(), new.hash(), "so that the new one asks");
    new.on_page(&old.page_after(0));
    assert_eq!(&*new.snapshot().zones["a"].region, "r");
    assert_eq!(old.hash(), new.hash());
}
