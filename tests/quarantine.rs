//! Tests that a request that crashes every target it runs on crashes two at most,
//! through whichever daemons it is sent, and that the other requests at those
//! targets are still answered. They guard against a single request that is retried
//! on one target after another and crashes them all (docs/PROOFS.md, section 10).

mod common;

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use bluebelldrift::{
    MessageKey, call_peer,
    quarantine::{
        MARK_LIFETIME, Quarantine, RunRefused, fingerprint, is_trial_target, trial_daemon,
        trial_daemons,
    },
    wire::{CrashNotice, Frame},
};
use common::{Fleet, ZONES, client, history, wait_for};
use proptest::prelude::*;
use serde_json::{Value, json};

const WARM: [&str; 2] = ["--cold-ms", "0"];
/// Number of attempts within which the crashing request must have run twice.
const MAX_ATTEMPTS: usize = 40;
/// Daemon that is the trial daemon of no target once its engine was replaced.
const PASSING: usize = 1;
/// Number of attempts within which a harmless request must be answered after a crash.
const MAX_HARMLESS_ATTEMPTS: usize = 10;
/// Time for which a daemon without room asks callers to wait.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time for which a request waits for room.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts three daemons and three engines, one engine in each availability
/// zone.
fn fleet() -> Fleet {
    let mut fleet = Fleet::start();
    for (zone, _) in ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &WARM);
    }
    for i in 0..3 {
        fleet.add_daemon(i, &json!({}));
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    for i in 0..3 {
        wait_for("a daemon serves and knows its peers", || {
            let peers = fleet.operator(i).status()["peers"].as_array()?.len();
            let probe = fleet
                .caller(i)
                .generate(&format!("[n=1] probe {i}"), &json!({}), &[]);
            (peers == 2 && probe.is_whole).then_some(())
        });
    }
    fleet
}

/// Starts a new engine in the place of each one that crashed, and adds their
/// number to `crashed`.
fn replace_crashed(fleet: &mut Fleet, crashed: &mut usize) {
    for i in 0..fleet.targets.len() {
        let target = &mut fleet.targets[i];
        let was_listed = !target.name.is_empty();
        if was_listed && target.process.exit_success().is_some() {
            let path = format!("/v1/instances/{}", target.name);
            let zone = target.zone.clone();
            target.name.clear();
            let platform = &fleet.platform_address;
            client::call("DELETE", platform, &path, &[], &Value::Null);
            *crashed += 1;
            fleet.add_engine(&format!("engine-new-{crashed}"), &zone, &WARM);
        }
    }
}

/// Sends the crashing request through one daemon.
fn send_crashing(fleet: &Fleet, attempt: usize) -> client::Generated {
    let caller = fleet.caller(attempt % 3);
    let generated = caller.generate("[mark=bad] [n=50] [crash]", &json!({}), &[]);
    assert!(!generated.is_whole, "{generated:?}");
    generated
}

/// Returns how often the crashing request has run. Each run crashes its target.
fn crashing_runs(fleet: &Fleet) -> usize {
    let histories = fleet.targets.iter().map(|t| &*t.history);
    let admitted = histories.flat_map(|path| history::events_named(path, "admitted"));
    let crashing = admitted.filter(|found| found.detail["mark"] == json!("bad"));
    crashing.count()
}

