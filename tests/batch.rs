//! Tests of the batch model of the engine stand-in, on which the load
//! measurements are based.

use std::time::Duration;

use bluebelldrift::{
    prefix::{BLOCK_TOKENS, PrefixHint, blocks_of},
    standin::batch::{Batch, BatchLimits, Sequence},
};
use proptest::prelude::*;

fn limits(kv_tokens: u64) -> BatchLimits {
    BatchLimits {
        kv_tokens,
        max_batch: 8,
        step: Duration::from_millis(10),
        step_growth: Duration::from_millis(1),
        prefill_per_ms: 1,
        cold: Duration::ZERO,
        max_cold_sequences: 2,
        cache_blocks: 4,
    }
}

fn add(batch: &mut Batch, id: &str, sequence: Sequence) {
    assert!(
        batch.add(id.into(), sequence),
        "a warm engine does not fail"
    );
}

#[test]
fn a_step_takes_longer_with_more_sequences() {
    let mut batch = Batch::new(limits(1000));
    for id in ["a", "b", "c"] {
        add(&mut batch, id, Sequence::new(0, 5, 0));
    }
    assert_eq!(batch.step().time, Duration::from_millis(12));
}

#[test]
fn full_memory_preempts_the_newest_sequence_of_the_lowest_priority() {
    let mut batch = Batch::new(limits(35));
    add(&mut batch, "first", Sequence::new(10, 50, 0));
    add(&mut batch, "urgent", Sequence::new(10, 50, 1));
    add(&mut batch, "last", Sequence::new(10, 50, 0));
    let steps: Vec<_> = (0..3).map(|_| batch.step().preempted).collect();
    assert_eq!(
        steps,
        [vec![], vec!["last".into()], vec![]] as [Vec<Box<str>>; 3]
    );
    assert_eq!(batch.waiting(), 1);
    assert_eq!(batch.kv_used(), 26);
}

#[test]
fn a_cached_prefix_needs_no_prefill() {
    let prompt = "word ".repeat(2 * BLOCK_TOKENS);
    let mut batch = Batch::new(limits(1000));
    let blocks = blocks_of(&prompt);
    let sequence = || Sequence::new(32, 1, 0).with_blocks(blocks.clone());
    add(&mut batch, "cold", sequence());
    assert_eq!(batch.step().time, Duration::from_millis(42));
    add(&mut batch, "warm", sequence());
    assert_eq!(batch.step().time, Duration::from_millis(10));
    let other = blocks_of(&"other ".repeat(4 * BLOCK_TOKENS));
    add(
        &mut batch,
        "other",
        Sequence::new(64, 1, 0).with_blocks(other),
    );
    batch.step();
    add(&mut batch, "evicted", sequence());
    assert_eq!(batch.step().time, Duration::from_millis(42));
}

#[test]
fn a_gap_in_cache_events_discards_earlier_ones() {
    let mut batch = Batch::new(limits(1000));
    let blocks = blocks_of(&"word ".repeat(3 * BLOCK_TOKENS));
    batch.cache.insert_prompt(&blocks);
    let events = batch.cache.events_after(0);
    let mut hint = PrefixHint::default();
    hint.apply(&events[..1]);
    assert_eq!(hint.cached_tokens(&blocks), 16);
    hint.apply(&events[2..]);
    assert_eq!(
        hint.cached_tokens(&blocks),
        0,
        "an eviction may be among the lost events"
    );
    assert_eq!(hint.last_sequence(), 3);
}

#[test]
fn a_cold_engine_fails_above_its_cold_limit() {
    let cold = Duration::from_millis(15);
    let mut batch = Batch::new(BatchLimits {
        cold,
        ..limits(1000)
    });
    assert!(batch.add("a".into(), Sequence::new(0, 9, 0)));
    assert!(batch.add("b".into(), Sequence::new(0, 9, 0)));
    assert!(!batch.add("c".into(), Sequence::new(0, 9, 0)));
    batch.step();
    batch.step();
    assert!(
        batch.add("d".into(), Sequence::new(0, 9, 0)),
        "an engine that has become warm does not fail"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn memory_stays_within_its_limit_and_every_sequence_ends(
        sequences in prop::collection::vec((1..40_u64, 1..60_u64, 0..2_i32), 1..40),
    ) {
        let mut batch = Batch::new(limits(100));
        let mut expected_tokens = 0;
        for (i, (prompt, length, priority)) in sequences.iter().enumerate() {
            expected_tokens += length;
            let sequence = Sequence::new(*prompt, *length, *priority);
            let is_accepted = batch.add(i.to_string().into(), sequence);
            prop_assert!(is_accepted);
        }
        let mut steps = 0;
        while !batch.is_empty() {
            batch.step();
            prop_assert!(batch.kv_used() <= 100);
            prop_assert!(batch.running() <= 8);
            steps += 1;
            prop_assert!(steps < 10_000, "the sequences do not end");
        }
        prop_assert_eq!(batch.tokens, expected_tokens);
        prop_assert_eq!((batch.kv_used(), batch.running()), (0, 0));
    }
}
