//! Tests in virtual time which daemons read the store: if too few do, configurations
//! become stale; if too many do, they exceed the store's rate limits.

use std::{collections::HashMap, time::Duration};

use bluebelldrift::gateway::{DaemonInfo, Peers, Work, WorkReport, ZoneLoad, target_key};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn daemon_info(i: usize, zone: &str) -> DaemonInfo {
    DaemonInfo {
        address: format!("127.0.0.1:{}", 1_000 + i)
            .parse()
            .expect("an address"),
        zone: zone.into(),
    }
}

/// Simulated daemons that exchange queries and answers without loss.
struct Fleet {
    peers: Vec<(String, Peers)>,
    zones: Vec<String>,
    /// Daemons whose calls to the store fail.
    cut_off: Vec<usize>,
    /// Daemons that send nothing.
    silent: Vec<usize>,
    /// Time of the newest read that confirmed the configuration, by daemon.
    confirmed_at: HashMap<usize, Duration>,
    /// Reads by daemons for themselves, as the store counts them, and probes, which it does not.
    fallback_reads: usize,
    probes: usize,
}

impl Fleet {
    fn of(zones: &[&str], per_zone: usize) -> Self {
        let zones: Vec<String> = zones
            .iter()
            .flat_map(|z| vec![(*z).to_owned(); per_zone])
            .collect();
        let names: Vec<String> = (0..zones.len()).map(|i| format!("entry-{i}")).collect();
        let list = |own: usize| {
            let mut peers = Peers::new(names[own].clone(), zones[own].clone(), at(0));
            let all = names.iter().zip(&zones).enumerate();
            peers.add_listed(
                all.map(|(i, (name, zone))| (name.as_str().into(), daemon_info(i, zone))),
                at(0),
            );
            peers
        };
        let peers = (0..zones.len())
            .map(|i| (names[i].clone(), list(i)))
            .collect();
        Self {
            peers,
            zones,
            cut_off: vec![],
            silent: vec![],
            confirmed_at: HashMap::new(),
            fallback_reads: 0,
            probes: 0,
        }
    }

    /// Returns the age of a daemon's configuration: the time since the newest read that
    /// confirmed it.
    fn config_age(&self, i: usize, now: Duration) -> Option<Duration> {
        self.confirmed_at.get(&i).map(|at| now.saturating_sub(*at))
    }

    /// Returns the daemons that read the store.
    fn readers(&self, now: Duration) -> Vec<usize> {
        let live = (0..self.peers.len()).filter(|i| !self.silent.contains(i));
        live.filter(|i| self.peers[*i].1.is_reader(self.config_age(*i, now), now))
            .collect()
    }

    /// Simulates the reads that are due. A daemon that reads for itself with success reads for
    /// others from then on, and tells them.
    fn read(&mut self, now: Duration) {
        for i in self.readers(now) {
            let is_served = !self.cut_off.contains(&i);
            let peers = &mut self.peers[i].1;
            let is_fallback = !peers.follows_store(now);
            if is_fallback && peers.probes_first() {
                self.probes += 1;
                self.fallback_reads += usize::from(is_served);
            } else if is_fallback {
                self.fallback_reads += 1;
            }
            peers.record_config_read(is_served, now);
            if is_served {
                self.confirmed_at.insert(i, now);
            }
            if is_served && is_fallback {
                self.peers[i].1.begin_term(now);
                self.announce(i, now);
            }
        }
    }

    /// Delivers the message that a daemon reads for others, the queries that follow and their
    /// answers.
    fn announce(&mut self, source: usize, now: Duration) {
        let (name, peers) = &self.peers[source];
        if !peers.fallback().is_source(now) {
            return;
        }
        let (name, info) = (name.clone(), daemon_info(source, &self.zones[source]));
        let mut to = peers.zone_peers(now);
        to.extend(peers.remote_peers_to_query(now));
        for address in to {
            let to = usize::from(address.port()) - 1_000;
            if !self.silent.contains(&to) {
                let receiver = &mut self.peers[to].1;
                receiver.record_datagram(&name, info.clone(), 1, now);
                receiver.record_source(&name, now);
                self.answer(to, source, now);
            }
        }
    }

