//! An accepted configuration write is in effect on every daemon within seconds,
//! and no daemon reverts to an older revision. The tests race writes and inject
//! failures: lost answers, a platform outage, a silent watch, killed or paused
//! daemons, packet loss and partitions.

mod common;

use std::{
    collections::BTreeMap,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use common::{
    Daemon, Fleet, Operator, client, default_records, link_proxy::LinkProxy, record, wait_for,
    zone_record,
};
use serde_json::{Value, json};

/// Longest time until an accepted write is in effect on every daemon.
const IN_FORCE_DEADLINE: Duration = Duration::from_secs(7);
const ZONE: &str = "kushiro-a";
const ZONE_PATH: &str = "/v1/records/AvailabilityZone/kushiro-a";

/// Returns the record revisions that a daemon logged as adopted, in log order.
fn adopted_revisions(log: &Path) -> Vec<u64> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter(|l| l.contains("event=records_adopted"));
    lines
        .filter_map(|l| {
            l.split(" revision=")
                .nth(1)?
                .split(' ')
                .next()?
                .parse()
                .ok()
        })
        .collect()
}

/// Checks that each daemon adopted at least one revision, and never a lower one
/// than before.
fn assert_revisions_never_fall(daemons: &[Daemon]) {
    for daemon in daemons {
        let revisions = adopted_revisions(&daemon.log);
        assert!(
            !revisions.is_empty(),
            "{} logged no adopted revision",
            daemon.name
        );
        let never_falls = revisions.windows(2).all(|w| w[0] <= w[1]);
        assert!(
            never_falls,
            "{} adopted a lower revision: {revisions:?}",
            daemon.name
        );
    }
}

fn zone_state(operator: &Operator) -> Value {
    let answer = operator.call("GET", ZONE_PATH, &Value::Null);
    answer.json()["spec"]["state"].clone()
}

/// Waits until all these daemons have the zone in `state`, and checks that it
/// took less than the deadline since `since`.
fn wait_in_force(fleet: &Fleet, daemons: &[usize], state: &str, since: Instant) {
    for i in daemons {
        wait_for("the write is in effect on a daemon", || {
            (zone_state(&fleet.operator(*i)) == json!(state)).then_some(())
        });
    }
    let elapsed = since.elapsed();
    assert!(
        elapsed < IN_FORCE_DEADLINE,
        "in effect only after {elapsed:?}"
    );
}

/// Takes the zone out through the `i`-th daemon; returns the time of acceptance.
fn take_zone_out(fleet: &Fleet, i: usize) -> Instant {
    let answer = fleet
        .operator(i)
        .put_records(&json!([zone_record(ZONE, "out")]));
    assert_eq!(answer.status, 200, "{answer:?}");
    Instant::now()
}

/// Writes the zone's record at the platform, without going through a daemon.
fn write_at_platform(fleet: &Fleet, state: &str) -> Instant {
    let path = format!("/v1/objects/records/AvailabilityZone/{ZONE}");
    let platform = &fleet.platform_address;
    let stored = client::call("GET", platform, &path, &[], &Value::Null).json();
    let to = format!("{path}?if_revision={}", stored["revision"]);
    let answer = client::call("PUT", platform, &to, &[], &zone_record(ZONE, state));
    assert_eq!(answer.status, 200, "{answer:?}");
    Instant::now()
}

/// Returns the role at the platform that a daemon logged last.
fn role_of(daemon: &Daemon) -> String {
    let text = std::fs::read_to_string(&daemon.log).unwrap_or_default();
    let mut lines = text.lines().rev();
    let line = lines.find(|l| l.contains("event=platform_role"));
    let role = line.and_then(|l| l.rsplit_once("role="));
    role.map(|(_, role)| role.to_owned()).unwrap_or_default()
}

/// Waits until two daemons of the cell are relays and all others are listeners;
/// returns the relays and the listeners.
fn wait_for_roles(fleet: &Fleet) -> (Vec<usize>, Vec<usize>) {
    wait_for("the cell has two relays", || {
        let all = 0..fleet.daemons.len();
        let is_relay = |i: &usize| role_of(&fleet.daemons[*i]) == "relay";
        let (relays, others): (Vec<usize>, Vec<usize>) = all.partition(is_relay);
        let is_listener = |i: &usize| role_of(&fleet.daemons[*i]) == "listener";
        (relays.len() == 2 && others.iter().all(is_listener)).then_some((relays, others))
    })
}

