//! Tests the configuration patches that daemons exchange: a daemon that applies them
//! has the same configuration as one that reads the store.

use std::{sync::Arc, time::Duration};

use bluebelldrift::gateway::{
    Change, Config, ConfigPatch, Customer, FeedState, Fleet, RepeatPolicy, Route, Service, Topic,
    replace_with_patches,
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
        repeat_policy: RepeatPolicy::Idempotent,
        timeout: at(1_000 + u64::from(variant)),
        objective: at(500),
        priority: 1,
        weighted_services: vec![("plain".into(), 1)],
        max_attempts: 2,
        is_public: false,
        allowed_regions: vec![],
    })
}

/// Builds a configuration; each item is the number of a route, a service and a key,
/// and the variant of these three.
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
        customers_by_key: items
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
    fn patches_produce_the_configurations_that_they_replace(
        chain in proptest::collection::vec(items(), 1..6),
    ) {
        let chain: Vec<_> = (1_u64..).zip(&chain).map(|(v, items)| config(v, items)).collect();
        let patched = replace_with_patches((0, None), &changes(&chain));
        let mut fleet = Fleet::default();
        for (change, config) in patched.iter().zip(&chain) {
            prop_assert!(fleet.can_apply(std::slice::from_ref(change)));
            fleet.apply(Topic::Config, std::slice::from_ref(change), &FeedState::default(), at(1));
            let known = fleet.config.as_deref().cloned().expect("a configuration");
            prop_assert_eq!(sorted(known), sorted(config.clone()));
        }
    }
}

#[test]
fn patch_of_an_unknown_configuration_is_not_applied() {
    let chain: Vec<_> = (1..4)
        .map(|v| config(v, &[(1, 1), (v.to_le_bytes()[0], 2)]))
        .collect();
    let patched = replace_with_patches((0, None), &changes(&chain));
    let mut fleet = Fleet::default();
    fleet.apply(Topic::Config, &patched[..1], &FeedState::default(), at(1));
    assert!(fleet.can_apply(&patched[1..]));
    assert!(!fleet.can_apply(&patched[2..]));
    fleet.apply(Topic::Config, &patched[2..], &FeedState::default(), at(2));
    assert_eq!(fleet.config.as_ref().map(|c| c.version), Some(1));
}

#[test]
fn patch_received_twice_changes_nothing() {
    let chain: Vec<_> = (1..4)
        .map(|v| config(v, &[(2, v.to_le_bytes()[0])]))
        .collect();
    let patched = replace_with_patches((0, None), &changes(&chain));
    let mut fleet = Fleet::default();
    for round in 1..3 {
        assert!(fleet.can_apply(&patched));
        fleet.apply(Topic::Config, &patched, &FeedState::default(), at(round));
        assert_eq!(fleet.config.as_ref().map(|c| c.version), Some(3));
    }
}

#[test]
fn no_patch_for_routes_with_the_same_host_and_prefix() {
    let mut duplicate = config(2, &[(1, 1)]);
    duplicate.routes.push(route(1, 2));
    assert!(ConfigPatch::between((1, &config(1, &[(1, 1)])), (2, &duplicate)).is_none());
}