    /// Simulates one round of reads, queries and answers.
    fn step(&mut self, now: Duration) {
        self.read(now);
        self.exchange(now);
    }

    /// Simulates one round of reports, queries and answers.
    fn exchange(&mut self, now: Duration) {
        for reporter in 0..self.peers.len() {
            self.report_to_zone(reporter, now);
        }
        for querying in 0..self.peers.len() {
            if self.silent.contains(&querying) {
                continue;
            }
            self.peers[querying].1.extend_term(now);
            self.announce(querying, now);
            let mut to = self.peers[querying].1.zone_peers_to_query(now);
            to.extend(self.peers[querying].1.sources_to_query(now));
            if self.peers[querying].1.is_zone_leader(now) {
                to.extend(self.peers[querying].1.remote_peers_to_query(now));
            }
            for address in to {
                self.answer(querying, usize::from(address.port()) - 1_000, now);
            }
        }
    }

    /// Delivers a daemon's report of running work to the peers of its zone that sent it
    /// a datagram recently.
    fn report_to_zone(&mut self, reporter: usize, now: Duration) {
        if self.silent.contains(&reporter) {
            return;
        }
        let (name, peers) = &self.peers[reporter];
        let (name, reporter_info) = (name.clone(), daemon_info(reporter, &self.zones[reporter]));
        for address in peers.zone_peers(now) {
            let to = usize::from(address.port()) - 1_000;
            self.peers[to]
                .1
                .record_datagram(&name, reporter_info.clone(), 1, now);
        }
    }

    /// Delivers a query and its answer, with the age of the queried daemon's
    /// configuration.
    fn answer(&mut self, querying: usize, queried: usize, now: Duration) {
        if self.silent.contains(&queried) {
            return;
        }
        let name = self.peers[querying].0.clone();
        let querying_info = daemon_info(querying, &self.zones[querying]);
        self.peers[queried]
            .1
            .record_datagram(&name, querying_info, 1, now);
        let age = self.config_age(queried, now);
        let name = self.peers[queried].0.clone();
        let queried_info = daemon_info(queried, &self.zones[queried]);
        self.peers[querying]
            .1
            .record_datagram(&name, queried_info, 1, now);
        self.peers[querying].1.record_answer(&name, age, now);
        if let Some(confirmed) = self.confirmed_at.get(&queried).copied() {
            let known = self.confirmed_at.entry(querying).or_default();
            *known = confirmed.max(*known);
        }
    }

    /// Simulates reads at steps of 20 ms, so that daemons that begin one after the other do.
    fn run_with_fine_reads(&mut self, ms: std::ops::Range<u64>, check: impl Fn(&Self, Duration)) {
        for now in ms.step_by(20) {
            self.read(at(now));
            if now.is_multiple_of(200) {
                self.exchange(at(now));
            }
            check(self, at(now));
        }
    }

    fn run(&mut self, ms: std::ops::Range<u64>) {
        for now in ms.step_by(200) {
            self.step(at(now));
        }
    }
}

#[test]
fn one_daemon_reads_for_three_zones() {
    let mut fleet = Fleet::of(&["x", "y", "z"], 3);
    fleet.run(0..3_000);
    assert_eq!(fleet.readers(at(3_000)).len(), 1);
    assert!((0..9).all(|i| fleet.config_age(i, at(3_000)) < Some(at(1_500))));
}

#[test]
fn silent_reader_is_replaced_before_configurations_become_stale() {
    let mut fleet = Fleet::of(&["x", "y", "z"], 3);
    fleet.run(0..3_000);
    let reader = fleet.readers(at(3_000))[0];
    fleet.silent.push(reader);
    fleet.run(3_000..6_000);
    let readers = fleet.readers(at(6_000));
    assert_eq!(readers.len(), 1, "readers: {readers:?}");
    let live = (0..9).filter(|i| *i != reader);
    for i in live {
        assert!(
            fleet.config_age(i, at(6_000)) < Some(at(1_500)),
            "the configuration of daemon {i} is stale"
        );
    }
}

