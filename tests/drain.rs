//! Tests that planned stops are graceful: daemons are replaced one by one under
//! load, with long streams open, and no request is interrupted or refused because
//! of it.

mod common;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use common::{Caller, Fleet, client, wait_for};
use serde_json::{Value, json};

/// Time until the balancer notices a change; less than the drain lag of the
/// daemons.
const BALANCER_LAG: Duration = Duration::from_millis(150);
/// Number of daemons that are replaced one by one.
const DAEMONS: usize = 3;

/// A load balancer over the daemons that report ready.
#[derive(Clone, Default)]
struct Balancer(Arc<Mutex<Vec<Caller>>>);

impl Balancer {
    fn pick(&self, i: usize) -> Caller {
        let callers = self
            .0
            .lock()
            .expect("no thread panicked while it held the lock");
        callers[i % callers.len()].clone()
    }

    /// Updates the list of daemons that are ready.
    fn refresh(&self, fleet: &Fleet) {
        let ready = fleet.daemons.iter().filter(|d| is_ready(&d.caller_address));
        let ready: Vec<Caller> = ready.map(|d| Caller::new(&d.caller_address)).collect();
        *self
            .0
            .lock()
            .expect("no thread panicked while it held the lock") = ready;
    }
}

fn is_ready(address: &str) -> bool {
    client::call("GET", address, "/readyz", &[], &Value::Null).status == 200
}

/// Sends requests through the balancer until `stop` is set; returns the failed
/// results.
fn generate_load(balancer: &Balancer, seed: usize, stop: &AtomicBool) -> Vec<String> {
    let mut failures = Vec::new();
    let mut i = seed;
    while !stop.load(Ordering::SeqCst) {
        i += 1;
        let prompt = format!("[mark=c{i}x] [n=5]");
        let generated = balancer.pick(i).generate(&prompt, &json!({}), &[]);
        if !generated.is_whole || generated.token_texts.len() != 5 {
            failures.push(format!("{generated:?}"));
        }
        let key = format!("booking-{i}");
        let booked =
            balancer
                .pick(i)
                .call_service("POST", "/bookings", Some(&key), &json!({"truck": i}));
        if booked.status != 201 {
            failures.push(format!("{booked:?}"));
        }
    }
    failures
}

#[test]
fn rolling_replacement_interrupts_and_refuses_no_request() {
    let mut fleet = Fleet::with_daemons(DAEMONS);
    let balancer = Balancer::default();
    balancer.refresh(&fleet);
    let stop = Arc::new(AtomicBool::new(false));
    // One long stream at each daemon, which lasts longer than the replacement.
    let long: Vec<_> = (0..DAEMONS)
        .map(|i| {
            let caller = fleet.caller(i);
            let prompt = format!("[mark=l{i}x] [n=400]");
            thread::spawn(move || caller.generate(&prompt, &json!({}), &[]))
        })
        .collect();
    let loads: Vec<_> = (0..4)
        .map(|n| {
            let (balancer, stop) = (balancer.clone(), stop.clone());
            thread::spawn(move || generate_load(&balancer, n * 10_000, &stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    for i in [1, 0, 2] {
        let added = fleet.add_daemon(DAEMONS + i, &json!({}));
        wait_for("the new daemon is ready", || {
            is_ready(&fleet.daemons[added].caller_address).then_some(())
        });
        fleet.daemons[i].process.terminate();
        wait_for("the stopping daemon reports not ready", || {
            (!is_ready(&fleet.daemons[i].caller_address)).then_some(())
        });
        thread::sleep(BALANCER_LAG);
        balancer.refresh(&fleet);
    }
    for (i, generating) in long.into_iter().enumerate() {
        let generated = generating.join().expect("the caller's thread ends");
        assert!(generated.is_whole, "{generated:?}");
        let expected: Vec<String> = (0..400).map(|n| format!("l{i}x{n} ")).collect();
        assert_eq!(generated.token_texts, expected);
    }
    for daemon in fleet.daemons.iter_mut().take(DAEMONS) {
        let exit_success = wait_for("the daemon exits when its requests are done", || {
            daemon.process.exit_success()
        });
        assert!(exit_success, "the daemon exits successfully");
    }
    stop.store(true, Ordering::SeqCst);
    for load in loads {
        let failures = load.join().expect("the caller's thread ends");
        assert_eq!(failures, Vec::<String>::new());
    }
}
