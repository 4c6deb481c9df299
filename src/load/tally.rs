//! Counts and latency quantiles of a run, or of a part of it.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::{
    caller::{Ending, Outcome},
    traffic::RequestKind,
};

/// Gap between tokens above which the excess counts as stall time.
const STALL_GAP: Duration = Duration::from_millis(200);
/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Greatest time that a histogram can record, in microseconds.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
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

/// Counts of how the requests of one kind, or of one customer, ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Endings {
    /// Number of requests sent.
    pub offered: u64,
    /// Number of requests with a complete response.
    pub whole: u64,
    /// Number of refused requests by error type and whether the request was executed.
    pub refused: BTreeMap<Box<str>, u64>,
    /// Number of streams that ended with an error event.
    pub cut: u64,
    /// Number of requests that ended without a final event or without a response.
    pub lost: u64,
    /// Number of requests with tokens that were duplicated, missing, out of order or
    /// from another request, or with a booking not executed exactly once.
    pub wrong: u64,
}

impl Endings {
    fn record(&mut self, ending: &Ending) {
        self.offered += 1;
        match ending {
            Ending::Whole => self.whole += 1,
            Ending::Refused(kind) => *self.refused.entry(kind.clone()).or_default() += 1,
            Ending::Cut => self.cut += 1,
            Ending::Lost => self.lost += 1,
            Ending::Wrong => self.wrong += 1,
        }
    }

    /// Returns the number of refused requests of all types.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

/// Figures of a run or of a part of it. All times are scaled back, that is,
/// multiplied by the time scale.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Endings by kind of request.
    #[serde(rename = "sorts")]
    pub kinds: BTreeMap<RequestKind, Endings>,
    /// Endings by customer index, the largest customer first.
    pub customers: BTreeMap<usize, Endings>,
    /// Time to first token of long reports, in milliseconds.
    pub first_token_long: Quantiles,
    /// Time to first token of short answers, in milliseconds.
    pub first_token_short: Quantiles,
    /// Gaps between tokens, in milliseconds.
    pub gap: Quantiles,
    /// Stall time per 1,000 tokens, in milliseconds.
    pub stall_ms_per_1000: f64,
    /// Share of the streams that stalled at least once, among those with at least one
    /// token; from 0 to 1.
    pub stalled_streams: f64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of tokens received before the arrivals ended.
    pub tokens_in_time: u64,
}

/// Histograms from which the quantiles of a tally are taken, in microseconds.
pub(crate) struct Histograms {
    pub first_token_long: Histogram<u64>,
    pub first_token_short: Histogram<u64>,
    pub gap: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    let bounded = Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS);
    bounded.expect("the histogram bounds are valid")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US)
}

fn ratio(part: u64, whole: u64) -> f64 {
    let to_f64 = |n: u64| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    to_f64(part) / to_f64(whole.max(1))
}

/// Tallies the outcomes, with all times multiplied by `time_scale`.
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
        let by_kind = tally.kinds.entry(outcome.kind).or_default();
        by_kind.record(&outcome.ending);
        let by_customer = tally.customers.entry(outcome.customer).or_default();
        by_customer.record(&outcome.ending);
        let Some(first) = outcome.first_token else {
            continue;
        };
        started += 1;
        let first = micros(first * time_scale);
        match outcome.kind {
            RequestKind::Short => histograms.first_token_short.saturating_record(first),
            _ => histograms.first_token_long.saturating_record(first),
        }
        let mut stream_stall = Duration::ZERO;
        for gap in outcome.gaps.iter().map(|gap| *gap * time_scale) {
            histograms.gap.saturating_record(micros(gap));
            stream_stall += gap.saturating_sub(STALL_GAP);
        }
        stall += stream_stall;
        stalled += u64::from(!stream_stall.is_zero());
        tally.tokens += outcome.gaps.len() as u64 + 1;
        tally.tokens_in_time += outcome.tokens_in_time;
    }
    tally.first_token_long = Quantiles::of(&histograms.first_token_long);
    tally.first_token_short = Quantiles::of(&histograms.first_token_short);
    tally.gap = Quantiles::of(&histograms.gap);
    tally.stall_ms_per_1000 = stall.as_secs_f64() * 1e6 * ratio(1, tally.tokens);
    tally.stalled_streams = ratio(stalled, started);
    (tally, histograms)
}