#[test]
fn zone_does_not_call_the_store_all_at_once_when_its_reader_falls_silent() {
    let mut fleet = Fleet::of(&["x"], 14);
    fleet.run(0..3_000);
    let reader = fleet.readers(at(3_000))[0];
    fleet.silent.push(reader);
    let mut readers = vec![];
    for now in (3_000..6_000).step_by(200) {
        // Each daemon decides before the answers to its next queries arrive.
        readers.push(fleet.readers(at(now)).len());
        fleet.step(at(now));
    }
    assert!(
        readers.iter().all(|n| *n <= 1),
        "number of readers by step: {readers:?}"
    );
    assert_eq!(readers.last(), Some(&1));
}

#[test]
fn daemon_reads_the_store_if_the_higher_ranked_one_never_answers() {
    let mut fleet = Fleet::of(&["x"], 2);
    fleet.run(0..3_000);
    let better = fleet.readers(at(3_000))[0];
    let (name, better_info) = (fleet.peers[better].0.clone(), daemon_info(better, "x"));
    let other = &mut fleet.peers[1 - better].1;
    for now in (3_000..4_800).step_by(200) {
        other.record_datagram(&name, better_info.clone(), 1, at(now));
    }
    assert!(other.is_reader(Some(at(1_800)), at(4_800)));
}

#[test]
fn daemon_whose_zone_reader_is_refused_by_the_store_reads_within_three_seconds() {
    let mut fleet = Fleet::of(&["x"], 2);
    fleet.run(0..3_000);
    let reader = fleet.readers(at(3_000))[0];
    let (name, reader_info) = (fleet.peers[reader].0.clone(), daemon_info(reader, "x"));
    let other = &mut fleet.peers[1 - reader].1;
    other.record_datagram(&name, reader_info, 1, at(5_100));
    other.record_answer(&name, None, at(5_100));
    assert!(!other.is_reader(Some(at(1_500)), at(5_200)));
    // Its read, and forwarding to the other daemons, take a few hundred milliseconds.
    assert!(other.is_reader(Some(at(2_100)), at(5_200)));
}

#[test]
fn reader_cut_off_from_the_store_is_replaced() {
    let mut fleet = Fleet::of(&["x", "y", "z"], 3);
    fleet.run(0..3_000);
    fleet.cut_off = fleet.readers(at(3_000));
    fleet.run(3_000..9_000);
    for i in 0..9 {
        assert!(
            fleet.config_age(i, at(9_000)) < Some(at(3_500)),
            "the configuration of daemon {i} is stale"
        );
    }
}

/// Guards against daemons that the store serves and that rely on one or two others that it does
/// not, and against calls that grow with the fleet.
#[test]
fn daemons_are_current_while_the_store_refuses_nine_of_ten() {
    for per_zone in [3, 24] {
        let mut fleet = Fleet::of(&["a", "b", "c", "d", "e", "f"], per_zone);
        fleet.run(0..4_000);
        let first = fleet.readers(at(4_000));
        let count = fleet.peers.len();
        fleet.cut_off = (0..count).filter(|i| i % 10 != 7).collect();
        fleet.cut_off.extend(first);
        let before = fleet.fallback_reads;
        fleet.run_with_fine_reads(4_000..12_000, |fleet, now| {
            for i in 0..count {
                let age = fleet.config_age(i, now);
                assert!(age < Some(at(3_000)), "daemon {i} at {now:?}: {age:?}");
            }
        });
        // Two daemons of each zone read without a probe, and one that succeeds supplies its zone.
        let reads = fleet.fallback_reads - before;
        assert!(reads <= 6 * 3, "{reads} reads by {count} daemons");
    }
}

/// Guards against the leader of a zone that reads for others for good, although the zone that it
/// relies on reads again.
#[test]
fn a_leader_stops_reading_for_others_once_its_source_is_back() {
    let mut fleet = Fleet::of(&["a", "b"], 1);
    fleet.run(0..4_000);
    let source = fleet.readers(at(4_000))[0];
    let leader = 1 - source;
    fleet.silent.push(source);
    fleet.run(4_000..5_000);
    fleet.peers[leader].1.begin_term(at(5_000));
    assert!(fleet.peers[leader].1.fallback().is_in_term(at(5_000)));
    fleet.silent.clear();
    fleet.run(5_000..12_000);
    assert_eq!(fleet.readers(at(12_000)), [source]);
}