#[test]
fn a_crashing_request_crashes_two_targets_and_other_requests_are_answered() {
    let mut fleet = fleet();
    let others: Vec<_> = (0..6)
        .map(|n| {
            let caller = fleet.caller(n % 3);
            thread::spawn(move || {
                let prompt = format!("[mark=n{n}] [n=60] report");
                let mut failures = Vec::new();
                for _ in 0..20 {
                    let generated = caller.generate(&prompt, &json!({}), &[]);
                    if generated.is_whole {
                        return Ok(());
                    }
                    assert_ne!(generated.status, 422, "a harmless request is quarantined");
                    let has_no_room = generated.status == 429;
                    failures.push((generated.status, generated.ran, generated.error));
                    let pause = Duration::from_millis(100);
                    thread::sleep(if has_no_room { RETRY_AFTER } else { pause });
                }
                Err(failures)
            })
        })
        .collect();
    let mut crashed = 0;
    let mut attempts = 0;
    while crashing_runs(&fleet) < 2 {
        assert!(
            attempts < MAX_ATTEMPTS,
            "the crashing request ran less than twice in {attempts} attempts"
        );
        let before = crashing_runs(&fleet);
        let generated = send_crashing(&fleet, attempts);
        assert_ne!(
            generated.status, 422,
            "quarantined after {before} crashes: {generated:?}"
        );
        // Before the request is quarantined, it may be refused because no target
        // is free for its trial.
        if generated.status != 200 {
            assert!(generated.ran.is_some(), "{generated:?}");
        }
        if generated.ran.as_deref() == Some("not-run") {
            assert_eq!(crashing_runs(&fleet), before, "{generated:?}");
        }
        attempts += 1;
        thread::sleep(Duration::from_millis(50));
        replace_crashed(&mut fleet, &mut crashed);
    }
    // From the next attempt on, every daemon refuses it at once, also while it
    // has no room.
    for attempt in attempts..attempts + 12 {
        let sent_at = Instant::now();
        let generated = send_crashing(&fleet, attempt);
        assert_eq!(generated.status, 422, "{generated:?}");
        assert_eq!(generated.ran.as_deref(), Some("not-run"), "{generated:?}");
        assert!(sent_at.elapsed() < QUEUE_TIMEOUT, "it waited for room");
        thread::sleep(Duration::from_millis(50));
        replace_crashed(&mut fleet, &mut crashed);
    }
    assert_eq!(crashing_runs(&fleet), 2, "runs of the crashing request");
    assert!(crashed <= 2, "{crashed} targets crashed");
    for other in others {
        let answered = other.join().expect("the thread ends");
        assert!(
            answered.is_ok(),
            "a harmless request was not answered: {answered:?}"
        );
    }
    // A request with another body is not quarantined.
    let other = fleet.caller(0).generate("[n=5] other", &json!({}), &[]);
    assert!(other.is_whole, "{other:?}");
}

/// Guards against a harmless request that a crash marked and that a daemon refuses
/// until the mark lapses, because it is the trial daemon of no target.
#[test]
fn a_harmless_request_is_answered_by_the_trial_daemon_of_no_target() {
    const DAEMON: usize = 1;
    let mut fleet = fleet();
    let caller = fleet.caller(DAEMON);
    let harmless = thread::spawn(move || {
        let generated = (0..MAX_HARMLESS_ATTEMPTS).map(|attempt| {
            thread::sleep(RETRY_AFTER * u32::from(attempt > 0));
            caller.generate("[mark=harmless] [n=200] report", &json!({}), &[])
        });
        let mut failures = Vec::new();
        for generated in generated {
            if generated.is_whole {
                return (failures, true);
            }
            failures.push((generated.status, generated.ran, generated.error));
        }
        (failures, false)
    });
    wait_for("the harmless request runs", || {
        let histories = fleet.targets.iter().map(|t| &*t.history);
        let mut admitted = histories.flat_map(|path| history::events_named(path, "admitted"));
        admitted
            .any(|found| found.detail["mark"] == json!("harmless"))
            .then_some(())
    });
    send_crashing(&fleet, DAEMON);
    // The next engine is named `engine-new-2`.
    let mut crashed = 1;
    wait_for("the crashed engine is replaced", || {
        replace_crashed(&mut fleet, &mut crashed);
        (crashed == 2).then_some(())
    });
    let listed = fleet.targets.iter().filter(|t| !t.name.is_empty());
    let mut names = listed.map(|t| &*t.name);
    assert!(
        !names.any(|name| is_trial_target(name, DAEMONS[DAEMON], DAEMONS)),
        "the daemon is the trial daemon of a target"
    );
    let (failures, is_answered) = harmless.join().expect("the thread ends");
    assert!(!failures.is_empty(), "its first run did not break");
    assert!(is_answered, "it was not answered: {failures:?}");
}

