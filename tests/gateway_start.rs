//! Tests in virtual time who reads the store when a whole fleet starts: if each daemon
//! reads for itself, a start costs more calls than the rest of the day; if none does,
//! the fleet never serves.

use std::time::Duration;

use bluebelldrift::gateway::{DaemonInfo, Peers, Start};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn info(i: usize, zone: usize) -> DaemonInfo {
    let port = u16::try_from(1_000 + i).expect("a port");
    DaemonInfo {
        address: ([127, 0, 0, 1], port).into(),
        zone: format!("zone-{zone}").into(),
    }
}

/// 295 daemons return at once after a loss of power, and the store lists all of them.
#[test]
fn one_of_hundreds_of_daemons_reads_the_store_at_once() {
    let all: Vec<_> = (0..295)
        .map(|i| (format!("entry-{i}"), info(i, i % 6)))
        .collect();
    let readers = all.iter().filter(|(name, own)| {
        let mut peers = Peers::new(name.as_str(), own.zone.clone(), at(0)).with_seeds();
        let listed = all
            .iter()
            .map(|(name, info)| (name.as_str().into(), info.clone()));
        peers.add_listed(listed, at(10));
        peers.is_reader(None, at(20))
    });
    assert_eq!(readers.count(), 1);
}

/// The daemon that ranks first did not return.
#[test]
fn the_leader_of_each_zone_reads_if_the_first_daemon_never_answers() {
    let all: Vec<_> = (0..60)
        .map(|i| (format!("entry-{i}"), info(i, i % 6)))
        .collect();
    let readers = all.iter().filter(|(name, own)| {
        let mut peers = Peers::new(name.as_str(), own.zone.clone(), at(0)).with_seeds();
        let listed = all
            .iter()
            .map(|(name, info)| (name.as_str().into(), info.clone()));
        peers.add_listed(listed, at(10));
        peers.is_reader(None, at(700))
    });
    assert!(readers.count() >= 6);
}

/// The store's list is still empty, since the whole system starts for the first time.
#[test]
fn a_daemon_with_seeds_waits_for_the_list() {
    let mut start = Start::new(at(0), true);
    start.record_list(false, false, at(10));
    assert!(start.waits(true, at(4_900)));
    assert!(!start.waits(true, at(5_000)));
}

/// The list already names some of the daemons that start at the same time, and none of
/// those ranks above this one.
#[test]
fn a_daemon_that_was_not_listed_reads_the_list_twice_before_it_relies_on_it() {
    let mut start = Start::new(at(0), true);
    start.record_list(false, true, at(10));
    assert!(start.waits(true, at(1_000)));
    start.record_list(true, true, at(1_500));
    assert!(!start.waits(true, at(1_500)));
    // Those that rank above have just become known.
    assert!(start.waits(false, at(2_000)));
    assert!(!start.waits(false, at(2_100)));
}

#[test]
fn a_daemon_that_returns_gives_better_ranked_ones_time_to_answer() {
    let mut start = Start::new(at(0), true);
    start.record_list(true, true, at(10));
    assert!(!start.waits(true, at(20)));
    assert!(start.waits(false, at(600)));
    assert!(!start.waits(false, at(610)));
}

#[test]
fn a_seed_reads_at_once() {
    assert!(!Start::new(at(0), false).waits(true, at(0)));
}

/// Daemons that do not know the others of their zone would each take the share of all.
#[test]
fn a_daemon_that_has_not_read_the_list_sends_nothing_to_cold_targets() {
    let mut peers = Peers::new("entry-0", "zone-0", at(0));
    assert!(peers.daemon_names().is_empty());
    peers.add_listed(
        [
            ("entry-1".into(), info(1, 0)),
            ("entry-2".into(), info(2, 1)),
        ],
        at(10),
    );
    assert_eq!(peers.daemon_names().len(), 3);
    assert_eq!(
        bluebelldrift::gateway::cold_request_quota("t", "entry-0", 19.0, &[]),
        0
    );
}

/// Two daemons that query only a third one exchange no datagrams at first. Without
/// reports, neither would count the work of the other.
#[test]
fn daemons_that_were_never_heard_get_reports_after_the_list_was_read() {
    let mut peers = Peers::new("entry-0", "zone-0", at(0));
    peers.add_listed([("entry-1".into(), info(1, 0))], at(10));
    assert_eq!(peers.zone_peers(at(500)).len(), 1);
    assert!(peers.zone_peers(at(5_000)).is_empty());
}
