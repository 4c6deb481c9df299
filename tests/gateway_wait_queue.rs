//! Tests the order in which held requests are sent, and how many of them. Guards against urgent
//! requests behind others, classes that never have a turn, and daemons that together fill the
//! one engine that looked best in their reports.

use std::{collections::BTreeMap, time::Duration};

use bluebelldrift::gateway::{
    AdmissionDemand as Demand, RELEASE_WINDOW, Room, TargetRoom, WaitQueue, hold_end,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn demand(priority: Option<u8>, arrived: Duration, objective: Duration) -> Demand {
    Demand {
        priority,
        prompt: 1_000,
        objective,
        arrived,
        deadline: arrived + at(5_000),
    }
}

fn order(queue: &mut WaitQueue, now: Duration) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(next) = queue.next(now) {
        order.push(next);
        queue.leave(next);
    }
    order
}

#[test]
fn urgent_requests_go_first_and_then_those_in_time_and_then_the_oldest() {
    let mut queue = WaitQueue::default();
    let now = at(10_000);
    let objective = at(60_000);
    let late = queue.enter(demand(Some(2), at(10_000 - 30), objective));
    let old = queue.enter(demand(Some(2), at(10_000 - 20), objective));
    let urgent = queue.enter(demand(Some(0), now, objective));
    let young = queue.enter(demand(Some(2), at(10_000 - 10), objective));
    let expected: Vec<u64> = [urgent, late, old, young].into_iter().flatten().collect();
    assert_eq!(order(&mut queue, now), expected);

    // Without an objective that can still be met, an older request gives way.
    let missed = queue.enter(demand(None, now, Duration::ZERO));
    let in_time = queue.enter(demand(None, now, objective));
    let expected: Vec<u64> = [in_time, missed].into_iter().flatten().collect();
    assert_eq!(order(&mut queue, now), expected);
}

#[test]
fn the_least_urgent_request_has_a_turn_before_its_hold_ends_under_a_flood_of_urgent_ones() {
    let mut queue = WaitQueue::default();
    let objective = at(10_000);
    let least = demand(Some(9), at(0), objective);
    let number = queue.enter(least).expect("enter the queue");
    // An urgent request arrives each time that the queue is asked.
    let mut times = (0..).step_by(10).map(at);
    let turn = times.find(|now| {
        let urgent = queue.enter(demand(Some(0), *now, objective));
        let is_next = queue.next(*now) == Some(number);
        queue.leave(urgent.expect("enter the queue"));
        is_next
    });
    assert!(turn.is_some_and(|turn| turn < hold_end(&least)), "{turn:?}");
}

#[test]
fn a_queue_is_bounded() {
    let mut queue = WaitQueue::default();
    let entered = (0..1_000).filter_map(|_| queue.enter(demand(None, at(0), at(500))));
    let entered: Vec<u64> = entered.collect();
    assert!(entered.len() < 100, "{}", entered.len());
    assert_eq!(queue.len(), entered.len());
    queue.leave(entered[0]);
    assert!(queue.enter(demand(None, at(0), at(500))).is_some());
}

#[test]
fn a_daemon_sends_its_share_of_the_room_within_one_interval() {
    let mut queue = WaitQueue::default();
    let mut release = |room, daemons, now| queue.try_release(room, daemons, 0.0, now);
    assert!(release(4.0, 2, at(0)));
    // A report that is repeated, or arrives late, does not renew the share.
    assert!(release(4.0, 2, at(10)));
    assert!(!release(4.0, 2, at(20)));
    assert!(release(4.0, 2, RELEASE_WINDOW));
    let mut alone = WaitQueue::default();
    assert!(!alone.try_release(0.5, 1, 0.0, at(0)));
    let mut unknown = WaitQueue::default();
    assert!(unknown.try_release(f64::INFINITY, 340, 0.0, at(0)));
}

const TARGETS: usize = 60;
const SLOTS: u32 = 24;
const HELD_BY_EACH: usize = 6;

/// Returns a room in which the first `with_room` targets begin a request at once, and the
/// others much too late. Each of the first ones takes about as many requests as given.
fn room(with_room: usize, places: f64) -> Room {
    let target = |i: usize| TargetRoom {
        slots: SLOTS,
        requests: if i < with_room { SLOTS } else { 40 * SLOTS },
        unread: 0,
        own_unread: [0; 10],
        is_allowed: true,
    };
    Room {
        targets: (0..TARGETS).map(target).collect(),
        least_urgent: None,
        token_rate: None,
        // A request with an objective of 1.5 s may wait for 4 s.
        queue_rate: Some(places / 4.0),
    }
}

/// Lets all daemons send what they hold within one interval by the same report, each its share
/// among `sharing` daemons. Returns the number of requests at each target.
fn release(daemons: usize, sharing: usize, room: &Room, rng: &mut StdRng) -> BTreeMap<usize, u32> {
    let mut sent = BTreeMap::new();
    let now = at(10_000);
    for _ in 0..daemons {
        let mut queue = WaitQueue::default();
        for _ in 0..HELD_BY_EACH {
            queue.enter(demand(None, now, at(1_500)));
        }
        // Its own sends are known to a daemon at once.
        let mut known = room.clone();
        while let Some(next) = queue.next(now) {
            let request = demand(None, now, at(1_500));
            let until = now + request.objective;
            let places = known.places(&request, now);
            if !queue.try_release(places, sharing, rng.random(), now) {
                break;
            }
            queue.leave(next);
            let fits = |i: &usize| known.may_begin(&known.targets[*i], &request, until, now);
            let fit: Vec<usize> = (0..TARGETS).filter(fits).collect();
            let wait = |i: &usize| known.expected_wait(&known.targets[*i], &request);
            let chosen = fit.sample(rng, 2).copied().min_by_key(wait);
            let chosen = chosen.expect("find a target with room");
            known.targets[chosen].requests += 1;
            *sent.entry(chosen).or_default() += 1;
        }
    }
    sent
}

/// Returns four standard deviations of a number of independent events above its mean.
fn bound(mean: f64) -> f64 {
    mean + 4.0 * mean.sqrt() + 1.0
}

#[test]
fn hundreds_of_daemons_with_the_same_report_do_not_fill_one_engine() {
    for daemons in [142, 340] {
        for (with_room, places) in [(1, 8.0), (3, 8.0), (20, 4.0), (60, 2.0)] {
            for seed in 0..20 {
                let mut rng = StdRng::seed_from_u64(seed);
                let sent = release(daemons, daemons, &room(with_room, places), &mut rng);
                let most = sent.values().copied().max().unwrap_or(0);
                let total: u32 = sent.values().sum();
                let case = format!("daemons={daemons} with_room={with_room} seed={seed} {sent:?}");
                assert!(f64::from(most) <= bound(places), "{case}");
                #[expect(clippy::cast_precision_loss, reason = "a small number")]
                let all_places = with_room as f64 * places;
                assert!(f64::from(total) <= bound(all_places), "{case}");
                // Room is not left unused while requests for it are held.
                assert!(
                    f64::from(total) >= all_places - 4.0 * all_places.sqrt(),
                    "{case}"
                );
            }
        }
    }
}

#[test]
fn daemons_that_each_use_all_of_the_room_fill_one_engine() {
    let mut rng = StdRng::seed_from_u64(0);
    for daemons in [142, 340] {
        let sent = release(daemons, 1, &room(3, 8.0), &mut rng);
        let most = sent.values().copied().max().unwrap_or(0);
        assert!(f64::from(most) > 10.0 * bound(8.0), "{sent:?}");
    }
}