/// Starts a fleet and breaks a harmless request, which `send` sends through daemon
/// `PASSING`, by a crash. The daemon is then the trial daemon of no target.
fn fleet_after_crash(send: impl FnOnce(client::Caller) + Send + 'static) -> Fleet {
    let mut fleet = fleet();
    let caller = fleet.caller(PASSING);
    let harmless = thread::spawn(move || send(caller));
    wait_for("the harmless request runs", || {
        let histories = fleet.targets.iter().map(|t| &*t.history);
        let mut admitted = histories.flat_map(|path| history::events_named(path, "admitted"));
        admitted
            .any(|found| found.detail["mark"] == json!("harmless"))
            .then_some(())
    });
    send_crashing(&fleet, PASSING);
    let mut crashed = 1;
    wait_for("the crashed engine is replaced", || {
        replace_crashed(&mut fleet, &mut crashed);
        (crashed == 2).then_some(())
    });
    harmless.join().expect("the thread ends");
    fleet
}

/// Returns the name of the daemon to which daemon `PASSING` last passed a request on.
fn passed_on_to(fleet: &Fleet) -> Option<String> {
    let log = std::fs::read_to_string(&fleet.daemons[PASSING].log).ok()?;
    let mut lines = log.lines().rev();
    let line = lines.find(|l| l.contains("event=trial_forwarded"))?;
    line.rsplit_once("daemon=").map(|(_, name)| name.to_owned())
}

/// Guards against a stream that looks complete, or never ends, because the daemon
/// to which its request was passed on died.
#[test]
fn a_stream_that_was_passed_on_ends_with_an_error_if_its_daemon_dies() {
    const PROMPT: &str = "[mark=harmless] [n=200] report";
    let mut fleet = fleet_after_crash(|caller| {
        let generated = caller.generate(PROMPT, &json!({}), &[]);
        assert!(!generated.is_whole, "it did not break: {generated:?}");
    });
    let caller = fleet.caller(PASSING);
    let mut stream = wait_for("the request runs at another daemon", || {
        let stream = caller.open_stream(PROMPT, &json!({}), &[]).ok()?;
        (stream.answer.status == 200).then_some(stream)
    });
    let first = stream.next().expect("a token arrives");
    assert!(first.id.is_some(), "{first:?}");
    let name = passed_on_to(&fleet).expect("the request was passed on");
    let daemon = fleet.daemons.iter_mut().find(|d| d.name == name);
    daemon.expect("the daemon is known").process.kill();
    let generated = client::collect(stream);
    assert!(!generated.is_whole, "{generated:?}");
    let error = generated.error.expect("the stream ends with an error");
    assert_eq!(error["error"]["ran"], json!("ran"), "{error}");
    wait_for("it is answered through the daemons that are left", || {
        let generated = caller.generate(PROMPT, &json!({}), &[]);
        assert_ne!(generated.status, 422, "a harmless request is quarantined");
        generated.is_whole.then_some(())
    });
}

/// Guards against a response that is not streamed and that is not passed on.
#[test]
fn a_request_that_is_not_streamed_is_answered_by_the_trial_daemon_of_no_target() {
    const PROMPT: &str = "[mark=harmless] [n=200] report";
    let is_whole = |answer: &client::Answer| {
        answer.status == 200 && answer.json()["usage"]["completion_tokens"] == json!(200)
    };
    let fleet = fleet_after_crash(move |caller| {
        for attempt in 0..MAX_HARMLESS_ATTEMPTS {
            thread::sleep(RETRY_AFTER * u32::from(attempt > 0));
            let answer = caller.complete(PROMPT);
            assert_ne!(answer.status, 422, "a harmless request is quarantined");
            if is_whole(&answer) {
                return;
            }
        }
        panic!("it was not answered");
    });
    assert!(passed_on_to(&fleet).is_some(), "it was not passed on");
}

/// Prompt of the requests whose marks the tests set by crash notices.
const NOTED_PROMPT: &str = "[mark=noted] [n=5] report";

