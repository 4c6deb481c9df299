//! Figures of a run, or of a part of it.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{
    caller::{Ending, Outcome},
    traffic::Sort,
};

/// Gaps above this count as stalls.
const STALL_GAP: Duration = Duration::from_millis(200);
/// Precision of the histograms, in significant digits.
const DIGITS: u8 = 3;
/// Greatest time a histogram holds, in microseconds.
const MOST_US: u64 = 3_600_000_000;

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| {
            let us = histogram.value_at_quantile(quantile);
            Duration::from_micros(us).as_secs_f64() * 1000.0
        };
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// How the requests of one sort, or of one customer, ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Endings {
    /// Requests sent.
    pub offered: u64,
    /// Answered whole.
    pub whole: u64,
    /// Refused, by kind and whether it ran.
    pub refused: BTreeMap<Box<str>, u64>,
    /// Ended with an error that says so.
    pub cut: u64,
    /// Ended without a word.
    pub lost: u64,
    /// Doubled, out of order, or another's.
    pub wrong: u64,
}

impl Endings {
    fn note(&mut self, ending: &Ending) {
        self.offered += 1;
        match ending {
            Ending::Whole => self.whole += 1,
            Ending::Refused(kind) => *self.refused.entry(kind.clone()).or_default() += 1,
            Ending::Cut => self.cut += 1,
            Ending::Lost => self.lost += 1,
            Ending::Wrong => self.wrong += 1,
        }
    }

    /// All refusals.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// Figures of a run or of a part of it. All times are scaled back.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Endings by sort.
    pub sorts: BTreeMap<Sort, Endings>,
    /// Endings by customer, the largest first.
    pub customers: BTreeMap<usize, Endings>,
    /// First token of long reports, in milliseconds.
    pub first_token_long: Quantiles,
    /// First token of short answers, in milliseconds.
    pub first_token_short: Quantiles,
    /// Gaps between tokens, in milliseconds.
    pub gap: Quantiles,
    /// Stall time for each 1,000 tokens, in milliseconds.
    pub stall_ms_per_1000: f64,
    /// Share of started streams with any stall.
    pub stalled_streams: f64,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received while requests still arrived.
    pub tokens_in_time: u64,
}

/// The histograms behind a tally, in microseconds.
pub(crate) struct Histograms {
    pub first_token_long: Histogram<u64>,
    pub first_token_short: Histogram<u64>,
    pub gap: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_bounds(1, MOST_US, DIGITS);
    bounded.expect("bounds that the library takes")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MOST_US)
}

fn share(part: u64, whole: u64) -> f64 {
    let parts = |n: u64| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    parts(part) / parts(whole.max(1))
}

/// Counts outcomes; times are multiplied by `time_scale`.
pub(crate) fn count<'a>(
    outcomes: impl Iterator<Item = &'a Outcome>,
    time_scale: u32,
) -> (Tally, Histograms) {
    let mut tally = Tally::default();
    let mut histograms = Histograms {
        first_token_long: histogram(),
        first_token_short: histogram(),
        gap: histogram(),
    };
    let (mut stall, mut stalled, mut started) = (Duration::ZERO, 0, 0);
    for outcome in outcomes {
        let by_sort = tally.sorts.entry(outcome.sort).or_default();
        by_sort.note(&outcome.ending);
        let by_customer = tally.customers.entry(outcome.customer).or_default();
        by_customer.note(&outcome.ending);
        let Some(first) = outcome.first_token else {
            continue;
        };
        started += 1;
        let first = micros(first * time_scale);
        match outcome.sort {
            Sort::Short => histograms.first_token_short.saturating_record(first),
            _ => histograms.first_token_long.saturating_record(first),
        }
        let mut stalled_here = Duration::ZERO;
        for gap in outcome.gaps.iter().map(|gap| *gap * time_scale) {
            histograms.gap.saturating_record(micros(gap));
            stalled_here += gap.saturating_sub(STALL_GAP);
        }
        stall += stalled_here;
        stalled += u64::from(!stalled_here.is_zero());
        tally.tokens += outcome.gaps.len() as u64 + 1;
        tally.tokens_in_time += outcome.tokens_in_time;
    }
    tally.first_token_long = Quantiles::of(&histograms.first_token_long);
    tally.first_token_short = Quantiles::of(&histograms.first_token_short);
    tally.gap = Quantiles::of(&histograms.gap);
    tally.stall_ms_per_1000 = stall.as_secs_f64() * 1e6 * share(1, tally.tokens);
    tally.stalled_streams = share(stalled, started);
    (tally, histograms)
}
