//! Replication of records: in whatever order changes, listings and pages
//! arrive, revisions in effect never decrease, and all daemons converge to the
//! platform's records.

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

/// Complete change history of the platform, so that a test can list the records
/// as of any revision.
#[derive(Clone, Debug, Default)]
struct History(Vec<Object>);

impl History {
    /// Creates a history from `changes`, numbered from revision 1. Each writes
    /// one of four records, or withdraws it if its flag is set; the test sets it
    /// for about every third change.
    fn new(changes: &[(u8, bool)]) -> Self {
        let numbered = changes.iter().zip(1..);
        let objects = numbered.map(|((name, is_withdrawn), revision)| {
            let name = format!("z{}", name % 4);
            let value = (!is_withdrawn).then(|| zone(&name, &format!("r{revision}")));
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

fn live_revisions(records: &RecordSet) -> BTreeMap<String, u64> {
    let live = records.records.iter().filter(|(_, s)| s.document.is_some());
    live.map(|(k, s)| (k.to_string(), s.revision)).collect()
}

fn listed_revisions(listing: &Listing) -> BTreeMap<String, u64> {
    let objects = listing.objects.iter();
    objects.map(|o| (o.key.to_string(), o.revision)).collect()
}

/// An event at one of three daemons.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A change written through the daemon, in any order of revisions.
    Written(usize),
    /// A listing as of a possibly stale revision.
    List(usize),
    /// The next change from the daemon's watch.
    Watch,
    /// A page requested from another daemon and received at once.
    Page(usize),
    /// An earlier page, delivered again late and possibly to another daemon.
    LatePage,
    /// A restart of the daemon with no records.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..12_usize).prop_map(Event::Written),
        2 => (0..13_usize).prop_map(Event::List),
        4 => Just(Event::Watch),
        4 => (0..3_usize).prop_map(Event::Page),
        2 => Just(Event::LatePage),
        1 => Just(Event::Restart),
    ]
}

/// Checks that a daemon that reports its records complete up to a revision has
/// every change up to it, and that no withdrawn record is live again.
fn check_complete(history: &History, replica: &RecordReplica) -> Result<(), TestCaseError> {
    let records = replica.records();
    if !replica.has_full_set() {
        return Ok(());
    }
    for (key, revision) in
        listed_revisions(&history.listing(usize::try_from(records.revision).unwrap()))
    {
        let key: RecordKey = key.parse().unwrap();
        let stored = records.records.get(&key).map_or(0, |s| s.revision);
        prop_assert!(
            stored >= revision,
            "{key} is at revision {stored}, but the daemon reports every change up to {}",
            records.revision
        );
    }
    let newest = history.listing(history.0.len());
    for (key, revision) in live_revisions(records) {
        let is_newest = listed_revisions(&newest).get(&key) == Some(&revision);
        let withdrawn = history.0[..usize::try_from(records.revision).unwrap()]
            .iter()
            .any(|o| *o.key == *key && o.revision > revision);
        prop_assert!(
            is_newest || !withdrawn,
            "{key}@{revision} is live after its withdrawal"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn revisions_are_monotonic_and_daemons_converge_in_any_event_order(
        changes in prop::collection::vec((any::<u8>(), prop::bool::weighted(0.3)), 12),
        events in prop::collection::vec((0..3_usize, event()), 1..60),
    ) {
        let history = History::new(&changes);
        let mut daemons: Vec<RecordReplica> = (0..3).map(|_| RecordReplica::default()).collect();
        let mut earlier_pages = Vec::new();
        for (i, event) in events {
            let before = daemons[i].records().clone();
            match event {
                Event::Written(change) => daemons[i].on_written(&history.0[change]),
                Event::List(revision) => daemons[i].on_listing(&history.listing(revision)),
                Event::Watch if daemons[i].has_full_set() => {
                    let next = usize::try_from(before.revision).unwrap();
                    if let Some(object) = history.0.get(next) {
                        daemons[i].on_watched(object);
                    }
                }
                Event::Watch => {}
                Event::Page(from) => {
                    let page = daemons[from].page_after(before.revision);
                    daemons[i].on_page(&page);
                    earlier_pages.push(page);
                }
                Event::LatePage => if let Some(page) = earlier_pages.pop() { daemons[i].on_page(&page) },
                Event::Restart => { daemons[i] = RecordReplica::default(); continue; }
            }
            let after = daemons[i].records();
            prop_assert!(after.revision >= before.revision);
            for (key, stored) in &before.records {
                prop_assert!(after.records[key].revision >= stored.revision, "revision of {key} decreased");
                prop_assert!(after.records[key].in_force_revision >= stored.in_force_revision);
            }
            check_complete(&history, &daemons[i])?;
        }
        let newest = history.listing(history.0.len());
        daemons[0].on_listing(&newest);
        for i in 1..3 {
            let page = daemons[0].page_after(daemons[i].revision());
            daemons[i].on_page(&page);
        }
        for daemon in &daemons {
            prop_assert_eq!(live_revisions(daemon.records()), listed_revisions(&newest));
            prop_assert_eq!(daemon.hash(), daemons[0].hash());
        }
    }
}

#[test]
fn a_local_write_does_not_hide_earlier_changes() {
    let mut replica = RecordReplica::default();
    replica.on_listing(&Listing::default());
    replica.on_written(&object(2, "b", Some(zone("b", "r"))));
    assert_eq!(replica.revision(), 0, "change 1 is still missing");
    assert!(
        replica.snapshot().zones.contains_key("b"),
        "a local write takes effect immediately"
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
fn the_last_valid_version_stays_in_effect_and_replicates_to_a_new_daemon() {
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
    assert_ne!(
        old.hash(),
        new.hash(),
        "a differing hash makes the new daemon request the records"
    );
    new.on_page(&old.page_after(0));
    assert_eq!(&*new.snapshot().zones["a"].region, "r");
    assert_eq!(old.hash(), new.hash());
}
