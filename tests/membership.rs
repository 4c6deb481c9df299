//! Tests of membership, datagram ordering, cells and target ownership, in
//! virtual time.

use std::{collections::BTreeSet, time::Duration};

use bluebelldrift::{
    Daemons, Health, MAX_CELL_SIZE, Membership, cells_of, owner_of,
    wire::{Heartbeat, MemberId},
};
use proptest::{prelude::*, test_runner::RngSeed};

const SUSPECT_AFTER: Duration = Duration::from_millis(400);

fn member(name: &str, incarnation: u64) -> MemberId {
    MemberId {
        name: name.into(),
        incarnation,
    }
}

fn heartbeat(leaving: &[&str]) -> Heartbeat {
    Heartbeat {
        zone: "vest-bergen".into(),
        region: "vest".into(),
        caller_address: "127.0.0.1:1".into(),
        is_draining: false,
        can_own_targets: true,
        revision: 1,
        records_hash: 0,
        confirmed_age_ms: None,
        instance_list_age_ms: Some(100),
        leaving_targets: leaving.iter().map(|t| (*t).into()).collect(),
        suspects: Vec::new(),
        newest_revision: 0,
        instance_list_hash: 0,
        own_list_read_age_ms: None,
        echo: None,
    }
}

/// Returns a member list that received one heartbeat, at `at_ms`.
fn membership(incarnation: u64, at_ms: u64) -> Membership {
    let mut members = Membership::new(SUSPECT_AFTER);
    let address = "127.0.0.1:2".parse().expect("the address is valid");
    let at = Duration::from_millis(at_ms);
    assert!(members.on_heartbeat(&member("a", incarnation), address, heartbeat(&["t"]), at));
    members
}

#[test]
fn a_silent_member_is_suspect_then_dead() {
    let members = membership(1, 1_000);
    let health = |ms| {
        let member = members.all().next().expect("there is one member");
        members.health(member, Duration::from_millis(ms))
    };
    assert_eq!(health(1_399), Health::Alive);
    assert_eq!(health(1_400), Health::Suspect);
    assert_eq!(health(1_800), Health::Dead);
    assert_eq!(members.live(Duration::from_millis(1_799)).count(), 1);
    assert_eq!(members.live(Duration::from_millis(1_800)).count(), 0);
}

#[test]
fn heartbeats_of_an_older_incarnation_are_ignored() {
    let mut members = membership(2, 1_000);
    let address = "127.0.0.1:2".parse().expect("the address is valid");
    let later = Duration::from_secs(9);
    assert!(!members.on_heartbeat(&member("a", 1), address, heartbeat(&[]), later));
    assert!(members.on_heartbeat(&member("a", 3), address, heartbeat(&[]), later));
}

#[test]
fn only_a_newer_instance_list_marks_a_target_as_leaving() {
    let members = membership(1, 1_000);
    let member = members.all().next().expect("there is one member");
    let read_at = |ms| Some(Duration::from_millis(ms));
    // The member read its list 100 ms before its heartbeat arrived.
    assert!(member.lists_as_leaving("t", read_at(899)));
    assert!(member.lists_as_leaving("t", None));
    assert!(!member.lists_as_leaving("t", read_at(900)));
    assert!(!member.lists_as_leaving("other", read_at(0)));
}

fn daemons(max: usize) -> impl Strategy<Value = Daemons> {
    let region = prop::sample::select(vec!["doto", "dohoku", "donan"]);
    let named = (0..400_u16, region).prop_map(|(i, r)| (format!("entry-{i}").into(), r.into()));
    prop::collection::vec(named, 1..=max).prop_map(|named| named.into_iter().collect())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn datagrams_of_a_sender_are_accepted_once_and_in_order(
        sent in prop::collection::vec((1..4_u64, 0..30_u64), 1..100),
    ) {
        let mut members = Membership::new(SUSPECT_AFTER);
        let is_accepted = |(i, s): &(u64, u64)| members.is_new(&member("a", *i), *s);
        let accepted: Vec<(u64, u64)> = sent.into_iter().filter(is_accepted).collect();
        prop_assert!(accepted.is_sorted_by(|a, b| a < b), "{accepted:?}");
    }

    #[test]
    fn each_daemon_is_in_one_cell_of_its_region_and_cells_are_bounded(daemons in daemons(120)) {
        let cells = cells_of(&daemons);
        let mut seen = BTreeSet::new();
        for ((region, _), members) in &cells {
            prop_assert!(members.len() <= MAX_CELL_SIZE);
            for name in members {
                prop_assert_eq!(&*daemons[*name], *region);
                prop_assert!(seen.insert(*name));
            }
        }
        prop_assert_eq!(seen.len(), daemons.len());
    }

    #[test]
    fn a_target_is_owned_in_its_region_while_a_daemon_is_there(daemons in daemons(120)) {
        for region in ["doto", "dohoku", "donan", "unknown"] {
            let owner = owner_of("engine-1", region, &daemons).expect("the target has an owner");
            let has_daemon = daemons.values().any(|r| **r == *region);
            prop_assert!(!has_daemon || *daemons[owner] == *region);
        }
    }

    #[test]
    fn removing_a_daemon_moves_only_its_own_targets(daemons in daemons(MAX_CELL_SIZE)) {
        prop_assume!(daemons.len() > 1);
        let (removed, _) = daemons.first_key_value().expect("there is a daemon");
        let mut remaining = daemons.clone();
        remaining.remove(removed);
        for target in 0..50 {
            let target = format!("engine-{target}");
            let before = owner_of(&target, "doto", &daemons).expect("the target has an owner");
            let after = owner_of(&target, "doto", &remaining).expect("the target has an owner");
            prop_assert!(before == &**removed || before == after);
        }
    }
}
