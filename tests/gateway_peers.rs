//! Who reads the store for whom, in virtual time.

use std::{collections::HashMap, time::Duration};

use bluebelldrift::gateway::{Listed, Peers, Running, Work, ZoneWorks, target_key};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(i: usize, zone: &str) -> Listed {
    Listed {
        address: format!("127.0.0.1:{}", 1_000 + i)
            .parse()
            .expect("an address"),
        zone: zone.into(),
    }
}

/// Daemons that exchange questions and answers without loss.
struct Fleet {
    peers: Vec<(String, Peers)>,
    zones: Vec<String>,
    /// Daemons whose calls to the store fail.
    cut: Vec<usize>,
    /// Daemons that say nothing.
    silent: Vec<usize>,
    proof_at: HashMap<usize, Duration>,
}

impl Fleet {
    fn of(zones: &[&str], each: usize) -> Self {
        let zones: Vec<String> = zones
            .iter()
            .flat_map(|z| vec![(*z).to_owned(); each])
            .collect();
        let names: Vec<String> = (0..zones.len()).map(|i| format!("entry-{i}")).collect();
        let list = |own: usize| {
            let mut peers = Peers::new(names[own].clone(), zones[own].clone(), at(0));
            let all = names.iter().zip(&zones).enumerate();
            peers.list(all.map(|(i, (name, zone))| (name.as_str().into(), listed(i, zone))));
            peers
        };
        let peers = (0..zones.len())
            .map(|i| (names[i].clone(), list(i)))
            .collect();
        Self {
            peers,
            zones,
            cut: vec![],
            silent: vec![],
            proof_at: HashMap::new(),
        }
    }

    fn age(&self, i: usize, now: Duration) -> Option<Duration> {
        self.proof_at.get(&i).map(|at| now.saturating_sub(*at))
    }

    fn readers(&self, now: Duration) -> Vec<usize> {
        let live = (0..self.peers.len()).filter(|i| !self.silent.contains(i));
        live.filter(|i| self.peers[*i].1.is_reader(self.age(*i, now), now))
            .collect()
    }

    /// One round of reads, questions and answers.
    fn step(&mut self, now: Duration) {
        for i in self.readers(now) {
            if !self.cut.contains(&i) {
                self.proof_at.insert(i, now);
            }
        }
        for teller in 0..self.peers.len() {
            self.tell_zone(teller, now);
        }
        for asker in 0..self.peers.len() {
            if self.silent.contains(&asker) {
                continue;
            }
            let mut to = self.peers[asker].1.to_ask(now);
            if self.peers[asker].1.is_first(now) {
                to.extend(self.peers[asker].1.to_ask_far(now));
            }
            for address in to {
                self.answer(asker, usize::from(address.port()) - 1_000, now);
            }
        }
    }

    /// Word of what a daemon has running, to those of its zone that it heard.
    fn tell_zone(&mut self, teller: usize, now: Duration) {
        if self.silent.contains(&teller) {
            return;
        }
        let (name, peers) = &self.peers[teller];
        let (name, of_teller) = (name.clone(), listed(teller, &self.zones[teller]));
        for address in peers.mates(now) {
            let to = usize::from(address.port()) - 1_000;
            self.peers[to].1.hear(&name, of_teller.clone(), 1, now);
        }
    }