/// Tells a daemon that requests with [`NOTED_PROMPT`] crashed one target, and how
/// often one was the only suspect.
fn send_notice(fleet: &Fleet, daemon: usize, sole_suspect_crashes: u32) {
    let body = json!({"model": "drafting-desk", "prompt": NOTED_PROMPT, "stream": true});
    let notice = CrashNotice {
        fingerprint: fingerprint("clinic", body.to_string().as_bytes()),
        crashes: 1,
        sole_suspect_crashes,
    };
    let address = fleet.daemons[daemon].peer_address.parse();
    let address = address.expect("parse the address of the daemon");
    let message_key = MessageKey::new("peer-key-of-the-tests");
    let call = call_peer(
        &message_key,
        address,
        Frame::CrashNotice(notice),
        common::WAIT_TIMEOUT,
    );
    let runtime = tokio::runtime::Runtime::new().expect("start a runtime");
    let told: Result<Frame, _> = runtime.block_on(call);
    assert_eq!(told.expect("the daemon answers"), Frame::Acknowledged);
}

/// Guards against a quarantined request that keeps its caller for the whole queue
/// timeout, because its verdict came while it waited for room.
#[test]
fn a_request_that_is_quarantined_while_it_waits_for_room_is_refused_at_once() {
    const LONG_QUEUE_TIMEOUT: Duration = Duration::from_secs(15);
    let mut fleet = Fleet::start();
    fleet.add_daemon(0, &json!({"timing": {"queue_timeout": "15s"}}));
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    let caller = fleet.caller(0);
    let waiting = thread::spawn(move || {
        // There is no engine, and so no room.
        let generated = caller.generate(NOTED_PROMPT, &json!({}), &[]);
        (generated, Instant::now())
    });
    thread::sleep(Duration::from_millis(500));
    assert!(!waiting.is_finished(), "it did not wait for room");
    let told_at = Instant::now();
    send_notice(&fleet, 0, 1);
    let (generated, refused_at) = waiting.join().expect("the thread ends");
    assert_eq!(generated.status, 422, "{generated:?}");
    assert_eq!(generated.ran.as_deref(), Some("not-run"), "{generated:?}");
    let waited = refused_at - told_at;
    assert!(waited < LONG_QUEUE_TIMEOUT / 3, "refused after {waited:?}");
}

/// Guards against a quarantined request whose caller is asked to send it again: its
/// daemon did not hear the verdict, and passes it on to one that did.
#[test]
fn a_request_that_is_quarantined_at_its_trial_daemon_is_refused_as_such() {
    const TRIAL_DAEMON: usize = 0;
    let mut fleet = Fleet::start();
    let is_tried_there =
        |name: &String| is_trial_target(name, DAEMONS[TRIAL_DAEMON], DAEMONS[..2].iter().copied());
    let engine = names("engine", 100).into_iter().find(is_tried_there);
    let engine = engine.expect("the daemon is the trial daemon of an engine");
    fleet.add_engine(&engine, ZONES[0].0, &WARM);
    for i in [TRIAL_DAEMON, PASSING] {
        fleet.add_daemon(i, &json!({}));
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    wait_for("the daemon knows its peer", || {
        let peers = fleet.operator(PASSING).status()["peers"].as_array()?.len();
        (peers == 1).then_some(())
    });
    send_notice(&fleet, TRIAL_DAEMON, 1);
    send_notice(&fleet, PASSING, 0);
    let caller = fleet.caller(PASSING);
    let generated = caller.generate(NOTED_PROMPT, &json!({}), &[]);
    assert_eq!(passed_on_to(&fleet).as_deref(), Some(DAEMONS[TRIAL_DAEMON]));
    assert_eq!(generated.status, 422, "{generated:?}");
    assert_eq!(generated.ran.as_deref(), Some("not-run"), "{generated:?}");
    let admitted = history::events_named(&fleet.targets[0].history, "admitted");
    assert!(admitted.is_empty(), "it ran");
}

/// Returns `count` names that begin with `prefix`.
fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{prefix}-{i}")).collect()
}

