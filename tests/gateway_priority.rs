//! Tests which priority a request has at engines. A wrong one lets less urgent requests
//! pass urgent ones, or changes deployments whose requests are equally urgent.

use std::{sync::Arc, time::Duration};

use bluebelldrift::gateway::{
    Config, Customer, EngineLimits, PriorityRange, RepeatPolicy, Route, Service,
};

fn route(name: &str, repeat_policy: RepeatPolicy, service: &str, priority: u8) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        host: "h.example".into(),
        path_prefix: format!("/{name}/").into(),
        repeat_policy,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(500),
        priority,
        weighted_services: vec![(service.into(), 1)],
        max_attempts: 1,
        is_public: false,
        allowed_regions: vec![],
    })
}

fn customer(priority: Option<u8>) -> Customer {
    Customer {
        name: "customer".into(),
        priority,
        allowed_regions: vec![],
    }
}

/// Returns a configuration with the streaming route `gen` to engines and the plain route
/// `look`, of the priorities given.
fn config(gen_priority: u8, look_priority: u8, customers: &[Option<u8>]) -> Config {
    let limits = EngineLimits {
        slots: 8,
        memory_tokens: 30_000,
        bytes_per_token: 1_000,
        link_mbps: 1_000.0,
        has_backups: false,
        has_moves: false,
    };
    let service = |engine| {
        Arc::new(Service {
            cold_per_second: 0.0,
            engine,
        })
    };
    let customers = customers.iter().enumerate();
    Config {
        routes: vec![
            route("gen", RepeatPolicy::Stream, "model", gen_priority),
            route("look", RepeatPolicy::Idempotent, "plain", look_priority),
        ],
        services: [
            ("model".into(), service(Some(limits))),
            ("plain".into(), service(None)),
        ]
        .into(),
        customers_by_key: customers
            .map(|(i, p)| (format!("k{i}").into(), Arc::new(customer(*p))))
            .collect(),
        has_customers: true,
        ..Config::default()
    }
}

#[test]
fn equally_urgent_requests_carry_no_priority() {
    // The plain route has another priority, but its requests do not go to engines.
    for customers in [&[Some(2), Some(2)][..], &[None], &[Some(1), None], &[]] {
        let config = config(1, 3, customers);
        assert_eq!(config.engine_priorities(), None, "{customers:?}");
        assert_eq!(
            config.engine_priority(&config.routes[0], None, "model"),
            None
        );
    }
    // The engines know no priority beyond 9, so 9 and 200 are equally urgent.
    assert_eq!(config(9, 0, &[Some(200), None]).engine_priorities(), None);
}

#[test]
fn the_priority_of_the_customer_precedes_that_of_the_route_and_is_clamped() {
    let config = config(2, 0, &[None, Some(0), Some(200)]);
    let range = PriorityRange {
        most_urgent: 0,
        least_urgent: 9,
    };
    assert_eq!(config.engine_priorities(), Some(range));
    let priority =
        |customer: Option<&Customer>| config.engine_priority(&config.routes[0], customer, "model");
    assert_eq!(priority(None), Some(2));
    assert_eq!(priority(Some(&customer(None))), Some(2));
    assert_eq!(priority(Some(&customer(Some(0)))), Some(0));
    assert_eq!(priority(Some(&customer(Some(200)))), Some(9));
}

#[test]
fn only_streams_to_engines_carry_a_priority() {
    let mut config = config(2, 0, &[None, Some(0)]);
    let looked = config.engine_priority(&config.routes[1], None, "plain");
    assert_eq!(looked, None);
    assert_eq!(
        config.engine_priority(&config.routes[0], None, "plain"),
        None
    );
    config.routes[0] = route("gen", RepeatPolicy::AtMostOnce, "model", 2);
    assert_eq!(
        config.engine_priority(&config.routes[0], None, "model"),
        None
    );
}

#[test]
fn priorities_of_customers_do_not_count_on_routes_without_keys() {
    let mut config = config(1, 1, &[Some(3), None]);
    let mut public = Route::clone(&config.routes[0]);
    public.is_public = true;
    config.routes[0] = Arc::new(public);
    assert_eq!(config.engine_priorities(), None);
}