fn zone_of(fleet: &Fleet, i: usize) -> Value {
    let path = fleet.dir.path().join(format!("entry-{i}.json"));
    let settings = std::fs::read(path).expect("the settings of the daemon are readable");
    let settings: Value =
        serde_json::from_slice(&settings).expect("the settings of the daemon are valid JSON");
    settings["zone"].clone()
}

/// Lists every daemon at the address of a network proxy, and waits until the
/// daemons reach one another only through these proxies.
fn put_behind_proxies(fleet: &Fleet) -> Vec<LinkProxy> {
    let proxies: Vec<LinkProxy> = fleet
        .daemons
        .iter()
        .map(|d| LinkProxy::start(&d.peer_address))
        .collect();
    for (i, (daemon, proxy)) in fleet.daemons.iter().zip(&proxies).enumerate() {
        fleet.set_instance(
            &json!({"name": daemon.name, "zone": zone_of(fleet, i), "state": "live",
                                   "address": proxy.address.to_string(), "role": "daemon"}),
        );
    }
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        wait_for("a daemon reaches all others through their proxies", || {
            let status = fleet.operator(i).status();
            let peers = status["peers"].as_array()?.clone();
            let is_proxied = |p: &Value| {
                proxies
                    .iter()
                    .any(|proxy| p["address"] == json!(proxy.address.to_string()))
            };
            let count = peers.iter().filter(|p| is_proxied(p)).count();
            (count + 1 == proxies.len()).then_some(())
        });
        assert!(!daemon.name.is_empty());
    }
    proxies
}

#[test]
fn concurrent_writes_converge_on_the_platform_state() {
    let fleet = Fleet::with_daemons(3);
    thread::scope(|s| {
        for i in 0..6_u64 {
            let operator = fleet.operator(usize::try_from(i).unwrap() % 3);
            s.spawn(move || {
                for n in 0..5 {
                    let spec = json!({"context_tokens": 1000 + i * 10 + n});
                    let answer =
                        operator.put_records(&json!([record("Model", "denture-7b", &spec)]));
                    assert_eq!(answer.status, 200, "{answer:?}");
                }
            });
        }
    });
    let path = "/v1/objects/records/Model/denture-7b";
    let stored = client::call("GET", &fleet.platform_address, path, &[], &Value::Null).json();
    for i in 0..3 {
        wait_for("the last write is in effect on a daemon", || {
            let path = "/v1/records/Model/denture-7b";
            let held = fleet.operator(i).call("GET", path, &Value::Null).json();
            (held == stored["value"]).then_some(())
        });
    }
    assert_revisions_never_fall(&fleet.daemons);
}

#[test]
fn a_conditional_write_never_overwrites_another() {
    let fleet = Fleet::with_daemons(3);
    let path = "/v1/records/Model/denture-7b";
    let accepted: u64 = thread::scope(|s| {
        let writers: Vec<_> = (0..3)
            .map(|i| {
                let operator = fleet.operator(i);
                s.spawn(move || {
                    let mut accepted = 0;
                    while accepted < 4 {
                        let held = operator.call("GET", path, &Value::Null);
                        let revision = held.header("x-bluebell-revision").unwrap().to_owned();
                        let mut write = held.json();
                        let tokens = write["spec"]["context_tokens"].as_u64().unwrap();
                        write["spec"]["context_tokens"] = json!(tokens + 1);
                        let to = format!("/v1/records?if_revision={revision}");
                        let answer = operator.call("PUT", &to, &json!([write]));
                        match answer.status {
                            200 => accepted += 1,
                            409 => assert!(answer.json()["current"]["revision"].is_u64()),
                            _ => panic!("{answer:?}"),
                        }
                    }
                    accepted
                })
            })
            .collect();
        writers.into_iter().map(|w| w.join().unwrap()).sum()
    });
    let held = fleet.operator(0).call("GET", path, &Value::Null).json();
    assert_eq!(held["spec"]["context_tokens"], json!(32768 + accepted));
}

