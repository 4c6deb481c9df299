//! Tests of the account of the memory that requests and answers take.

use std::time::Duration;

use bluebelldrift::gateway::{
    EventSplitter, MAX_EVENT_BYTES, MemoryGrant, MemoryPool, MemoryPools, SMALL_BYTES,
    field_memory, max_fields,
};
use bytes::Bytes;
use proptest::prelude::*;

proptest! {
    #[test]
    fn grants_exceed_their_pool(steps in proptest::collection::vec((0_usize..8, 0_usize..400), 1..200)) {
        let pool = MemoryPool::new(1_000);
        let mut grants: Vec<MemoryGrant> = (0..8).map(|_| MemoryGrant::default()).collect();
        for (i, bytes) in steps {
            let (before, others) = (grants[i].bytes(), pool.taken() - grants[i].bytes());
            let has_room = bytes <= before || others + bytes <= pool.size();
            prop_assert_eq!(grants[i].try_resize(&pool, bytes), has_room);
            prop_assert_eq!(grants[i].bytes(), if has_room { bytes } else { before });
            prop_assert_eq!(pool.taken(), grants.iter().map(MemoryGrant::bytes).sum::<usize>());
        }
        drop(grants);
        prop_assert_eq!(pool.taken(), 0);
    }

    #[test]
    fn a_splitter_keeps_memory_of_events_that_it_has_split_off(
        sizes in proptest::collection::vec(1_usize..60_000, 1..20),
        frame in 1_usize..70_000,
    ) {
        let events = sizes.iter().map(|len| format!("data: {}\n\n", "x".repeat(*len)));
        let text = events.collect::<Vec<_>>().concat();
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        for bytes in text.as_bytes().chunks(frame) {
            splitter.push(bytes);
            while let Some(event) = splitter.next_event() {
                whole.extend_from_slice(&event.raw);
            }
            let bound = (2 * splitter.len() + frame).max(SMALL_BYTES);
            prop_assert!(splitter.capacity() <= bound, "{} bytes for {}", splitter.capacity(), splitter.len());
        }
        prop_assert_eq!(whole, text.into_bytes());
        prop_assert!(splitter.is_empty());
    }
}

#[test]
fn an_event_of_the_maximum_size_takes_twice_its_size() {
    let mut splitter = EventSplitter::default();
    let part = vec![b'x'; 64 * 1024];
    while splitter.len() < MAX_EVENT_BYTES {
        splitter.push(&part);
        assert_eq!(splitter.next_event(), None);
    }
    assert!(splitter.capacity() <= MAX_EVENT_BYTES + part.len());
    splitter.push(b"\n\nid: 2\n\n");
    let event = splitter.next_event().expect("a complete event");
    assert_eq!(event.raw.len(), MAX_EVENT_BYTES + 2);
    assert_eq!(splitter.next_event().and_then(|e| e.id), Some(2));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.capacity() <= SMALL_BYTES);
}

#[tokio::test]
async fn memory_that_is_attached_to_bytes_is_returned_before_the_last_copy_is_gone() {
    let pool = MemoryPool::new(100);
    let grant = pool.try_take(60).expect("take memory");
    let bytes = grant.attach(Bytes::from_static(b"bytes"));
    let part = bytes.slice(1..2);
    drop(bytes);
    assert_eq!(pool.taken(), 60);
    assert!(pool.try_take(41).is_none());
    assert!(pool.take(101).await.is_none());
    drop(part);
    assert_eq!(pool.taken(), 0);
}

