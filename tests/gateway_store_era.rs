//! Tests the order of what is learnt from a store that is restored from older copies, and
//! replays operators, restores and daemons that exchange configurations in any order.

use std::{sync::Arc, time::Duration};

use bluebelldrift::gateway::{
    Change, Config, ConfigStamp, FeedState, Fleet, Target, Topic, era_of, is_written_in_era,
    mark_written_in_era, revision_in_era, revision_in_store,
};
use proptest::prelude::*;

fn revision(era: u64, in_store: u64) -> u64 {
    revision_in_era(era, in_store).expect("a valid revision")
}

/// A configuration that was listed: it may have been written in an earlier era.
fn listed(era: u64, in_store: u64, version: u64) -> ConfigStamp {
    ConfigStamp {
        revision: revision(era, in_store),
        version,
    }
}

/// A configuration that a watch returned: it was written in its era.
fn watched(era: u64, in_store: u64, version: u64) -> ConfigStamp {
    let listed = listed(era, in_store, version);
    ConfigStamp {
        revision: mark_written_in_era(listed.revision),
        ..listed
    }
}

/// Guards against messages of daemons that know no eras getting another meaning.
#[test]
fn revisions_of_era_0_are_the_stores_own() {
    for in_store in [0, 1, 15, 1 << 40] {
        assert_eq!(revision(0, in_store), in_store);
        assert_eq!(mark_written_in_era(in_store), in_store);
        assert!(is_written_in_era(in_store));
    }
}

#[test]
fn numbers_that_do_not_fit_are_rejected() {
    assert_eq!(revision_in_era(0, 1 << 44), None);
    assert_eq!(revision_in_era(1 << 19, 0), None);
    assert!(revision_in_era((1 << 19) - 1, (1 << 44) - 1).is_some());
}

/// Guards against the rollback of a configuration, and of a revoked key, by a restored store.
#[test]
fn a_listed_configuration_with_an_older_version_does_not_replace_the_one_in_force() {
    let in_force = watched(0, 15, 5);
    assert!(!listed(1, 10, 4).replaces(in_force));
    assert!(!listed(1, 20, 4).replaces(in_force));
    assert!(in_force.replaces(listed(1, 10, 4)));
    assert!(!listed(2, 20, 4).replaces(watched(1, 3, 5)));
}

/// Guards against a daemon that ignores the operator for as long as revisions or versions are
/// below those that the store has lost.
#[test]
fn a_write_of_a_later_era_replaces_the_one_in_force() {
    let in_force = watched(0, 15, 5);
    assert!(watched(1, 11, 4).replaces(in_force));
    assert!(listed(1, 11, 6).replaces(in_force));
    assert!(watched(2, 1, 1).replaces(listed(1, 30, 9)));
    assert!(!in_force.replaces(watched(1, 11, 4)));
    // Within an era the operator may also go back to a lower version.
    assert!(watched(1, 12, 1).replaces(watched(1, 11, 4)));
    assert!(listed(1, 12, 1).replaces(watched(1, 11, 4)));
}

fn stamp() -> impl Strategy<Value = ConfigStamp> {
    (0_u64..4, 1_u64..6, 0_u64..4, any::<bool>()).prop_map(|(era, in_store, version, is_listed)| {
        if is_listed {
            listed(era, in_store, version)
        } else {
            watched(era, in_store, version)
        }
    })
}

proptest! {
    #[test]
    fn positions_are_ordered_by_era_first(
        a in (0_u64..1 << 19, 0_u64..1 << 44), b in (0_u64..1 << 19, 0_u64..1 << 44),
    ) {
        let (x, y) = (revision(a.0, a.1), revision(b.0, b.1));
        prop_assert_eq!(x.cmp(&y), a.cmp(&b));
        prop_assert_eq!((era_of(x), revision_in_store(x)), a);
        let marked = mark_written_in_era(x);
        prop_assert_eq!((era_of(marked), revision_in_store(marked)), a);
    }

    /// Guards against two daemons that hand configurations to each other for ever.
    #[test]
    fn of_two_configurations_at_most_one_replaces_the_other(a in stamp(), b in stamp()) {
        prop_assert!(!(a.replaces(b) && b.replaces(a)));
        prop_assert!(!a.replaces(a));
    }
}

const DAEMONS: usize = 5;

/// One step of a replay.
#[derive(Clone, Debug)]
enum Step {
    /// The operator writes its next version.
    Write,
    /// The store comes back from a copy that lacks the last writes, at most this many.
    Restore(usize),
    /// A daemon lists the configuration, as it does at its start and after a 410.
    List(usize),
    /// A daemon receives the next changes of its watch, if it may go on with it.
    Watch(usize),
    /// A daemon is handed the configuration of another one.
    Exchange(usize, usize),
    /// A daemon is replaced by one that knows nothing.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        Just(Step::Write),
        (1_usize..4).prop_map(Step::Restore),
        daemon().prop_map(Step::List),
        daemon().prop_map(Step::Watch),
        (daemon(), daemon()).prop_map(|(a, b)| Step::Exchange(a, b)),
        daemon().prop_map(Step::Restart),
    ]
}

/// A store whose revisions are the numbers of its writes.
#[derive(Default)]
struct MockStore {
    era: u64,
    /// Versions written, oldest first.
    writes: Vec<u64>,
}

