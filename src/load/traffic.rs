//! The traffic of a run, drawn in full from its seed before it starts.

use std::{fmt::Write, time::Duration};

use rand::{RngExt, SeedableRng, distr::weighted::WeightedIndex, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use serde::{Deserialize, Serialize};

use crate::cli::TrafficArgs;

/// Median length of an ordinary long report, in tokens.
const REPORT_MEDIAN: f64 = 1500.0;
/// Spread of the logarithm of an ordinary report's length.
const REPORT_SIGMA: f64 = 0.7;
/// Share of reports whose length has a heavy tail.
const HEAVY_SHARE: f64 = 0.1;
/// Least length of a heavy-tailed report, in tokens.
const HEAVY_LEAST: f64 = 4000.0;
/// Shape of the heavy tail.
const HEAVY_SHAPE: f64 = 1.5;
/// Greatest length of a report, in tokens.
const REPORT_MOST: f64 = 40_000.0;
/// Median length of a short answer, in tokens.
const SHORT_MEDIAN: f64 = 12.0;
/// Spread of the logarithm of a short answer's length.
const SHORT_SIGMA: f64 = 0.6;
/// Cap that callers put on short answers, in tokens.
const SHORT_MOST: u32 = 64;
/// Words that all prompts of a customer begin with.
const SHARED_WORDS: usize = 64;
/// Greatest number of words in a report's notes, before scaling.
const NOTES_MOST: u64 = 800;
/// Words of a short question.
const QUESTION_WORDS: u64 = 10;
/// Share of bookings that the caller sends a second time.
const REPEAT_SHARE: f64 = 0.1;

/// Sort of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Sort {
    /// A generation of unknown length.
    Long,
    /// A generation with a low cap.
    Short,
    /// A request that must not run twice.
    Booking,
    /// An idempotent lookup.
    Status,
}

/// The sorts in the order of the mix.
const SORTS: [Sort; 4] = [Sort::Long, Sort::Short, Sort::Booking, Sort::Status];

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Number in the run.
    pub number: usize,
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// What it is.
    pub sort: Sort,
    /// Who sends it, from the largest customer on.
    pub customer: usize,
    /// Tokens of its answer.
    pub length: u64,
    /// The caller's cap.
    pub max_tokens: Option<u32>,
    /// Its prompt, with the directives for the engine stand-in.
    pub prompt: Box<str>,
    /// The caller sends it again once it has the answer.
    pub is_repeated: bool,
}

impl Planned {
    /// What each of its tokens starts with; no other request has it.
    #[must_use]
    pub fn mark(&self) -> String {
        format!("r{}-", self.number)
    }
}

/// Draws the requests of a run: Poisson arrivals, customers by Zipf's law.
///
/// Returns nothing for a rate or mix without requests.
#[must_use]
pub fn draw(args: &TrafficArgs, customers: usize) -> Vec<Planned> {
    let mut rng = StdRng::seed_from_u64(args.seed);
    let (Ok(gaps), Ok(sorts), Ok(senders)) = (
        Exp::new(args.rate),
        WeightedIndex::new(&args.mix),
        WeightedIndex::new(weights(customers, args.flood)),
    ) else {
        return Vec::new();
    };
    let mut planned = Vec::new();
    let mut at = 0.0;
    loop {
        at += gaps.sample(&mut rng);
        let Some(at) = Duration::try_from_secs_f64(at).ok() else {
            return planned;
        };
        if at >= Duration::from_secs(args.duration) {
            return planned;
        }
        let sort = SORTS[sorts.sample(&mut rng)];
        let customer = senders.sample(&mut rng);
        planned.push(request(planned.len(), at, sort, customer, args, &mut rng));
    }
}

/// Parts of the traffic by customer, the largest first.
fn weights(customers: usize, flood: f64) -> Vec<f64> {
    let ranks = (1..=customers).map(|rank| f64::from(u32::try_from(rank).unwrap_or(u32::MAX)));
    let mut weights: Vec<f64> = ranks.map(|rank| 1.0 / rank).collect();
    if let Some(first) = weights.first_mut() {
        *first *= flood;
    }
    weights
}

fn request(
    number: usize,
    at: Duration,
    sort: Sort,
    customer: usize,
    args: &TrafficArgs,
    rng: &mut StdRng,
) -> Planned {
    let (length, words, max_tokens) = match sort {
        Sort::Long => {
            let length = (report_length(rng) / args.length_scale).max(1);
            let notes = rng.random_range(NOTES_MOST / 8..NOTES_MOST) / args.length_scale;
            (length, notes, None)
        }
        Sort::Short => (short_length(rng), QUESTION_WORDS, Some(SHORT_MOST)),
        Sort::Booking | Sort::Status => (0, 0, None),
    };
    Planned {
        number,
        at,
        sort,
        customer,
        length,
        max_tokens,
        prompt: prompt(number, customer, length, words),
        is_repeated: sort == Sort::Booking && rng.random_bool(REPEAT_SHARE),
    }
}

fn report_length(rng: &mut StdRng) -> u64 {
    let drawn = if rng.random_bool(HEAVY_SHARE) {
        Pareto::new(HEAVY_LEAST, HEAVY_SHAPE).map(|d| d.sample(rng))
    } else {
        return log_normal(REPORT_MEDIAN, REPORT_SIGMA, REPORT_MOST, rng);
    };
    whole(drawn.unwrap_or(HEAVY_LEAST).min(REPORT_MOST))
}

fn short_length(rng: &mut StdRng) -> u64 {
    log_normal(SHORT_MEDIAN, SHORT_SIGMA, f64::from(SHORT_MOST), rng)
}

fn log_normal(median: f64, sigma: f64, most: f64, rng: &mut StdRng) -> u64 {
    let drawn = LogNormal::new(median.ln(), sigma).map(|d| d.sample(rng));
    whole(drawn.unwrap_or(median).min(most))
}

/// A length in whole tokens.
fn whole(length: f64) -> u64 {
    Duration::try_from_secs_f64(length).map_or(1, |d| d.as_secs().max(1))
}

fn prompt(number: usize, customer: usize, length: u64, words: u64) -> Box<str> {
    let mut text = String::new();
    for word in 0..SHARED_WORDS {
        let _ = write!(text, "c{customer}w{word} ");
    }
    let _ = write!(text, "[mark=r{number}-] [n={length}]");
    for word in 0..words {
        let _ = write!(text, " n{number}w{word}");
    }
    text.into()
}
