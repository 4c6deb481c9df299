//! What daemons tell one another of a new configuration.

use std::{sync::Arc, time::Duration};

use bluebelldrift::gateway::{
    Change, Config, ConfigPatch, Customer, FeedState, Fleet, Repeat, Route, Service, with_patches,
};
use proptest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn route(i: u8, variant: u8) -> Arc<Route> {
    Arc::new(Route {
        name: format!("route-{i}").into(),
        host: "h.example".into(),
        path_prefix: format!("/{i}/").into(),
        repeat: Repeat::Idempotent,
        timeout: at(1_000 + u64::from(variant)),
        objective: at(500),
        priority: 1,
        split: vec![("plain".into(), 1)],
        max_attempts: 2,
        is_public: false,
        allowed_regions: vec![],
    })
}

/// A configuration; each item is a name and which variant of it is there.
fn config(version: u64, items: &[(u8, u8)]) -> Config {
    let service = |v: u8| {
        Arc::new(Service {
            cold_per_second: f64::from(v),
            engine: None,
        })
    };
    let customer = |v: u8| {
        Arc::new(Customer {
            name: format!("customer-{v}").into(),
            priority: Some(v),
            allowed_regions: vec![],
        })
    };
    let mut routes: Vec<_> = items.iter().map(|(i, v)| route(*i, *v)).collect();
    routes.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
    routes.dedup_by(|a, b| a.path_prefix == b.path_prefix);
    Config {
        version,
        routes,
        services: items
            .iter()
            .map(|(i, v)| (format!("s-{i}").into(), service(*v)))
            .collect(),
        keys: items
            .iter()
            .map(|(i, v)| (format!("k-{i}").into(), customer(*v)))
            .collect(),
        has_customers: true,
        ..Config::default()
    }
}

fn sorted(mut config: Config) -> Config {
    config
        .routes
        .sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
    config
}

fn changes(chain: &[Config]) -> Vec<Change> {
    let numbered = chain.iter().cloned().zip(1..);
    numbered
        .map(|(config, revision)| Change::Config(revision, Arc::new(config)))
        .collect()
}

fn items() -> impl Strategy<Value = Vec<(u8, u8)>> {
    proptest::collection::vec((0_u8..12, 0_u8..3), 0..12)
}

proptest! {
    #[test]
    fn patches_lead_to_the_configurations_that_they_stand_for(
        chain in proptest::collection::vec(items(), 1..6),
    ) {
        let chain: Vec<_> = (1_u64..).zip(&chain).map(|(v, items)| config(v, items)).collect();
        let patched = with_patches((0, None), &changes(&chain));
        let mut fleet = Fleet::default();
        for (change, config) in patched.iter().zip(&chain) {
            prop_assert!(fleet.can_apply(std::slice::from_ref(change)));
            fleet.apply(std::slice::from_ref(change), &FeedState::default(), at(1));
            let known = fleet.config.as_deref().cloned().expect("a configuration");
            prop_assert_eq!(sorted(known), sorted(config.clone()));
        }
    }
}

#[test]
fn a_patch_of_a_configuration_that_was_never_known_is_not_applied() {
    let chain: Vec<_> = (1..4)
        .map(|v| config(v, &[(1, 1), (v.to_le_bytes()[0], 2)]))
        .collect();
    let patched = with_patches((0, None), &changes(&chain));
    let mut fleet = Fleet::default();
    fleet.apply(&patched[..1], &FeedState::default(), at(1));
    assert!(fleet.can_apply(&patched[1..]));
    assert!(!fleet.can_apply(&patched[2..]));
    fleet.apply(&patched[2..], &FeedState::default(), at(2));
    assert_eq!(fleet.config.as_ref().map(|c| c.version), Some(1));
}

#[test]
fn a_patch_that_comes_twice_changes_nothing() {
    let chain: Vec<_> = (1..4)
        .map(|v| config(v, &[(2, v.to_le_bytes()[0])]))
        .collect();
    let patched = with_patches((0, None), &changes(&chain));
    let mut fleet = Fleet::default();
    for round in 1..3 {
        assert!(fleet.can_apply(&patched));
        fleet.apply(&patched, &FeedState::default(), at(round));
        assert_eq!(fleet.config.as_ref().map(|c| c.version), Some(3));
    }
}

#[test]
fn routes_that_share_a_place_are_passed_on_whole() {
    let mut double = config(2, &[(1, 1)]);
    double.routes.push(route(1, 2));
    assert!(ConfigPatch::between((1, &config(1, &[(1, 1)])), (2, &double)).is_none());
}
