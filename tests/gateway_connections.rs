//! Tests of the bounds on connections and on the pace of request bodies.

use std::time::Duration;

use bluebelldrift::gateway::{
    BodyPace, ConnectionBounds, ConnectionState, ConnectionTimes, EvictionRule, PaceLimits,
    connection_to_evict,
};
use proptest::prelude::*;

const CALLERS: EvictionRule = EvictionRule {
    min_wait: Duration::from_secs(1),
    max_request_rate: None,
};
const PROBES: EvictionRule = EvictionRule {
    min_wait: Duration::from_millis(100),
    max_request_rate: Some(10.0),
};
const TIMES: ConnectionTimes = ConnectionTimes {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
    write: Duration::from_secs(60),
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

proptest! {
    #[test]
    fn connections_and_their_requests_exceed_the_descriptors(
        descriptors in 256_usize..100_000,
        memory_mb in 40_u64..10_000,
        max_header_bytes in 1_usize..1_000_000,
    ) {
        let bounds = ConnectionBounds::new(descriptors, memory_mb, max_header_bytes);
        prop_assert!(2 * bounds.callers + 2 * bounds.probes + 64 <= descriptors, "{bounds:?}");
        prop_assert!(bounds.callers >= 8 && bounds.probes >= 8, "{bounds:?}");
        let heads = bounds.callers * max_header_bytes;
        let memory = usize::try_from(memory_mb).expect("fits") * 1_000_000;
        prop_assert!(heads <= memory / 3 || bounds.callers == 8, "{bounds:?}");
    }
}

#[test]
fn a_daemon_has_few_connections_for_its_callers() {
    let smallest = ConnectionBounds::new(2_870, 88, 16 * 1024);
    assert!(smallest.callers >= 700, "{smallest:?}");
    let largest = ConnectionBounds::new(8_192, 512, 16 * 1024);
    assert!(largest.callers >= 3_000, "{largest:?}");
}

/// The time limit of a head began with the end of the last request, so that it was that of idle
/// connections.
#[test]
fn a_head_that_trickles_in_has_the_time_of_an_idle_connection() {
    let mut state = ConnectionState::new(ms(0));
    assert_eq!(state.expires_at(false, &TIMES), Some(ms(15_000)));
    for at in [10_000, 11_000, 12_000] {
        state.record_read(false, ms(at));
    }
    assert_eq!(state.expires_at(false, &TIMES), Some(ms(13_000)));
    state.record_request();
    assert_eq!(state.expires_at(true, &TIMES), None);
    state.record_write(true, ms(12_500));
    state.record_flush(ms(12_600));
    assert_eq!(state.expires_at(false, &TIMES), Some(ms(27_600)));
}

/// A caller that pauses for less than a minute is not taken for an idle one while its answer is
/// written, nor does the connection give way.
#[test]
fn a_caller_that_pauses_reading_is_cut() {
    let mut state = ConnectionState::new(ms(0));
    state.record_read(false, ms(1));
    state.record_request();
    state.record_write(true, ms(100));
    state.record_write(false, ms(200));
    assert_eq!(state.expires_at(false, &TIMES), Some(ms(60_100)));
    assert_eq!(state.eviction_rank(false, &CALLERS, ms(40_000)), None);
    state.record_write(true, ms(40_000));
    assert_eq!(state.expires_at(false, &TIMES), Some(ms(100_000)));
}

/// Callers that read on very slowly kept the memory of their answers. While others find room, a
/// pause of an ordinary caller ends nothing.
#[test]
fn a_caller_that_reads_on_very_slowly_keeps_its_answer() {
    let limits = PaceLimits {
        deadline: Duration::MAX,
        pause: ms(60_000),
        shortage_pause: ms(5_000),
    };
    let start = || {
        let mut state = ConnectionState::new(ms(0));
        state.record_write(true, ms(0));
        state.record_written(64_000, ms(0));
        state
    };
    let (mut slow, mut mobile, pausing) = (start(), start(), start());
    for at in (500..20_000).step_by(500) {
        slow.record_write(true, ms(at));
        slow.record_written(1_000, ms(at));
        mobile.record_write(true, ms(at));
        mobile.record_written(10_000, ms(at));
    }
    assert!(slow.is_read_too_slowly(&limits, true, ms(20_000)));
    assert!(!slow.is_read_too_slowly(&limits, false, ms(20_000)));
    assert!(!mobile.is_read_too_slowly(&limits, true, ms(20_000)));
    assert!(!pausing.is_read_too_slowly(&limits, true, ms(4_900)));
    assert!(pausing.is_read_too_slowly(&limits, true, ms(5_000)));
    slow.record_flush(ms(20_000));
    assert!(!slow.is_read_too_slowly(&limits, true, ms(30_000)));
}

#[test]
fn a_used_connection_gives_way_before_one_that_never_had_a_request() {
    let mut trickling = ConnectionState::new(ms(5_000));
    trickling.record_read(false, ms(8_999));
    let mut used = ConnectionState::new(ms(0));
    used.record_read(false, ms(1));
    used.record_request();
    let now = ms(9_000);
    assert_eq!(used.eviction_rank(true, &CALLERS, now), None);
    let ranks = [&trickling, &used].map(|s| s.eviction_rank(false, &CALLERS, now));
    assert!(
        ranks.iter().all(Option::is_some) && ranks[0] < ranks[1],
        "{ranks:?}"
    );
    let new = ConnectionState::new(ms(8_500));
    assert_eq!(new.eviction_rank(false, &CALLERS, now), None);
}

/// Pipelined requests keep a connection active, so that the load balancer's gave way to them.
#[test]
fn a_load_balancer_gives_way_to_connections_with_many_requests() {
    let mut balancer = ConnectionState::new(ms(0));
    for second in 1..=60 {
        balancer.record_read(false, ms(1_000 * second));
        balancer.record_request();
        balancer.record_write(true, ms(1_000 * second));
        balancer.record_flush(ms(1_000 * second));
    }
    let mut pipelining = ConnectionState::new(ms(59_000));
    for at in 59_001..60_500 {
        pipelining.record_read(false, ms(at));
        pipelining.record_request();
        pipelining.record_write(true, ms(at));
        pipelining.record_flush(ms(at));
    }
    let mut unread = ConnectionState::new(ms(60_000));
    unread.record_request();
    unread.record_write(false, ms(60_100));
    let ranks =
        [&pipelining, &unread, &balancer].map(|s| s.eviction_rank(false, &PROBES, ms(60_500)));
    assert!(ranks.iter().all(Option::is_some), "{ranks:?}");
    assert!(ranks[0] < ranks[2] && ranks[1] < ranks[2], "{ranks:?}");
}

/// While all others were younger than the shortest wait, the load balancer's connection was the
/// only one that could give way, and the next probe on it was lost.
#[test]
fn a_load_balancer_gives_way_to_many_connections_that_open_at_once() {
    let mut balancer = ConnectionState::new(ms(0));
    for at in [1, 9_700] {
        balancer.record_read(false, ms(at));
        balancer.record_request();
        balancer.record_write(true, ms(at));
        balancer.record_flush(ms(at));
    }
    let mut connections = vec![(0, false, balancer)];
    for i in 1..18 {
        let mut state = ConnectionState::new(ms(9_950 + i));
        if i % 3 == 0 {
            state.record_read(false, ms(9_950 + i));
            state.record_request();
            state.record_write(false, ms(9_950 + i));
        }
        connections.push((i, false, state));
    }
    let evicted = |at| connection_to_evict(connections.iter().copied(), &PROBES, ms(at));
    for at in 10_000..10_051 {
        assert_eq!(evicted(at), None, "at {at} ms");
    }
    assert_eq!(evicted(10_051), Some(1));
}

/// A port full of connections that have had a request would take no new ones while one without a
/// request is young.
#[test]
fn many_idle_connections_keep_new_ones_out() {
    let mut connections: Vec<_> = (0..17)
        .map(|i| {
            let mut idle = ConnectionState::new(ms(0));
            idle.record_read(false, ms(8_000 + i));
            idle.record_request();
            (i, false, idle)
        })
        .collect();
    connections.push((17, false, ConnectionState::new(ms(9_990))));
    for rule in [&PROBES, &CALLERS] {
        let evicted = connection_to_evict(connections.iter().copied(), rule, ms(10_000));
        assert_eq!(evicted, Some(0), "{rule:?}");
    }
}

#[test]
fn a_body_that_stops_keeps_its_memory() {
    let limits = PaceLimits {
        deadline: ms(60_000),
        pause: ms(15_000),
        shortage_pause: ms(3_000),
    };
    let mut pace = BodyPace::new(ms(0));
    pace.record(4_000_000, ms(500));
    // A pause of an ordinary caller ends nothing while others find room.
    assert!(!pace.is_too_slow(&limits, false, ms(12_000)));
    assert!(!pace.is_too_slow(&limits, true, ms(3_400)));
    assert!(pace.is_too_slow(&limits, true, ms(3_500)));
    assert!(pace.is_too_slow(&limits, false, ms(15_500)));
    pace.record(1, ms(59_999));
    assert!(!pace.is_too_slow(&limits, true, ms(59_999)));
    assert!(pace.is_too_slow(&limits, false, ms(60_000)));
}

#[test]
fn a_body_that_trickles_in_keeps_its_memory() {
    let limits = PaceLimits {
        deadline: ms(60_000),
        pause: ms(15_000),
        shortage_pause: ms(3_000),
    };
    let mut slow = BodyPace::new(ms(0));
    let mut mobile = BodyPace::new(ms(0));
    for at in (100..10_000).step_by(100) {
        slow.record(1, ms(at));
        mobile.record(4_096, ms(at));
    }
    assert!(slow.is_too_slow(&limits, true, ms(10_000)));
    assert!(!slow.is_too_slow(&limits, false, ms(10_000)));
    assert!(!mobile.is_too_slow(&limits, true, ms(10_000)));
}