#[test]
fn a_write_with_a_lost_answer_is_applied_once() {
    let fleet = Fleet::with_daemons(2);
    let before = fleet.operator(0).status()["revision"].as_u64().unwrap();
    fleet.set_faults(&json!({"lose_answers": 1}));
    let accepted = fleet
        .operator(0)
        .put_records(&json!([zone_record(ZONE, "out")]));
    assert_eq!(accepted.status, 200, "{accepted:?}");
    assert_eq!(
        accepted.json()["revision"],
        json!(before + 1),
        "written once"
    );
    fleet.set_faults(&json!({"lose_answers": 1}));
    let withdrawn = fleet.operator(1).call("DELETE", ZONE_PATH, &Value::Null);
    assert_eq!(withdrawn.status, 200, "{withdrawn:?}");
    for i in 0..2 {
        wait_for("the record is withdrawn on a daemon", || {
            let answer = fleet.operator(i).call("GET", ZONE_PATH, &Value::Null);
            (answer.status == 404).then_some(())
        });
    }
}

#[test]
fn an_interrupted_batch_reports_the_outcome_of_each_record() {
    let fleet = Fleet::with_daemons(1);
    fleet.set_faults(&json!({"down_after_writes": 1}));
    let batch = json!([
        zone_record("kushiro-a", "out"),
        zone_record("asahikawa-a", "out")
    ]);
    let answer = fleet.operator(0).put_records(&batch);
    assert_eq!(answer.status, 503, "{answer:?}");
    let results = answer.json()["results"].clone();
    assert_eq!(results[0]["outcome"], json!("written"), "{results}");
    assert_eq!(results[1]["outcome"], json!("not_written"), "{results}");
    // The first write is in effect. The second is neither in effect here nor
    // stored at the platform.
    wait_for("the first write is in effect", || {
        (zone_state(&fleet.operator(0)) == json!("out")).then_some(())
    });
    fleet.set_faults(&json!({}));
    let path = "/v1/objects/records/AvailabilityZone/asahikawa-a";
    let stored = client::call("GET", &fleet.platform_address, path, &[], &Value::Null).json();
    assert_ne!(stored["value"]["spec"]["state"], json!("out"));
    // Whether a write took effect is reported as unknown when every answer of the
    // platform is lost.
    fleet.set_faults(&json!({"lose_answers": 100, "down_after_writes": 1}));
    let answer = fleet
        .operator(0)
        .put_records(&json!([zone_record("asahikawa-a", "out")]));
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.json()["results"][0]["outcome"], json!("unknown"));
}

#[test]
fn a_daemon_starts_from_peers_when_the_platform_fails_right_after_a_write() {
    let mut fleet = Fleet::with_daemons_in_one_cell(3);
    fleet.set_faults(&json!({"down_after_writes": 1}));
    let accepted = take_zone_out(&fleet, 0);
    wait_in_force(&fleet, &[0, 1, 2], "out", accepted);
    // One of the four seeds has no records; a majority of the seeds is enough.
    let mut seeds: Vec<String> = fleet
        .daemons
        .iter()
        .map(|d| d.peer_address.clone())
        .collect();
    let without_records = fleet.add_daemon_in_first_zone(3, &json!({}));
    seeds.push(fleet.daemons[without_records].peer_address.clone());
    let new = fleet.add_daemon_in_first_zone(4, &json!({"peers": seeds}));
    wait_in_force(&fleet, &[new], "out", Instant::now());
    wait_for("the new daemon is ready", || {
        (fleet.operator(new).status()["is_ready"] == json!(true)).then_some(())
    });
    // Without a majority of seeds, a daemon stays not ready.
    assert_eq!(
        fleet.operator(without_records).status()["is_ready"],
        json!(false)
    );
    let generated = fleet.caller(new).generate("[n=3] hello", &json!({}), &[]);
    assert!(generated.is_whole, "all peers are reachable: {generated:?}");
    fleet.set_faults(&json!({}));
    let accepted = Instant::now();
    wait_in_force(&fleet, &[0, 1, 2, without_records, new], "out", accepted);
    assert_revisions_never_fall(&fleet.daemons);
}

#[test]
fn a_daemon_paused_during_a_write_catches_up() {
    let fleet = Fleet::with_daemons_in_one_cell(3);
    fleet.daemons[2].process.pause();
    take_zone_out(&fleet, 0);
    thread::sleep(Duration::from_secs(5));
    fleet.daemons[2].process.unpause();
    wait_in_force(&fleet, &[0, 1, 2], "out", Instant::now());
    assert_revisions_never_fall(&fleet.daemons);
}