#[derive(Default)]
struct Daemon {
    fleet: Fleet,
    /// Era and revision up to which the store is known; `None` before the first read.
    known: Option<(u64, usize)>,
}

impl Daemon {
    fn version(&self) -> u64 {
        self.fleet.config.as_ref().map_or(0, |c| c.version)
    }

    fn apply(&mut self, stamp: ConfigStamp) {
        let config = Config {
            version: stamp.version,
            ..Config::default()
        };
        let change = Change::Config(stamp.revision, Arc::new(config));
        self.fleet.apply(
            Topic::Config,
            &[change],
            &FeedState::default(),
            Duration::ZERO,
        );
    }

    fn list(&mut self, store: &MockStore) {
        let at = store.writes.len();
        self.known = Some((store.era, at));
        if let Some(version) = store.writes.last() {
            self.apply(listed(store.era, at as u64, *version));
        }
    }

    fn watch(&mut self, store: &MockStore) {
        let Some((era, from)) = self.known.filter(|(era, _)| *era == store.era) else {
            return self.list(store);
        };
        for (i, version) in store.writes.iter().enumerate().skip(from) {
            self.apply(watched(era, i as u64 + 1, *version));
        }
        self.known = Some((era, store.writes.len()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a rollback within the lifetime of a process, however the store, its
    /// readers and exchanges between daemons interleave, and against daemons that stay apart
    /// once the operator has written again.
    #[test]
    fn no_daemon_goes_back_and_all_agree_after_the_next_write(
        steps in proptest::collection::vec(step(), 0..60),
    ) {
        let mut store = MockStore::default();
        let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|_| Daemon::default()).collect();
        let mut version = 0;
        for step in steps {
            let before: Vec<u64> = daemons.iter().map(Daemon::version).collect();
            let mut restarted = None;
            match step {
                Step::Write => {
                    version += 1;
                    store.writes.push(version);
                }
                Step::Restore(lost) => {
                    store.era += 1;
                    store.writes.truncate(store.writes.len().saturating_sub(lost));
                }
                Step::List(i) => daemons[i].list(&store),
                Step::Watch(i) => daemons[i].watch(&store),
                Step::Exchange(from, to) => {
                    if daemons[from].fleet.config.is_some() {
                        let stamp = daemons[from].fleet.config_stamp();
                        daemons[to].apply(stamp);
                    }
                }
                Step::Restart(i) => {
                    daemons[i] = Daemon::default();
                    restarted = Some(i);
                }
            }
            for (i, daemon) in daemons.iter().enumerate().filter(|(i, _)| Some(*i) != restarted) {
                prop_assert!(daemon.version() >= before[i], "daemon {} went back", i);
            }
        }
        for daemon in &mut daemons {
            daemon.watch(&store);
        }
        store.writes.push(version + 1);
        for daemon in &mut daemons {
            daemon.watch(&store);
            prop_assert_eq!(daemon.version(), version + 1);
        }
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against the use of a zone whose evacuation was only lost by the store.
#[test]
fn an_evacuation_that_a_restored_store_lacks_ends_after_a_grace_period() {
    let mut feed = FeedState::default();
    let mut fleet = Fleet::default();
    let out = [Change::ZoneOut("z".into())];
    fleet.apply(Topic::Evacuations, &out, &feed, at(1_000));
    feed.record_new_era(at(10_000));
    fleet.replace(Topic::Evacuations, &[], &feed, at(10_000));
    assert!(!fleet.expire(at(12_000)));
    assert!(fleet.evacuated_zones.contains("z"));
    assert!(fleet.expire(at(12_300)));
    assert!(fleet.evacuated_zones.is_empty());

    fleet.apply(Topic::Evacuations, &out, &feed, at(13_000));
    feed.record_new_era(at(20_000));
    fleet.replace(Topic::Evacuations, &[], &feed, at(20_000));
    fleet.apply(Topic::Evacuations, &out, &feed, at(21_000));
    fleet.expire(at(30_000));
    assert!(fleet.evacuated_zones.contains("z"), "the entry returned");

    // Without a new era, a zone that is not listed is in service.
    fleet.replace(Topic::Evacuations, &[], &feed, at(40_000));
    assert!(fleet.evacuated_zones.is_empty());
}

/// Guards against new work for a leaving target because its entry in the copy is older.
#[test]
fn a_leaving_target_that_a_restored_store_lists_as_ready_stays_leaving_until_it_writes() {
    let entry = |is_draining| {
        Change::Target(Target {
            id: "a".into(),
            service: "s".into(),
            address: "127.0.0.1:1".parse().expect("a socket address"),
            zone: "z".into(),
            slots: 8,
            is_draining,
            cold_for: Duration::ZERO,
        })
    };
    let feed = FeedState::default();
    let mut fleet = Fleet::default();
    fleet.apply(Topic::Targets, &[entry(true)], &feed, at(1_000));
    let mut restored = [entry(false)];
    fleet.keep_leaving(&mut restored);
    fleet.replace(Topic::Targets, &restored, &feed, at(2_000));
    assert_eq!(fleet.available_targets("s").count(), 0);
    fleet.apply(Topic::Targets, &[entry(false)], &feed, at(3_000));
    assert_eq!(fleet.available_targets("s").count(), 1);
}
