//! Promise 10: the platform is down for a long while under load.

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

/// How long the platform is down; five minutes, shortened.
const OUTAGE: Duration = Duration::from_secs(15);

/// Generations and lookups without end, each counted as served or not.
#[derive(Clone, Default)]
struct Load {
    is_over: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
}

impl Load {
    fn run(&self, caller: common::Caller, n: usize) -> thread::JoinHandle<()> {
        let load = self.clone();
        thread::spawn(move || {
            while !load.is_over.load(Ordering::SeqCst) {
                let prompt = format!("[mark=m{n}] [n=10] report");
                let is_whole = caller.generate(&prompt, &json!({}), &[]).is_whole;
                let lookup = caller.service("GET", "/status", None, &Value::Null);
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
        // A platform that is gone for all daemons must not stop them.
        fleet.add_daemon(i, &json!({"timing": {"stale_after": "2s"}}));
    }
    fleet.write_records(&common::default_records());
    fleet.wait_ready();
    check::wait_serving(&fleet);
    fleet
}

#[test]
fn generations_go_on_and_bookings_are_refused_truthfully_while_the_platform_is_down() {
    let mut fleet = fleet();
    let load = Load::default();
    let mut threads: Vec<_> = (0..4).map(|n| load.run(fleet.caller(n % 2), n)).collect();
    fleet.set_faults(&json!({"is_down": true}));
    let attempts = Attempts::default();
    let began = Instant::now();
    let mut booked = 0;
    let mut is_replaced = false;
    while began.elapsed() < OUTAGE {
        let key = format!("during-{booked}");
        let refused = attempts.book(&fleet.caller(booked % 2), &key, &json!({}));
        assert_eq!(refused.status, 503, "{refused:?}");
        assert_eq!(
            refused.header("x-bluebell-ran"),
            Some("not-run"),
            "{refused:?}"
        );
        booked += 1;
        if !is_replaced && began.elapsed() > OUTAGE / 2 {
            // Two faults at once, and one daemon less.
            fleet.daemons[2].process.kill();
            fleet.targets[1].process.kill();
            is_replaced = true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let served = load.served.load(Ordering::SeqCst);
    fleet.set_faults(&json!({}));
    for n in 0..booked {
        let key = format!("during-{n}");
        wait_for("bookings work again", || {
            let answer = attempts.book(&fleet.caller(n % 2), &key, &json!({}));
            (answer.status == 201).then_some(())
        });
    }
    load.is_over.store(true, Ordering::SeqCst);
    for thread in threads.drain(..) {
        thread.join().expect("the caller's thread ends");
    }
    let failed = load.failed.load(Ordering::SeqCst);
    println!("refused={booked} served={served} failed={failed}");
    assert!(served > 100, "the load went on: {served}");
    // What ran at the killed engine is lost at most once for each caller.
    assert!(failed <= 4, "{failed} answers failed");
    let history: &Path = &fleet.targets[0].history;
    let executed = check::executions(&[history], "executed", "key");
    check::assert_at_most_once(&executed);
    check::assert_truthful(&attempts, &executed);
    assert_eq!(
        executed.len(),
        booked,
        "each ran after the outage, and none before"
    );
}