#[test]
fn a_silent_watch_is_detected_by_reading_the_revision() {
    let fleet = Fleet::with_daemons_in_one_cell(4);
    wait_for_roles(&fleet);
    fleet.set_faults(&json!({"silent_watches": true}));
    let written = write_at_platform(&fleet, "out");
    wait_in_force(&fleet, &[0, 1, 2, 3], "out", written);
    fleet.set_faults(&json!({}));
    let written = write_at_platform(&fleet, "serving");
    wait_in_force(&fleet, &[0, 1, 2, 3], "serving", written);
    assert_revisions_never_fall(&fleet.daemons);
}

#[test]
fn listeners_read_the_platform_when_both_relays_die() {
    let mut fleet = Fleet::with_daemons_in_one_cell(4);
    let (relays, listeners) = wait_for_roles(&fleet);
    for i in relays {
        fleet.daemons[i].process.kill();
    }
    let written = write_at_platform(&fleet, "out");
    wait_in_force(&fleet, &listeners, "out", written);
    assert_revisions_never_fall(&fleet.daemons);
}

#[test]
fn a_write_spreads_despite_lost_datagrams_and_a_stalled_link() {
    let fleet = Fleet::with_daemons_in_one_cell(4);
    let proxies = put_behind_proxies(&fleet);
    let (_, listeners) = wait_for_roles(&fleet);
    for proxy in &proxies {
        proxy.set_loss_percent(30);
    }
    let accepted = take_zone_out(&fleet, listeners[0]);
    wait_in_force(&fleet, &[0, 1, 2, 3], "out", accepted);
    // This write does not go through a daemon, so listeners receive it from peers
    // only.
    let written = write_at_platform(&fleet, "serving");
    wait_in_force(&fleet, &[0, 1, 2, 3], "serving", written);
    proxies[listeners[0]].set_stalled(true);
    let accepted = take_zone_out(&fleet, listeners[1]);
    wait_in_force(&fleet, &[0, 1, 2, 3], "out", accepted);
    assert_revisions_never_fall(&fleet.daemons);
}

#[test]
fn daemons_serve_without_the_platform_until_they_are_cut_off_from_peers() {
    let mut fleet = Fleet::with_daemons(2);
    let platform_proxy = LinkProxy::start(&fleet.platform_address);
    let overrides = json!({"platform": {"address": platform_proxy.address.to_string()}});
    fleet.add_daemon(2, &overrides);
    fleet.wait_ready();
    let proxies = put_behind_proxies(&fleet);
    fleet.set_faults(&json!({"is_down": true}));
    thread::sleep(Duration::from_secs(5));
    let generate = |i: usize| fleet.caller(i).generate("[n=3] hello", &json!({}), &[]);
    for i in 0..3 {
        assert!(
            generate(i).is_whole,
            "daemon {i} refuses although it reaches its peers"
        );
    }
    platform_proxy.set_cut(true);
    for proxy in &proxies {
        proxy.set_cut(true);
    }
    let since = Instant::now();
    for i in 0..3 {
        wait_for("a daemon that is cut off refuses", || {
            (generate(i).status == 503).then_some(())
        });
    }
    assert!(since.elapsed() < Duration::from_secs(5), "refused too late");
    for proxy in &proxies {
        proxy.set_cut(false);
    }
    for i in 0..3 {
        wait_for("a daemon serves again", || {
            generate(i).is_whole.then_some(())
        });
    }
}

#[test]
fn an_unknown_schema_is_reported_and_leaves_the_last_valid_form_in_force() {
    let fleet = Fleet::with_daemons(2);
    let path = "/v1/objects/records/Service/drafting-desk";
    let status = "/v1/objects/status/records/Service/drafting-desk";
    let platform = |method: &str, path: &str, body: &Value| {
        client::call(method, &fleet.platform_address, path, &[], body)
    };
    let stored = platform("GET", path, &Value::Null).json();
    let mut unknown_version = stored["value"].clone();
    unknown_version["schema"] = json!("bluebelldrift/v9");
    let to = format!("{path}?if_revision={}", stored["revision"]);
    let written = platform("PUT", &to, &unknown_version).json();
    for i in 0..2 {
        wait_for("the record is reported as invalid", || {
            let invalid = fleet.operator(i).status()["invalid"][0].clone();
            (invalid["in_force_revision"] == stored["revision"]).then_some(())
        });
    }
    let object = wait_for("the status object is written", || {
        let answer = platform("GET", status, &Value::Null);
        (answer.status == 200).then(|| answer.json()["value"].clone())
    });
    assert_eq!(object["revision"], written);
    assert_eq!(object["faults"][0]["path"], json!("/schema"));
    assert!(
        fleet
            .caller(1)
            .generate("[n=3] hello", &json!({}), &[])
            .is_whole
    );
    fleet.write_records(&default_records());
    wait_for("the status object is deleted", || {
        (platform("GET", status, &Value::Null).status == 404).then_some(())
    });
}