/// Guards against a marked request that no daemon runs: with more daemons than
/// targets, most are the trial daemon of none and pass it on.
#[test]
fn a_daemon_without_a_trial_target_passes_a_marked_request_on_to_one_that_has_some() {
    for (daemons, targets) in [(340, 600), (600, 340), (340, 2), (3, 1), (1, 3)] {
        let (daemons, targets) = (names("entry", daemons), names("engine", targets));
        let daemons: Vec<&str> = daemons.iter().map(String::as_str).collect();
        let on_trial = trial_daemons(targets.iter().map(String::as_str), &daemons);
        let of_targets = targets
            .iter()
            .map(|t| trial_daemon(t, daemons.iter().copied()));
        let of_targets: BTreeSet<&str> = of_targets.flatten().collect();
        assert!(!on_trial.is_empty(), "no daemon runs marked requests");
        assert_eq!(on_trial.len(), of_targets.len(), "a daemon is named twice");
        assert_eq!(BTreeSet::from_iter(on_trial), of_targets);
    }
    assert!(trial_daemons([], &DAEMONS).is_empty(), "there is no target");
}

/// Request that crashes its target in the property test; the others are harmless.
const CRASHING: u8 = 0;
/// Daemons in the property test.
const DAEMONS: [&str; 3] = ["entry-0", "entry-1", "entry-2"];

fn fingerprint_of(request: u8) -> [u8; 16] {
    fingerprint("clinic", &[request])
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x9a2a),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Runs one copy of each request at a time, through any of three daemons
    /// that are notified of each crash before its caller. A daemon runs marked
    /// requests only at its own trial targets.
    #[test]
    fn a_crashing_request_crashes_two_targets_at_most_and_harmless_ones_are_not_quarantined(
        steps in prop::collection::vec((0u8..6, 0usize..3, 0usize..4), 1..120),
    ) {
        let mut daemons: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
        let mut running: Vec<(u8, usize, usize, u64)> = Vec::new();
        let now = Duration::from_secs(1);
        let mut crashes = 0;
        for (request, daemon, target) in steps {
            let name = format!("engine-{target}");
            if let Some(index) = running.iter().position(|r| r.0 == request) {
                let (_, daemon, target, number) = running.swap_remove(index);
                let name = format!("engine-{target}");
                let cleared = daemons[daemon].end(&name, number, true);
                notify_others(&mut daemons, daemon, cleared, now);
                continue;
            }
            let is_marked = daemons[daemon].is_marked(&fingerprint_of(request), now);
            if is_marked && !is_trial_target(&name, DAEMONS[daemon], DAEMONS) {
                continue;
            }
            match daemons[daemon].begin(fingerprint_of(request), &name, now) {
                Ok(_) if request == CRASHING => {
                    crashes += 1;
                    prop_assert!(crashes <= 2);
                    // Each daemon detects the crash by its own runs.
                    running.retain(|r| r.2 != target);
                    for d in 0..3 {
                        let notices = daemons[d].on_crash(&name, now);
                        notify_others(&mut daemons, d, notices, now);
                    }
                }
                Ok(number) => running.push((request, daemon, target, number)),
                Err(RunRefused::Quarantined) => prop_assert_eq!(request, CRASHING),
                Err(RunRefused::TrialBusy) => {}
            }
        }
        prop_assert!(!daemons[0].is_quarantined(&fingerprint_of(CRASHING), now + MARK_LIFETIME));
    }

    /// Each target has one trial daemon, and each daemon runs a marked request or
    /// names one that does, also with more daemons than targets.
    #[test]
    fn a_target_has_one_trial_daemon_and_a_marked_request_finds_one_from_any_daemon(
        salt in 0u32..1_000_000, daemons in 1usize..24, targets in 1usize..12,
    ) {
        let daemons = names(&format!("entry-{salt}"), daemons);
        let targets = names(&format!("engine-{salt}"), targets);
        let daemons: Vec<&str> = daemons.iter().map(String::as_str).collect();
        let targets: Vec<&str> = targets.iter().map(String::as_str).collect();
        let has_trial = |daemon: &str| {
            let mut targets = targets.iter();
            targets.any(|t| is_trial_target(t, daemon, daemons.iter().copied()))
        };
        for target in &targets {
            let all = daemons.iter().copied();
            let on_trial = all.filter(|d| is_trial_target(target, d, daemons.iter().copied()));
            prop_assert_eq!(on_trial.count(), 1);
        }
        let named = trial_daemons(targets.iter().copied(), &daemons);
        prop_assert!(!named.is_empty());
        for daemon in &daemons {
            prop_assert_eq!(has_trial(daemon), named.contains(daemon));
        }
    }
}

