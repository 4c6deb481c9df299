//! Replays loads against the decision on whether a request to an engine is sent or rejected.
//! Guards against queues in which requests end at their deadline, and against rejections of
//! requests that an engine could still have begun.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times and counts of a replay are small and not negative"
)]

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use bluebelldrift::gateway::{
    AdmissionDemand as Demand, AdmissionVerdict as Verdict, HeldNumber, Room, ServiceRates,
    TargetRoom, WaitQueue, decide_admission as decide, hold_end,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const NOW: Duration = Duration::from_secs(100);

/// Returns a target with `requests` of 8 slots and as many unread tokens as given.
fn target(requests: u32, unread: u64) -> TargetRoom {
    TargetRoom {
        slots: 8,
        requests,
        unread,
        own_unread: [0; 10],
        is_allowed: true,
    }
}

/// Returns targets whose queues shorten by 1,000 tokens and one request a second.
fn room(targets: &[TargetRoom]) -> Room {
    Room {
        targets: targets.to_vec(),
        least_urgent: None,
        token_rate: Some(1_000.0),
        queue_rate: Some(1.0),
    }
}

fn demand(left_ms: u64) -> Demand {
    Demand {
        priority: None,
        prompt: 1_000,
        objective: at(left_ms / 4),
        arrived: NOW,
        deadline: NOW + at(left_ms),
    }
}

fn is_refused(demand: &Demand, room: &Room) -> bool {
    matches!(decide(demand, room, NOW, 0.5), Verdict::Refuse { .. })
}

#[test]
fn a_request_is_refused_only_if_no_target_can_begin_it() {
    let hopeless = target(40, 60_000);
    assert!(is_refused(&demand(5_000), &room(&[hopeless, hopeless])));
    assert!(!is_refused(&demand(60_000), &room(&[hopeless, hopeless])));
    assert!(!is_refused(
        &demand(5_000),
        &room(&[hopeless, target(10, 3_000)])
    ));
    // A queue of requests that state no tokens is known by its length.
    assert!(is_refused(&demand(5_000), &room(&[target(40, 0)])));
}

#[test]
fn a_target_to_which_the_request_may_not_be_sent_is_no_room_for_it() {
    let elsewhere = TargetRoom {
        is_allowed: false,
        ..target(0, 0)
    };
    let hopeless = target(40, 60_000);
    assert!(is_refused(&demand(5_000), &room(&[hopeless, elsewhere])));
    // Without any target, the refusal names another reason.
    assert!(!is_refused(&demand(5_000), &room(&[elsewhere])));
    assert!(!is_refused(&demand(5_000), &room(&[])));
}

#[test]
fn nothing_is_refused_while_half_of_the_places_are_free_and_nothing_waits() {
    // Long prompts to be read, but few requests.
    let unread = 1_000_000;
    assert!(!is_refused(
        &demand(1),
        &room(&[target(3, unread), target(4, unread)])
    ));
    assert!(is_refused(
        &demand(1),
        &room(&[target(4, unread), target(4, unread)])
    ));
    // Of many free places, one request more than a target's own waits there.
    let waiting = [target(9, unread), target(0, unread), target(0, unread)];
    assert!(is_refused(&demand(1), &room(&waiting)));
}

#[test]
fn a_daemon_without_measurements_or_reports_refuses_nothing() {
    let unmeasured = Room {
        token_rate: None,
        queue_rate: None,
        ..room(&[target(80, 1_000_000)])
    };
    assert!(!is_refused(&demand(1), &unmeasured));
    // Reports stopped, or have not come yet: no work is known.
    assert!(!is_refused(&demand(1), &room(&[target(0, 0)])));
}

#[test]
fn only_work_that_is_known_to_be_as_urgent_is_ahead() {
    let mut own_unread = [0; 10];
    own_unread[2] = 60_000;
    let room = Room {
        least_urgent: Some(5),
        ..room(&[TargetRoom {
            own_unread,
            ..target(40, 90_000)
        }])
    };
    let with = |priority| Demand {
        priority: Some(priority),
        ..demand(5_000)
    };
    // It passes this daemon's requests of priority 2; those of others may be less urgent.
    assert!(!is_refused(&with(1), &room));
    assert!(is_refused(&with(2), &room));
    assert!(is_refused(&with(5), &room));
    let others_only = Room {
        targets: vec![target(40, 90_000)],
        ..room
    };
    assert!(!is_refused(&with(2), &others_only));
    assert!(is_refused(&with(5), &others_only));
}

#[test]
fn a_request_is_held_only_if_no_target_begins_it_within_its_objective() {
    // An objective of 1 s: an expected wait of 3 s may still be in time.
    let demand = demand(4_000);
    let verdict = |requests, now| decide(&demand, &room(&[target(requests, 0)]), now, 0.5);
    assert_eq!(verdict(8 + 2, NOW), Verdict::Send);
    assert_eq!(verdict(8 + 4, NOW), Verdict::Wait);
    // Never for longer than an eighth of the objective.
    assert_eq!(verdict(8 + 4, NOW + at(124)), Verdict::Send);
    let with_other = room(&[target(8 + 4, 0), target(8, 0)]);
    assert_eq!(decide(&demand, &with_other, NOW, 0.5), Verdict::Send);
    // Neither while few places are taken, nor without measurements.
    assert_eq!(verdict(3, NOW), Verdict::Send);
    let unmeasured = Room {
        token_rate: None,
        queue_rate: None,
        ..room(&[target(80, 1_000_000)])
    };
    assert_eq!(decide(&demand, &unmeasured, NOW, 0.5), Verdict::Send);
}

#[test]
fn returns_are_spread_over_the_time_in_which_room_is_expected() {
    // The queue of 9 s is admissible for a request with 2 s left once it is down to 5 s: twice
    // the time left and a second for the age of reports.
    let unread = |tokens| Room {
        queue_rate: None,
        ..room(&[target(16, tokens)])
    };
    let demand = demand(2_000);
    let retry = |spread| match decide(&demand, &unread(9_000), NOW, spread) {
        Verdict::Refuse { retry_after } => retry_after,
        Verdict::Send | Verdict::Wait => panic!("a request without room was not refused"),
    };
    assert_eq!([retry(0.0), retry(1.0)], [at(4_000), at(9_000)]);
    assert!(retry(0.2) < retry(0.3));
    assert!(!is_refused(&demand, &unread(9_000 - 4_000)));
    assert!(is_refused(&demand, &unread(9_000 - 3_900)));
}

/// An engine that admits requests in the order of their arrival to its slots, and reads one
/// prompt at a time. Requests that have not begun leave at their deadline.
#[derive(Clone)]
struct Engine {
    tokens_per_ms: f64,
    queue: VecDeque<Waiting>,
    /// Ends of the runs that have begun; `None` as long as their prompts are read.
    ends: Vec<u64>,
    reading: Option<(Waiting, f64)>,
    run_ms: u64,
    slowness: f64,
}

#[derive(Clone, Copy)]
struct Waiting {
    id: u64,
    prompt: u64,
    deadline: u64,
}

const SLOTS: usize = 8;
/// Time from one state of the replay to the next. Short compared with all other times.
const STEP_MS: usize = 10;

impl Engine {
    /// Passes one step; returns the request that has begun to produce events, and
    /// those that left at their deadline.
    fn pass(&mut self, now: u64) -> (Option<u64>, Vec<u64>) {
        let expired = self.queue.iter().filter(|w| w.deadline <= now);
        let expired = expired.map(|w| w.id).collect();
        self.queue.retain(|w| w.deadline > now);
        self.ends.retain(|end| *end > now);
        if self.reading.is_none()
            && self.ends.len() < SLOTS
            && let Some(next) = self.queue.pop_front()
        {
            self.reading = Some((next, next.prompt as f64));
        }
        let mut begun = None;
        if let Some((request, left)) = &mut self.reading {
            *left -= self.tokens_per_ms * STEP_MS as f64 / self.slowness;
            if *left <= 0.0 {
                begun = Some(request.id);
                self.ends
                    .push(now + (self.run_ms as f64 * self.slowness) as u64);
                self.reading = None;
            }
        }
        (begun, expired)
    }

    fn room(&self) -> TargetRoom {
        let reading = self.reading.as_ref().map(|(w, _)| w.prompt);
        let queued: u64 = self.queue.iter().map(|w| w.prompt).sum();
        let requests = self.queue.len() + self.ends.len() + usize::from(reading.is_some());
        TargetRoom {
            slots: u32::try_from(SLOTS).expect("count the slots"),
            requests: u32::try_from(requests).expect("count the requests"),
            unread: queued + reading.unwrap_or(0),
            own_unread: [0; 10],
            is_allowed: true,
        }
    }

    /// Returns whether a request that arrives now would produce its first event in time, with
    /// nothing behind it. Requests ahead of it leave at their deadline only if `they_leave`.
    fn could_begin(&self, request: Waiting, now: u64, they_leave: bool) -> bool {
        let mut engine = self.clone();
        if !they_leave {
            engine.queue.iter_mut().for_each(|w| w.deadline = u64::MAX);
        }
        engine.queue.push_back(request);
        let mut times = (now..request.deadline).step_by(STEP_MS);
        times.any(|time| engine.pass(time).0 == Some(request.id))
    }
}

#[derive(Debug, Default)]
struct Outcome {
    sent: u32,
    begun: u32,
    expired: u32,
    refused: u32,
    held: u32,
    begun_in_time: u32,
    /// Largest part of its objective for which a request was held.
    longest_hold: f64,
    /// Refused requests that an engine could have begun, given the queue ahead of them.
    wrongly_refused: u32,
    /// Refused requests that could have begun because others before them left at their
    /// deadline, in place of another request.
    could_have_displaced: u32,
}

fn start_engines(is_uniform: bool) -> Vec<Engine> {
    let engine = |i: usize| {
        // A third of the engines take 1.3 times as long.
        let slowness = if i.is_multiple_of(3) && !is_uniform {
            1.3
        } else {
            1.0
        };
        Engine {
            tokens_per_ms: 10.0 / slowness,
            queue: VecDeque::new(),
            ends: Vec::new(),
            reading: None,
            run_ms: (2_000.0 * slowness) as u64,
            slowness: 1.0,
        }
    };
    (0..9).map(engine).collect()
}

/// Returns how many requests the engines can run in a second.
fn requests_per_s(engines: &[Engine]) -> f64 {
    engines
        .iter()
        .map(|e| SLOTS as f64 * 1_000.0 / (e.run_ms as f64 + 1_000.0 / e.tokens_per_ms))
        .sum()
}

/// Plays a load with `load` times the requests that the engines can run, at daemons whose
/// knowledge is `REPORT_MS` old. Engines and deadlines differ unless `is_uniform`.
fn play(load: f64, is_uniform: bool, has_admission: bool, seed: u64) -> Outcome {
    play_with(load, is_uniform, has_admission, seed, 1.0)
}

/// Does the same; from 10 to 20 s all engines are `slowdown` times as slow, as after a restart.
fn play_with(
    load: f64,
    is_uniform: bool,
    has_admission: bool,
    seed: u64,
    slowdown: f64,
) -> Outcome {
    const REPORT_MS: usize = 400;
    const DAEMONS: usize = 12;
    const PLAYED_MS: u64 = 40_000;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut engines = start_engines(is_uniform);
    let capacity_per_s = requests_per_s(&engines);
    let rates: Vec<ServiceRates> = (0..DAEMONS).map(|_| ServiceRates::default()).collect();
    let mut reports: VecDeque<Vec<TargetRoom>> = VecDeque::new();
    // By request: daemon, time of the send, tokens and queue as known then, and its demand.
    let mut sends: HashMap<u64, (usize, u64, u64, u32, Demand)> = HashMap::new();
    // By daemon: what it holds.
    let mut held: Vec<Held> = (0..DAEMONS).map(|_| Held::default()).collect();
    let mut outcome = Outcome::default();
    let mut next_id = 0;
    for now in (0..PLAYED_MS).step_by(STEP_MS) {
        let slowness = match now {
            10_000..20_000 => slowdown,
            _ => 1.0,
        };
        for engine in &mut engines {
            engine.slowness = slowness;
            let (begun, expired) = engine.pass(now);
            outcome.expired += u32::try_from(expired.len()).expect("count the requests");
            if let Some(id) = begun {
                outcome.begun += 1;
                let (daemon, sent, tokens, queued, demand) = sends[&id];
                let is_in_time = at(now) <= demand.arrived + demand.objective;
                outcome.begun_in_time += u32::from(is_in_time);
                rates[daemon].record_begin("model", tokens, queued, at(now - sent));
            }
        }
        reports.push_back(engines.iter().map(Engine::room).collect());
        if reports.len() > REPORT_MS / STEP_MS {
            reports.pop_front();
        }
        let room_of = |daemon: usize| Room {
            targets: reports[0].clone(),
            least_urgent: None,
            token_rate: rates[daemon].token_rate("model"),
            queue_rate: rates[daemon].queue_rate("model"),
        };
        let mut sent = Vec::new();
        for (daemon, held) in held.iter_mut().enumerate() {
            let released = held.release(&room_of(daemon), DAEMONS, at(now), &mut rng);
            sent.extend(released.into_iter().map(|(r, d)| (daemon, r, d)));
        }
        let expected = load * capacity_per_s * STEP_MS as f64 / 1_000.0;
        let arrivals = expected.floor() as u32 + u32::from(rng.random_bool(expected.fract()));
        for _ in 0..arrivals {
            let daemon = rng.random_range(0..DAEMONS);
            let room = room_of(daemon);
            next_id += 1;
            let patience_ms = if is_uniform {
                5_000
            } else {
                rng.random_range(2_000..8_000)
            };
            let request = Waiting {
                id: next_id,
                prompt: rng.random_range(300..1_700),
                deadline: now + patience_ms,
            };
            let demand = Demand {
                priority: None,
                prompt: request.prompt,
                objective: at(patience_ms / 4),
                arrived: at(now),
                deadline: at(request.deadline),
            };
            let verdict = decide(&demand, &room, at(now), rng.random());
            if has_admission && matches!(verdict, Verdict::Refuse { .. }) {
                outcome.refused += 1;
                let could_begin = |they_leave| {
                    engines
                        .iter()
                        .any(|e| e.could_begin(request, now, they_leave))
                };
                outcome.wrongly_refused += u32::from(could_begin(false));
                outcome.could_have_displaced += u32::from(could_begin(true));
                continue;
            }
            if has_admission && verdict == Verdict::Wait && held[daemon].enter(request, demand) {
                outcome.held += 1;
            } else {
                sent.push((daemon, request, demand));
            }
        }
        for (daemon, request, demand) in sent {
            let room = room_of(daemon);
            outcome.longest_hold = outcome.longest_hold.max(hold_fraction(&demand, now));
            let chosen = choose(&room, &demand, &mut rng);
            let known = &room.targets[chosen];
            let tokens = known.unread + request.prompt;
            sends.insert(request.id, (daemon, now, tokens, known.queued(), demand));
            outcome.sent += 1;
            engines[chosen].queue.push_back(request);
        }
    }
    outcome
}

/// Requests that one daemon holds.
#[derive(Default)]
struct Held {
    queue: WaitQueue,
    requests: HashMap<HeldNumber, (Waiting, Demand)>,
}

impl Held {
    fn enter(&mut self, request: Waiting, demand: Demand) -> bool {
        let number = self.queue.enter(demand);
        let entered = number.map(|number| self.requests.insert(number, (request, demand)));
        entered.is_some()
    }

    fn take(&mut self, number: HeldNumber) -> (Waiting, Demand) {
        self.queue.leave(number);
        self.requests.remove(&number).expect("find the request")
    }

    /// Returns the requests that are sent now: those whose hold ends, and those for which there
    /// is room.
    fn release(
        &mut self,
        room: &Room,
        daemons: usize,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<(Waiting, Demand)> {
        let requests = self.requests.iter();
        let ended = requests.filter(|(_, (_, demand))| hold_end(demand) <= now);
        let ended: Vec<HeldNumber> = ended.map(|(number, _)| *number).collect();
        let mut sent: Vec<_> = ended.into_iter().map(|n| self.take(n)).collect();
        while let Some(number) = self.queue.next(now) {
            let demand = self.requests[&number].1;
            let has_room = decide(&demand, room, now, 0.0) == Verdict::Send;
            let places = room.places(&demand, now);
            if !has_room || !self.queue.try_release(places, daemons, rng.random(), now) {
                break;
            }
            sent.push(self.take(number));
        }
        sent
    }
}

/// Returns the part of its objective that has passed since a request arrived.
fn hold_fraction(demand: &Demand, now: u64) -> f64 {
    let held = at(now).saturating_sub(demand.arrived);
    held.as_secs_f64() / demand.objective.as_secs_f64()
}

/// Returns the target of two random ones at which the request is begun sooner.
fn choose(room: &Room, demand: &Demand, rng: &mut impl Rng) -> usize {
    let [a, b] = [(); 2].map(|()| rng.random_range(0..room.targets.len()));
    let load = |i: usize| {
        let target = &room.targets[i];
        (room.expected_wait(target, demand), target.requests)
    };
    if load(b) < load(a) { b } else { a }
}

#[test]
fn refusals_and_holds_shorten_the_queues_and_take_no_work_from_engines() {
    for seed in 0..3 {
        for load in [1.5, 2.5, 4.0] {
            let without = play(load, false, false, seed);
            let with = play(load, false, true, seed);
            println!("seed={seed} load={load} without={without:?} with={with:?}");
            // The arrivals of the two differ, as the refusals draw numbers as well.
            assert!(f64::from(with.begun) > 0.98 * f64::from(without.begun));
            assert!(with.begun_in_time >= without.begun_in_time);
            assert!(with.longest_hold <= 0.125, "{with:?}");
            if load > 2.0 {
                assert!(with.expired < without.expired);
            }
        }
    }
}

#[test]
fn no_refused_request_could_have_begun_given_the_queue_ahead_of_it() {
    for is_uniform in [true, false] {
        for seed in 0..3 {
            for load in [1.5, 2.5, 4.0] {
                let outcome = play(load, is_uniform, true, seed);
                println!("uniform={is_uniform} seed={seed} load={load} {outcome:?}");
                assert_eq!(outcome.wrongly_refused, 0, "{outcome:?}");
                assert!(load < 3.0 || outcome.refused > 0, "{outcome:?}");
            }
        }
    }
}

#[test]
fn a_load_that_the_engines_can_run_is_not_refused() {
    for seed in 0..3 {
        for load in [0.3, 0.6, 0.85] {
            let outcome = play(load, false, true, seed);
            assert_eq!(outcome.refused, 0, "seed={seed} load={load} {outcome:?}");
        }
    }
}

#[test]
fn engines_that_all_return_cold_get_requests_again_at_once() {
    for seed in 0..3 {
        for load in [0.85, 2.5] {
            let outcome = play_with(load, false, true, seed, 5.0);
            println!("seed={seed} load={load} {outcome:?}");
            assert_eq!(
                outcome.wrongly_refused, 0,
                "seed={seed} load={load} {outcome:?}"
            );
            let without = play_with(load, false, false, seed, 5.0);
            assert!(
                f64::from(outcome.begun) > 0.98 * f64::from(without.begun),
                "{outcome:?} {without:?}"
            );
        }
    }
}
