//! Measures how fast the engines of each service work, for estimates of waits.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use super::model::Tokens;

/// Number of newest samples that are kept: some seconds of a busy service at one daemon.
const SAMPLES: usize = 32;
/// Number of samples without which a rate is not known. A daemon that has just started must
/// not refuse requests because of a few slow ones.
const MIN_SAMPLES: usize = 8;
/// Number of services beyond which all samples are dropped, since some are of services that no
/// longer exist.
const MAX_SERVICES: usize = 256;
/// Fraction of the samples that are faster than the rate that is used, so that stalled or
/// slow engines and requests that more urgent ones have passed make no estimate longer.
const FASTER_FRACTION: f64 = 0.25;

/// Speed of the engines of each service, from the runs of this daemon.
#[derive(Debug, Default)]
pub struct ServiceRates {
    services: Mutex<HashMap<Box<str>, Samples>>,
}

#[derive(Debug, Default)]
struct Samples {
    /// Prompt tokens per second.
    tokens: VecDeque<f64>,
    /// Requests per second that left a queue for slots.
    queued: VecDeque<f64>,
}

impl ServiceRates {
    /// Records that a run began after `time`, which had `tokens` to be read, those of its own
    /// prompt and of the prompts before it, and `queued` requests that waited for a slot.
    pub fn record_begin(&self, service: &str, tokens: Tokens, queued: u32, time: Duration) {
        if time.is_zero() {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let tokens = tokens as f64 / time.as_secs_f64();
        // The request itself has left the queue as well.
        let left = (queued > 0).then(|| f64::from(queued) + 1.0);
        let queued = left.unwrap_or(0.0) / time.as_secs_f64();
        self.update(service, |samples| {
            push(&mut samples.tokens, tokens);
            push(&mut samples.queued, queued);
        });
    }

    /// Returns the prompt tokens per second by which the queue of a target shortens; `None`
    /// if too few runs have begun.
    #[must_use]
    pub fn token_rate(&self, service: &str) -> Option<f64> {
        self.update(service, |samples| fast_rate(&samples.tokens))
    }

    /// Returns the requests per second by which the queue of a target shortens; `None` if too
    /// few runs have begun after they had waited in a queue.
    #[must_use]
    pub fn queue_rate(&self, service: &str) -> Option<f64> {
        self.update(service, |samples| fast_rate(&samples.queued))
    }

    fn update<R>(&self, service: &str, change: impl FnOnce(&mut Samples) -> R) -> R {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(samples) = services.get_mut(service) {
            return change(samples);
        }
        if services.len() >= MAX_SERVICES {
            services.clear();
        }
        change(services.entry(service.into()).or_default())
    }
}

/// Adds a sample, unless there was nothing that it could measure.
fn push(samples: &mut VecDeque<f64>, sample: f64) {
    if sample <= 0.0 {
        return;
    }
    if samples.len() == SAMPLES {
        samples.pop_front();
    }
    samples.push_back(sample);
}

/// Returns the rate that [`FASTER_FRACTION`] of the samples exceed.
fn fast_rate(samples: &VecDeque<f64>) -> Option<f64> {
    if samples.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted: Vec<f64> = samples.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an index into at most SAMPLES values"
    )]
    let index = ((1.0 - FASTER_FRACTION) * (sorted.len() - 1) as f64).ceil() as usize;
    sorted.get(index).copied()
}