/// Guards against calls of all daemons, again and again, to a store that is down. Probes are not
/// counted toward its limits.
#[test]
fn few_reads_are_made_while_the_store_is_down_for_all() {
    for per_zone in [3, 24] {
        let mut fleet = Fleet::of(&["a", "b", "c", "d", "e", "f"], per_zone);
        fleet.run(0..4_000);
        let count = fleet.peers.len();
        fleet.cut_off = (0..count).collect();
        fleet.run_with_fine_reads(4_000..12_000, |_, _| {});
        let (reads, probes) = (fleet.fallback_reads, fleet.probes);
        assert!(reads <= 6 * 2, "{reads} reads by {count} daemons");
        assert!(
            probes <= 6 * count,
            "{probes} probes by {count} daemons in 8 s"
        );
    }
}

#[test]
fn few_daemons_call_the_store_while_it_is_down() {
    let mut fleet = Fleet::of(&["x", "y", "z"], 14);
    fleet.run(0..3_000);
    fleet.cut_off = (0..42).collect();
    fleet.run(3_000..12_000);
    // In each zone, at most the leader and two more daemons.
    assert!(fleet.readers(at(12_000)).len() <= 3 * 3);
}

#[test]
fn seemingly_older_incarnation_is_accepted_once_the_newer_one_is_silent() {
    let mut peers = Peers::new("a", "z", at(0));
    assert!(peers.record_datagram("b", daemon_info(1, "z"), 7, at(100)));
    assert!(!peers.record_datagram("b", daemon_info(1, "z"), 6, at(200)));
    // The wall clock was set back while the daemon restarted.
    assert!(peers.record_datagram("b", daemon_info(1, "z"), 6, at(3_000)));
}

#[test]
fn work_of_each_daemon_is_counted_once() {
    let work = |tokens| {
        vec![(
            target_key("t"),
            Work {
                tokens,
                ..Work::default()
            },
        )]
    };
    let work_report = |tokens| WorkReport {
        sender_work: work(tokens),
        sends: vec![],
    };
    let zone = |tokens| ZoneLoad {
        work: work(tokens),
        sends: vec![],
        daemons: 2,
    };
    let mut peers = Peers::new("a", "z", at(0));
    for (i, name) in ["b", "c"].into_iter().enumerate() {
        peers.record_datagram(name, daemon_info(i, "z"), 1, at(10));
        peers.record_work_report(name, work_report(10));
        peers.record_other_zones(name, zone(500), at(10));
        peers.record_answer(name, None, at(10));
    }
    let (other_work, _) = peers.other_work_and_sends(at(20));
    let expected = if peers.zone_reader(at(20)).is_some() {
        520
    } else {
        20
    };
    assert_eq!(other_work, work(expected));
}

/// Guards against daemons that all write to the store at once, and against a write that waits
/// for daemons that are silent.
#[test]
fn the_leaders_of_zones_write_first_and_silent_daemons_do_not_count() {
    let mut fleet = Fleet::of(&["z1", "z2", "z3"], 3);
    fleet.run(0..10_000);
    let now = at(10_000);
    let ranks = |fleet: &Fleet, now| -> Vec<u32> {
        let peers = fleet.peers.iter().enumerate();
        let live = peers.filter(|(i, _)| !fleet.silent.contains(i));
        let mut ranks: Vec<u32> = live.map(|(_, (_, p))| p.writer_rank(now)).collect();
        ranks.sort_unstable();
        ranks
    };
    assert_eq!(ranks(&fleet, now), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
    let readers = fleet.readers(now);
    assert_eq!(readers.len(), 1);
    assert_eq!(fleet.peers[readers[0]].1.writer_rank(now), 0);
    // The zone of the reader falls silent.
    let zone = fleet.zones[readers[0]].clone();
    fleet.silent = (0..9).filter(|i| fleet.zones[*i] == zone).collect();
    fleet.run(10_000..15_000);
    let ranks = ranks(&fleet, at(15_000));
    assert_eq!(ranks[..2], [0, 1], "{ranks:?}");
}

/// Guards against delays of a daemon that is alone.
#[test]
fn a_daemon_that_is_alone_writes_at_once() {
    let peers = Peers::new("entry-1", "z1", at(0));
    assert_eq!(peers.writer_rank(at(5_000)), 0);
}
