//! Traffic of a run, generated completely from the seed before the run starts, so
//! that the same seed always gives the same requests.

use std::{fmt::Write, time::Duration};

use rand::{RngExt, SeedableRng, distr::weighted::WeightedIndex, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use serde::{Deserialize, Serialize};

use crate::cli::TrafficArgs;

/// Median length of an ordinary long report, in tokens.
const REPORT_MEDIAN: f64 = 1500.0;
/// Standard deviation of the logarithm of an ordinary report's length.
const REPORT_SIGMA: f64 = 0.7;
/// Share of reports whose length follows a heavy-tailed (Pareto) distribution.
const HEAVY_SHARE: f64 = 0.1;
/// Minimum length of a heavy-tailed report, in tokens.
const HEAVY_MIN: f64 = 4000.0;
/// Shape parameter of the Pareto distribution.
const HEAVY_SHAPE: f64 = 1.5;
/// Maximum length of a report, in tokens.
const REPORT_MAX: f64 = 40_000.0;
/// Median length of a short answer, in tokens.
const SHORT_MEDIAN: f64 = 12.0;
/// Standard deviation of the logarithm of a short answer's length.
const SHORT_SIGMA: f64 = 0.6;
/// `max_tokens` that callers set on short requests.
const SHORT_MAX: u32 = 64;
/// Number of words that all prompts of a customer have in common at the start.
const SHARED_WORDS: usize = 64;
/// Upper bound of the number of words of notes in the prompt of a long report,
/// before the division by `--length-scale`.
const NOTES_MAX: u64 = 800;
/// Number of words in a short question.
const QUESTION_WORDS: u64 = 10;
/// Share of bookings that the caller sends a second time with the same idempotency
/// key.
const REPEAT_SHARE: f64 = 0.1;

/// Kind of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// Long report: a generation of unknown length, without a token limit.
    Long,
    /// Short answer: a generation with a low token limit.
    Short,
    /// Booking: a non-idempotent request, which must not be executed twice.
    Booking,
    /// Status lookup: an idempotent request.
    Status,
}

/// Request kinds, in the order of the weights in `--mix`.
const REQUEST_KINDS: [RequestKind; 4] = [
    RequestKind::Long,
    RequestKind::Short,
    RequestKind::Booking,
    RequestKind::Status,
];

/// Request of a run, planned before the run starts.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Index of the request in the run.
    pub number: usize,
    /// Time from the start of the run at which the request is sent.
    pub due_at: Duration,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the customer that sends it; 0 is the largest.
    pub customer: usize,
    /// Number of tokens in the response; 0 for a request to the plain service.
    pub length: u64,
    /// `max_tokens` of the request; `None` if it sets no limit.
    pub max_tokens: Option<u32>,
    /// Prompt, with directives for the engine stand-in (length and token prefix).
    pub prompt: Box<str>,
    /// Whether the caller sends the request a second time after the response.
    pub is_repeated: bool,
}

impl PlannedRequest {
    /// Returns the prefix of every token of the response, unique within the run.
    #[must_use]
    pub fn token_prefix(&self) -> String {
        format!("r{}-", self.number)
    }
}

/// Generates the requests of a run: Poisson arrivals, customers by Zipf's law.
///
/// Returns an empty list if the rate, the mix or the customers allow no requests.
#[must_use]
pub fn plan_requests(args: &TrafficArgs, customers: usize) -> Vec<PlannedRequest> {
    let mut rng = StdRng::seed_from_u64(args.seed);
    let (Ok(gaps), Ok(kinds), Ok(customer_ranks)) = (
        Exp::new(args.rate),
        WeightedIndex::new(&args.mix),
        WeightedIndex::new(customer_weights(customers, args.flood)),
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
        let kind = REQUEST_KINDS[kinds.sample(&mut rng)];
        let customer = customer_ranks.sample(&mut rng);
        planned.push(plan_request(
            planned.len(),
            at,
            kind,
            customer,
            args,
            &mut rng,
        ));
    }
}

/// Returns the weights of the customers by Zipf's law, the largest first; `flood`
/// multiplies the first.
fn customer_weights(customers: usize, flood: f64) -> Vec<f64> {
    let ranks = (1..=customers).map(|rank| f64::from(u32::try_from(rank).unwrap_or(u32::MAX)));
    let mut weights: Vec<f64> = ranks.map(|rank| 1.0 / rank).collect();
    if let Some(first) = weights.first_mut() {
        *first *= flood;
    }
    weights
}

fn plan_request(
    number: usize,
    due_at: Duration,
    kind: RequestKind,
    customer: usize,
    args: &TrafficArgs,
    rng: &mut StdRng,
) -> PlannedRequest {
    let (length, words, max_tokens) = match kind {
        RequestKind::Long => {
            let length = (report_length(rng) / args.length_scale).max(1);
            let notes = rng.random_range(NOTES_MAX / 8..NOTES_MAX) / args.length_scale;
            (length, notes, None)
        }
        RequestKind::Short => (short_length(rng), QUESTION_WORDS, Some(SHORT_MAX)),
        RequestKind::Booking | RequestKind::Status => (0, 0, None),
    };
    PlannedRequest {
        number,
        due_at,
        kind,
        customer,
        length,
        max_tokens,
        prompt: prompt(number, customer, length, words),
        is_repeated: kind == RequestKind::Booking && rng.random_bool(REPEAT_SHARE),
    }
}

fn report_length(rng: &mut StdRng) -> u64 {
    let sampled = if rng.random_bool(HEAVY_SHARE) {
        Pareto::new(HEAVY_MIN, HEAVY_SHAPE).map(|d| d.sample(rng))
    } else {
        return log_normal(REPORT_MEDIAN, REPORT_SIGMA, REPORT_MAX, rng);
    };
    whole_tokens(sampled.unwrap_or(HEAVY_MIN).min(REPORT_MAX))
}

fn short_length(rng: &mut StdRng) -> u64 {
    log_normal(SHORT_MEDIAN, SHORT_SIGMA, f64::from(SHORT_MAX), rng)
}

fn log_normal(median: f64, sigma: f64, max: f64, rng: &mut StdRng) -> u64 {
    let sampled = LogNormal::new(median.ln(), sigma).map(|d| d.sample(rng));
    whole_tokens(sampled.unwrap_or(median).min(max))
}

/// Returns a length in whole tokens, at least 1.
fn whole_tokens(length: f64) -> u64 {
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