#[test]
fn a_mark_that_is_passed_on_is_the_same_at_another_daemon() {
    let now = Duration::from_secs(1);
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    let fingerprint = fingerprint_of(1);
    assert_eq!(one.notice_of(&fingerprint, now), None);
    for _ in 0..2 {
        one.begin(fingerprint, "t", now).expect("it may run");
        one.on_crash("t", now);
    }
    let notice = one.notice_of(&fingerprint, now).expect("it is marked");
    other.apply_notice(&notice, now);
    assert!(other.is_quarantined(&fingerprint, now));
    assert_eq!(other.notice_of(&fingerprint, now), Some(notice));
}

fn notify_others(
    daemons: &mut [Quarantine],
    from: usize,
    notices: impl IntoIterator<Item = CrashNotice>,
    now: Duration,
) {
    for notice in notices {
        for (i, daemon) in daemons.iter_mut().enumerate() {
            if i != from {
                daemon.apply_notice(&notice, now);
            }
        }
    }
}

#[test]
fn marked_requests_are_not_on_trial_at_the_same_target() {
    let now = Duration::from_secs(1);
    let mut quarantine = Quarantine::default();
    let all: BTreeSet<u8> = (0..3).collect();
    for request in &all {
        assert!(
            quarantine
                .begin(fingerprint_of(*request), "engine-0", now)
                .is_ok()
        );
    }
    assert_eq!(quarantine.on_crash("engine-0", now).len(), 3);
    assert!(
        quarantine.on_crash("engine-0", now).is_empty(),
        "the second report of a crash marks no request"
    );
    let first = quarantine
        .begin(fingerprint_of(0), "engine-1", now)
        .expect("the target is free");
    assert_eq!(
        quarantine.begin(fingerprint_of(1), "engine-1", now),
        Err(RunRefused::TrialBusy)
    );
    assert_eq!(
        quarantine.begin(fingerprint_of(0), "engine-2", now),
        Err(RunRefused::TrialBusy)
    );
    quarantine.end_trial("engine-1", first);
    assert!(quarantine.begin(fingerprint_of(1), "engine-1", now).is_ok());
}

#[test]
fn one_crash_seen_by_two_daemons_counts_once() {
    let now = Duration::from_secs(1);
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    for daemon in [&mut one, &mut other] {
        daemon
            .begin(fingerprint_of(1), "t", now)
            .expect("the request may run");
    }
    for notice in one.on_crash("t", now) {
        other.apply_notice(&notice, now);
    }
    for notice in other.on_crash("t", now) {
        one.apply_notice(&notice, now);
    }
    for daemon in [&one, &other] {
        assert!(daemon.is_marked(&fingerprint_of(1), now));
        assert!(
            !daemon.is_quarantined(&fingerprint_of(1), now),
            "only one target crashed"
        );
    }
}

/// Two runs are broken by one crash; the second one is found to be lost only after a
/// further run has begun at the target, which has restarted.
#[test]
fn a_late_report_of_a_crash_does_not_count_against_a_run_begun_since() {
    let now = Duration::from_secs(1);
    let mut quarantine = Quarantine::default();
    let mut begin = || {
        let begun = quarantine.begin(fingerprint_of(1), "t", now);
        begun.expect("the request may run")
    };
    let (first, second) = (begin(), begin());
    assert_eq!(quarantine.on_run_crashed("t", first, now).len(), 1);
    quarantine
        .begin(fingerprint_of(1), "t", now)
        .expect("the request may run on trial");
    assert!(quarantine.on_run_crashed("t", second, now).is_empty());
    assert!(
        !quarantine.is_quarantined(&fingerprint_of(1), now),
        "only one target crashed"
    );
}
