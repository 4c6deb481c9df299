//! Tests a long platform outage under load: generations and lookups are still
//! served and bookings are refused as not run, even if a daemon and an engine are
//! killed during the outage, and bookings work again after it. It guards against
//! daemons that stop serving when the platform fails, or that run a booking which
//! they refused (docs/PROOFS.md, section 10).

mod common;

use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    Fleet, ZONES,
    check::{self, Attempts},
    wait_for,
};
use serde_json::{Value, json};

/// Length of the platform outage, shortened from five minutes.
const OUTAGE: Duration = Duration::from_secs(15);

/// Continuous generations and lookups, each counted as served or failed.
#[derive(Clone, Default)]
struct BackgroundLoad {
    is_stopped: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
}

impl BackgroundLoad {
    /// Starts a thread that sends requests until the load is stopped.
    fn run(&self, caller: common::Caller, n: usize) -> thread::JoinHandle<()> {
        let load = self.clone();
        thread::spawn(move || {
            while !load.is_stopped.load(Ordering::SeqCst) {
                let prompt = format!("[mark=m{n}] [n=10] report");
                let is_whole = caller.generate(&prompt, &json!({}), &[]).is_whole;
                let lookup = caller.call_service("GET", "/status", None, &Value::Null);
                let served = usize::from(is_whole) + usize::from(lookup.status == 200);
                load.served.fetch_add(served, Ordering::SeqCst);
                load.failed.fetch_add(2 - served, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(20));
            }
        })
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::start();
    fleet.add_service("ledger-1", ZONES[0].0);
    for (zone, _) in ZONES {
        fleet.add_engine(&format!("engine-{zone}"), zone, &[]);
    }
    for i in 0..3 {
        // The configuration becomes stale soon after the outage begins. Daemons
        // must keep serving, since the platform is unreachable for all of them.
        fleet.add_daemon(i, &json!({"timing": {"stale_after": "2s"}}));
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    check::wait_until_serving(&fleet);
    fleet
}

#[test]
fn generations_go_on_and_bookings_are_refused_as_not_run_during_a_platform_outage() {
    let mut fleet = fleet();
    let load = BackgroundLoad::default();
    let mut threads: Vec<_> = (0..4).map(|n| load.run(fleet.caller(n % 2), n)).collect();
    fleet.set_faults(&json!({"is_down": true}));
    let attempts = Attempts::default();
    let outage_start = Instant::now();
    let mut refused_bookings = 0;
    let mut has_killed = false;
    while outage_start.elapsed() < OUTAGE {
        let key = format!("during-{refused_bookings}");
        let refused = attempts.book(&fleet.caller(refused_bookings % 2), &key, &json!({}));
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(
            refused.header("x-bluebell-ran"),
            Some("not-run"),
            "{refused:?}"
        );
        refused_bookings += 1;
        if !has_killed && outage_start.elapsed() > OUTAGE / 2 {
            // A daemon and an engine fail during the outage.
            fleet.daemons[2].process.kill();
            fleet.targets[1].process.kill();
            has_killed = true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let served = load.served.load(Ordering::SeqCst);
    fleet.set_faults(&json!({}));
    for n in 0..refused_bookings {
        let key = format!("during-{n}");
        wait_for("bookings work again", || {
            let answer = attempts.book(&fleet.caller(n % 2), &key, &json!({}));
            (answer.status == 201).then_some(())
        });
    }
    load.is_stopped.store(true, Ordering::SeqCst);
    for thread in threads.drain(..) {
        thread.join().expect("the load thread does not panic");
    }
    let failed = load.failed.load(Ordering::SeqCst);
    println!("refused={refused_bookings} served={served} failed={failed}");
    assert!(
        served > 100,
        "too few requests served during the outage: {served}"
    );
    // A request that ran at the killed engine may fail, at most one for each
    // caller.
    assert!(failed <= 4, "{failed} answers failed");
    let history: &Path = &fleet.targets[0].history;
    let executed = check::count_executions(&[history], "executed", "key");
    check::assert_at_most_once(&executed);
    check::assert_answers_match_executions(&attempts, &executed);
    assert_eq!(
        executed.len(),
        refused_bookings,
        "each booking ran once after the outage, and none during it"
    );
}