    fn answer(&mut self, asker: usize, reader: usize, now: Duration) {
        if self.silent.contains(&reader) {
            return;
        }
        let name = self.peers[asker].0.clone();
        let of_asker = listed(asker, &self.zones[asker]);
        self.peers[reader].1.hear(&name, of_asker, 1, now);
        let age = self.age(reader, now);
        let name = self.peers[reader].0.clone();
        let of_reader = listed(reader, &self.zones[reader]);
        self.peers[asker].1.hear(&name, of_reader, 1, now);
        self.peers[asker].1.note_tell(&name, age, now);
        if let Some(proof) = self.proof_at.get(&reader).copied() {
            let known = self.proof_at.entry(asker).or_default();
            *known = proof.max(*known);
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
    assert!((0..9).all(|i| fleet.age(i, at(3_000)) < Some(at(1_500))));
}

#[test]
fn a_reader_that_falls_silent_is_replaced_while_proofs_are_young() {
    let mut fleet = Fleet::of(&["x", "y", "z"], 3);
    fleet.run(0..3_000);
    let reader = fleet.readers(at(3_000))[0];
    fleet.silent.push(reader);
    fleet.run(3_000..6_000);
    let readers = fleet.readers(at(6_000));
    assert_eq!(readers.len(), 1, "{readers:?}");
    let live = (0..9).filter(|i| *i != reader);
    for i in live {
        assert!(fleet.age(i, at(6_000)) < Some(at(1_500)), "daemon {i}");
    }
}

#[test]
fn when_a_reader_falls_silent_its_zone_does_not_call_the_store_at_once() {
    let mut fleet = Fleet::of(&["x"], 14);
    fleet.run(0..3_000);
    let reader = fleet.readers(at(3_000))[0];
    fleet.silent.push(reader);
    let mut readers = vec![];
    for now in (3_000..6_000).step_by(200) {
        // Each decides before the answers to its next questions are there.
        readers.push(fleet.readers(at(now)).len());
        fleet.step(at(now));
    }
    assert!(readers.iter().all(|n| *n <= 1), "{readers:?}");
    assert_eq!(readers.last(), Some(&1));
}

#[test]
fn a_daemon_that_hears_a_better_reader_without_answers_reads_itself() {
    let mut fleet = Fleet::of(&["x"], 2);
    fleet.run(0..3_000);
    let better = fleet.readers(at(3_000))[0];
    let (name, of_better) = (fleet.peers[better].0.clone(), listed(better, "x"));
    let other = &mut fleet.peers[1 - better].1;
    for now in (3_000..4_800).step_by(200) {
        other.hear(&name, of_better.clone(), 1, at(now));
    }
    assert!(other.is_reader(Some(at(1_800)), at(4_800)));
}

#[test]
fn a_daemon_whose_reader_is_refused_by_the_store_reads_before_three_seconds() {
    let mut fleet = Fleet::of(&["x"], 2);
    fleet.run(0..3_000);
    let reader = fleet.readers(at(3_000))[0];
    let (name, of_reader) = (fleet.peers[reader].0.clone(), listed(reader, "x"));
    let other = &mut fleet.peers[1 - reader].1;
    other.hear(&name, of_reader, 1, at(5_100));
    other.note_tell(&name, None, at(5_100));
    assert!(!other.is_reader(Some(at(1_500)), at(5_200)));
    // Its read, and the way to the others, take some hundred milliseconds.
    assert!(other.is_reader(Some(at(2_100)), at(5_200)));
}

#[test]
fn a_reader_that_is_cut_from_the_store_is_replaced() {
    let mut fleet = Fleet::of(&["x", "y", "z"], 3);
    fleet.run(0..3_000);
    fleet.cut = fleet.readers(at(3_000));
    fleet.run(3_000..9_000);
    for i in 0..9 {
        assert!(fleet.age(i, at(9_000)) < Some(at(3_500)), "daemon {i}");
    }
}

#[test]
fn while_the_store_is_down_few_daemons_call_it() {
    let mut fleet = Fleet::of(&["x", "y", "z"], 14);
    fleet.run(0..3_000);
    fleet.cut = (0..42).collect();
    fleet.run(3_000..12_000);
    // The first of each zone and its stand-ins.
    assert!(fleet.readers(at(12_000)).len() <= 3 * 3);
}

#[test]
fn a_run_that_seems_older_is_heard_once_the_newer_is_silent() {
    let mut peers = Peers::new("a", "z", at(0));
    assert!(peers.hear("b", listed(1, "z"), 7, at(100)));
    assert!(!peers.hear("b", listed(1, "z"), 6, at(200)));
    // Its clock was set back while it restarted.
    assert!(peers.hear("b", listed(1, "z"), 6, at(3_000)));
}

#[test]
fn work_of_each_daemon_counts_once() {
    let works = |tokens| {
        vec![(
            target_key("t"),
            Work {
                tokens,
                ..Work::default()
            },
        )]
    };
    let running = |tokens, far| Running {
        own: works(tokens),
        sends: vec![],
        far,
    };
    let zone = |tokens| ZoneWorks {
        works: works(tokens),
        sends: vec![],
        daemons: 2,
    };
    let mut peers = Peers::new("a", "z", at(0));
    for (i, name) in ["b", "c"].into_iter().enumerate() {
        peers.hear(name, listed(i, "z"), 1, at(10));
        peers.note_running(name, running(10, Some(zone(500))), at(10));
        peers.note_tell(name, None, at(10));
    }
    let (others, _) = peers.others(at(20));
    let expected = if peers.reader(at(20)).is_some() {
        520
    } else {
        20
    };
    assert_eq!(others, works(expected));
}
