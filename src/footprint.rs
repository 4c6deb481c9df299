//! Accounts for the engine memory that this daemon's runs are expected to use,
//! and for the running and waiting requests of each customer at a service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::{
    auth::CustomerName,
    lengths::{LengthKey, Lengths},
    prefix::{BlockHash, blocks_of},
    wire::TargetName,
};

/// Quantile of the remaining length that is reserved for a run.
const RESERVED_QUANTILE: f64 = 0.75;
/// Quantile of the length that must be at most [`SHORT_TOKENS`] for a request
/// to count as short.
const SHORT_QUANTILE: f64 = 0.9;
/// Maximum output of a short request, in tokens.
const SHORT_TOKENS: u64 = 64;
/// Minimum number of output tokens between two estimates of a run's memory; long
/// runs are estimated less often, see [`ESTIMATE_INTERVAL_DIVISOR`].
const MIN_ESTIMATE_INTERVAL_TOKENS: u64 = 32;
/// Divisor of a run's output so far that gives the number of tokens to the next
/// estimate, if that is more than [`MIN_ESTIMATE_INTERVAL_TOKENS`].
const ESTIMATE_INTERVAL_DIVISOR: u64 = 8;

/// Engine memory and output length that a request is expected to need.
#[derive(Clone, Debug)]
pub(crate) struct RequestEstimate {
    /// Key by which the output length is estimated.
    pub key: LengthKey,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Hashes of the blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Memory that the request is expected to use when it ends, in tokens.
    pub tokens: u64,
    /// Whether the output is expected to be short.
    pub is_short: bool,
}

impl RequestEstimate {
    pub fn new(reservations: &MemoryReservations, key: LengthKey, prompt: &str) -> Self {
        let prompt_tokens = prompt.split_whitespace().count() as u64;
        let lengths = &reservations.lengths;
        Self {
            prompt_tokens,
            blocks: blocks_of(prompt),
            tokens: prompt_tokens + reserved_remaining(lengths, &key, 0),
            is_short: lengths.remaining(&key, 0, SHORT_QUANTILE) <= SHORT_TOKENS,
            key,
        }
    }
}

/// Returns the number of tokens to reserve for the output that a run has not
/// produced yet.
fn reserved_remaining(lengths: &Lengths, key: &LengthKey, produced: u64) -> u64 {
    lengths.remaining(key, produced, RESERVED_QUANTILE)
}

/// Name of a service and of a customer that uses it.
type ServiceCustomer = (Box<str>, CustomerName);

#[derive(Default)]
struct Counts {
    /// Tokens reserved at each target.
    reserved: HashMap<TargetName, u64>,
    running: HashMap<ServiceCustomer, u32>,
    waiting: HashMap<ServiceCustomer, u32>,
}

/// Memory reserved at each target, and running and waiting requests of each
/// customer at each service, for one daemon.
#[derive(Default)]
pub(crate) struct MemoryReservations {
    /// Curves of the observed output lengths.
    pub lengths: Lengths,
    counts: Mutex<Counts>,
}

impl MemoryReservations {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the tokens of memory that this daemon's runs are expected to use
    /// at a target.
    pub fn reserved(&self, target: &str) -> u64 {
        self.counts().reserved.get(target).copied().unwrap_or(0)
    }

    /// Returns the number of runs of the key's customer at the key's service.
    pub fn running(&self, key: &LengthKey) -> u32 {
        let service_customer = service_customer_of(key);
        self.counts()
            .running
            .get(&service_customer)
            .copied()
            .unwrap_or(0)
    }

    /// Returns the number of requests that wait to be placed at a service.
    pub fn waiting(&self, service: &str) -> u32 {
        let counts = self.counts();
        let at_service = counts.waiting.iter().filter(|(key, _)| &*key.0 == service);
        at_service.map(|(_, n)| n).sum()
    }