#[test]
fn records_convert_between_schema_versions_in_both_directions() {
    let fleet = Fleet::with_daemons(1);
    let operator = fleet.operator(0);
    let path = "/v1/records/Service/drafting-desk";
    let mut new = json!({"schema": "bluebelldrift/v2", "kind": "Service", "name": "drafting-desk",
        "spec": {"type": "generation", "model": "denture-7b", "lookup": "/outcome/{key}",
                 "capacity": {"limit": 30, "cold_limit": 3, "ramp_window": "3s", "kv_tokens": 900}}});
    assert_eq!(operator.put_records(&json!([new])).status, 200);
    let mut old = operator
        .call(
            "GET",
            &format!("{path}?schema=bluebelldrift/v1"),
            &Value::Null,
        )
        .json();
    assert_eq!(old["spec"]["limit"], json!(30));
    old["spec"]["limit"] = json!(40);
    old["spec"]["delivery"] = json!("whole");
    assert_eq!(operator.put_records(&json!([old])).status, 200);
    new["spec"]["capacity"]["limit"] = json!(40);
    let held = wait_for("the write in the old schema is in effect", || {
        let held = operator.call("GET", path, &Value::Null).json();
        (held["spec"]["capacity"]["limit"] == json!(40)).then_some(held)
    });
    assert_eq!(held["schema"], json!("bluebelldrift/v2"));
    assert_eq!(held["spec"]["capacity"], new["spec"]["capacity"]);
    assert_eq!(held["spec"]["lookup"], new["spec"]["lookup"]);
    assert_eq!(held["spec"]["delivery"], json!("whole"));
}

#[test]
fn each_fault_is_reported_once_with_its_path_in_the_request() {
    let fleet = Fleet::with_daemons(1);
    let service = |spec: &Value| record("Service", "s", spec);
    let batch = json!([
        service(&json!({"type": "plain", "limit": 2, "cold_limit": 3})),
        record(
            "RoutingIntent",
            "i",
            &json!({"service": "none", "prefer_zones": [ZONE, "nowhere"]})
        ),
    ]);
    let count_fault_paths = |batch: &Value| -> BTreeMap<String, u64> {
        let answer = fleet.operator(0).put_records(batch);
        assert_eq!(answer.status, 422, "{answer:?}");
        let errors = answer.json()["errors"].as_array().unwrap().clone();
        let mut counts = BTreeMap::new();
        for error in errors {
            *counts
                .entry(error["path"].as_str().unwrap().to_owned())
                .or_default() += 1;
        }
        counts
    };
    let once = |paths: &[&str]| paths.iter().map(|p| ((*p).to_owned(), 1)).collect();
    let expected: BTreeMap<_, _> = once(&[
        "/0/spec/cold_limit",
        "/1/spec/service",
        "/1/spec/prefer_zones/1",
    ]);
    assert_eq!(count_fault_paths(&batch), expected);
    let malformed = json!([service(
        &json!({"type": "plain", "limit": 0, "limits": 1, "more": 2})
    )]);
    let expected: BTreeMap<_, _> = once(&[
        "/0/spec/limit",
        "/0/spec/limits",
        "/0/spec/more",
        "/0/spec/cold_limit",
    ]);
    assert_eq!(count_fault_paths(&malformed), expected);
    let stored = client::call(
        "GET",
        &fleet.platform_address,
        "/v1/list?prefix=records/Service/s",
        &[],
        &Value::Null,
    );
    assert_eq!(
        stored.json()["objects"],
        json!([]),
        "no record of an invalid batch is stored"
    );
}