/// Waits are served in order, so that a large answer is not passed by for ever.
#[tokio::test]
async fn a_large_answer_waits_while_smaller_ones_come() {
    let pool = MemoryPool::new(100);
    let first = pool.try_take(70).expect("take memory");
    let large = tokio::spawn({
        let pool = pool.clone();
        async move { pool.take(90).await }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(pool.try_take(30).is_none());
    drop(first);
    let large = large.await.expect("join the wait");
    assert_eq!(large.map(|grant| grant.bytes()), Some(90));
}

#[tokio::test]
async fn changed_settings_leave_the_memory_of_requests_as_it_was() {
    let pools = MemoryPools::new(100);
    let (size, half) = (pools.bodies.size(), pools.bodies.size() / 2);
    let held = pools.bodies.try_take(size).expect("take memory");
    pools.resize(50);
    assert_eq!(pools.bodies.size(), half);
    assert!(pools.bodies.try_take(1).is_none());
    drop(held);
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(pools.bodies.try_take(half + 1).is_none());
    assert!(pools.bodies.try_take(half).is_some());
    pools.resize(200);
    assert!(pools.bodies.try_take(2 * size).is_some());
}

/// Takes all that a pool gives, in grants of 1 KiB to a quarter of the pool.
fn take_all(pool: &MemoryPool) -> Vec<MemoryGrant> {
    let mut grants = Vec::new();
    let mut bytes = pool.size() / 4;
    while bytes > 1_024 {
        match pool.try_take(bytes) {
            Some(grant) => grants.push(grant),
            None => bytes /= 2,
        }
    }
    grants
}

#[test]
fn the_pools_of_a_process_exceed_its_memory() {
    for memory_mb in [1, 64, 110, 512, 100_000] {
        for order in [
            [0, 1, 2],
            [0, 2, 1],
            [1, 0, 2],
            [1, 2, 0],
            [2, 0, 1],
            [2, 1, 0],
        ] {
            let pools = MemoryPools::new(memory_mb);
            let pools = [&pools.requests, &pools.bodies, &pools.answers];
            let grants = order.map(|i| take_all(pools[i]));
            let taken = grants
                .iter()
                .flatten()
                .map(MemoryGrant::bytes)
                .sum::<usize>();
            let bytes = usize::try_from(memory_mb).expect("fits") * 1_000_000;
            assert!(
                taken <= bytes * 2 / 3 && taken > bytes / 3,
                "{taken} of {bytes}"
            );
            // None keeps another one out.
            assert!(
                grants.iter().all(|g| !g.is_empty()),
                "{order:?} {memory_mb}"
            );
        }
    }
}

/// The memory of idle pools was of no use to busy ones: at 88 MB, the fifth body of 4 MiB was
/// refused.
#[test]
fn an_idle_pool_lends_nothing() {
    let pools = MemoryPools::new(88);
    let body = 4 * 1024 * 1024;
    let bodies: Vec<_> = (0..5).map_while(|_| pools.bodies.try_take(body)).collect();
    assert_eq!(bodies.len(), 5);
    let answers: Vec<_> = (0..1).map_while(|_| pools.answers.try_take(body)).collect();
    assert_eq!(answers.len(), 1);
    let requests = (0..200).map_while(|_| pools.requests.try_take(32 * 1024));
    assert_eq!(requests.collect::<Vec<_>>().len(), 200);
}

/// An answer waits although bodies that come later take what is returned, up to the deadline.
#[tokio::test]
async fn bodies_take_what_an_answer_waits_for() {
    let pools = MemoryPools::new(100);
    let mut bodies = take_all(&pools.bodies);
    let (answers, wanted) = (pools.answers.clone(), 20_000_000);
    let answer = tokio::spawn(async move { answers.take(wanted).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    while !answer.is_finished() {
        drop(bodies.pop().expect("the answer gets its memory"));
        let late = pools.bodies.try_take(3_000_000);
        // Both fit, beside what requests keep.
        assert!(late.is_none() || pools.bodies.taken() + wanted + 8_000_000 <= 42_000_000);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let answer = answer.await.expect("join the wait");
    assert_eq!(answer.map(|grant| grant.bytes()), Some(wanted));
}

/// A wait that ends with its caller leaves no claim behind.
#[tokio::test]
async fn an_answer_that_gave_up_keeps_bodies_out() {
    let pools = MemoryPools::new(100);
    let bodies = take_all(&pools.bodies);
    let answers = pools.answers.clone();
    let wait = tokio::time::timeout(Duration::from_millis(20), answers.take(20_000_000));
    assert!(wait.await.is_err());
    drop(bodies);
    assert_eq!(pools.answers.waiting(), 0);
    assert!(pools.bodies.try_take(pools.bodies.size()).is_some());
}

/// The largest body and answer fit into the least memory that the settings allow.
#[test]
fn the_largest_request_does_not_fit_into_the_least_memory() {
    let pools = MemoryPools::new(25);
    let largest = 4 * 1024 * 1024;
    let _request = pools.requests.try_take(32 * 1024).expect("take memory");
    let _body = pools.bodies.try_take(largest).expect("take memory");
    assert!(pools.answers.try_take(largest).is_some());
}

/// Heads of more than 100 fields were refused, also on an idle daemon.
#[test]
fn the_fields_of_a_permitted_head_fit_into_no_process() {
    let max_header_bytes = 16 * 1024;
    let fields = "a:\r\n".repeat(max_header_bytes / 4).lines().count();
    assert!(max_fields(max_header_bytes) >= fields);
    let pool = MemoryPools::new(25).bodies;
    let _fields = pool
        .try_take(field_memory(fields))
        .expect("take memory for the fields");
    assert!(pool.try_take(4 * 1024 * 1024).is_some());
}

/// Ordinary requests have a few fields, which are part of their memory.
#[test]
fn an_ordinary_head_takes_memory_of_its_own() {
    assert_eq!(field_memory(40), 0);
    assert!(field_memory(1_000) > 0);
}