    /// Returns whether a request of another customer waits to be placed at the
    /// key's service.
    pub fn has_other_waiting(&self, key: &LengthKey) -> bool {
        let service_customer = service_customer_of(key);
        let counts = self.counts();
        let mut waiting = counts.waiting.keys();
        waiting.any(|other| other.0 == service_customer.0 && other.1 != service_customer.1)
    }

    /// Counts a request as waiting until the returned guard is dropped.
    pub fn count_waiting(self: &Arc<Self>, key: &LengthKey) -> Waiting {
        let service_customer = service_customer_of(key);
        *self
            .counts()
            .waiting
            .entry(service_customer.clone())
            .or_default() += 1;
        Waiting {
            reservations: self.clone(),
            service_customer,
        }
    }
}

fn service_customer_of(key: &LengthKey) -> ServiceCustomer {
    let customer = key.customer.clone().unwrap_or_default();
    (key.service.clone(), customer)
}

fn decrement(counts: &mut HashMap<ServiceCustomer, u32>, service_customer: &ServiceCustomer) {
    if let Some(count) = counts.get_mut(service_customer) {
        *count -= 1;
        if *count == 0 {
            counts.remove(service_customer);
        }
    }
}

/// Guard that counts a request as waiting to be placed.
pub(crate) struct Waiting {
    reservations: Arc<MemoryReservations>,
    service_customer: ServiceCustomer,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        decrement(
            &mut self.reservations.counts().waiting,
            &self.service_customer,
        );
    }
}

/// Reservation of the memory that one run is expected to use. Dropping it
/// releases the memory, and the request no longer counts as running.
///
/// Invariant: the run contributes `reserved` tokens to the total reserved at
/// its target.
pub(crate) struct MemoryReservation {
    reservations: Arc<MemoryReservations>,
    target: TargetName,
    key: LengthKey,
    prompt_tokens: u64,
    produced: u64,
    /// Number of produced tokens at which the next estimate is due.
    next_estimate_at: u64,
    /// Number of tokens that are recorded in the curves already. This is always 0,
    /// since an output is recorded only when it is complete.
    recorded: u64,
    reserved: u64,
}

impl MemoryReservation {
    /// Reserves the memory that a request is expected to use at a target, and
    /// counts the request as running at its service.
    pub fn new(
        reservations: &Arc<MemoryReservations>,
        target: &str,
        estimate: &RequestEstimate,
    ) -> Self {
        let mut counts = reservations.counts();
        *counts.reserved.entry(target.into()).or_default() += estimate.tokens;
        *counts
            .running
            .entry(service_customer_of(&estimate.key))
            .or_default() += 1;
        Self {
            reservations: reservations.clone(),
            target: target.into(),
            key: estimate.key.clone(),
            prompt_tokens: estimate.prompt_tokens,
            produced: 0,
            next_estimate_at: MIN_ESTIMATE_INTERVAL_TOKENS,
            recorded: 0,
            reserved: estimate.tokens,
        }
    }

    /// Counts one more produced token, and updates the reservation when a new
    /// estimate is due.
    pub fn add_token(&mut self) {
        self.produced += 1;
        if self.produced < self.next_estimate_at {
            return;
        }
        self.next_estimate_at = self.produced
            + MIN_ESTIMATE_INTERVAL_TOKENS.max(self.produced / ESTIMATE_INTERVAL_DIVISOR);
        let lengths = &self.reservations.lengths;
        let remaining = reserved_remaining(lengths, &self.key, self.produced);
        self.reserve(self.prompt_tokens + self.produced + remaining);
    }

    /// Records the length of the complete output in the curves.
    pub fn record_complete(&self, tokens: u64) {
        self.reservations
            .lengths
            .record_end(&self.key, self.recorded, tokens);
    }

    /// Changes the run's reservation to `tokens`.
    fn reserve(&mut self, tokens: u64) {
        let mut counts = self.reservations.counts();
        let reserved = counts.reserved.entry(self.target.clone()).or_default();
        *reserved = *reserved - self.reserved + tokens;
        self.reserved = tokens;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.reserve(0);
        decrement(
            &mut self.reservations.counts().running,
            &service_customer_of(&self.key),
        );
    }
}
