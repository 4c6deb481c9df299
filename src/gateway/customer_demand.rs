//! Measures the demand of customers at this daemon, by service and priority.
//!
//! Load pattern: 250 customers send 26 requests a second to each of 340 daemons, and the callers
//! of a customer may all be at a few of these. The usual demand is learned in intervals of some
//! seconds. If room was short in one of them or in the next one, the demand of a customer counts
//! only up to a little more than its usual one, so that neither the beginning of a burst nor a
//! long one soon counts as usual. A daemon that has just started does not know what is usual,
//! and takes the present demand for it.

use std::{collections::BTreeMap, time::Duration};

use super::{
    customer_shares::CustomerKey,
    peer_wire::{CustomerDemand, ServiceDemandReport, TargetKey, rate_to_wire},
};
use crate::clock::BootTime;

/// Short hash of the name of a service and of the priority of its requests: shares apply
/// between customers of equal priority.
pub type ClassKey = TargetKey;

/// Time over which recent demand is averaged.
const RECENT: Duration = Duration::from_secs(2);
/// Interval in which the usual demand is learned.
const INTERVAL: Duration = Duration::from_secs(4);
/// Time over which the usual demand is averaged.
const USUAL: Duration = Duration::from_secs(120);
/// Number of intervals after which the usual demand is known.
const MIN_INTERVALS: u32 = 2;
/// By how much the demand in an interval may exceed the usual one if room was short.
const MAX_GROWTH_IF_SHORT: f64 = 1.5;
/// How long a service counts as short of room after a request has met no room.
const SHORT_FOR: Duration = Duration::from_secs(3);
/// Number of customers by service in the report of one daemon.
const MAX_REPORTED: usize = 4;
/// Maximum number of services, counted by priority, in a report; those with the most demand.
pub(super) const MAX_CLASSES_REPORTED: usize = 3;
/// Maximum number of services, counted by priority, and of customers of one.
const MAX_CLASSES: usize = 64;
const MAX_CUSTOMERS: usize = 512;
/// Demand per second below which a customer is forgotten.
const NEGLIGIBLE: f64 = 0.001;

/// A rate per second, averaged with exponentially falling weights.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    /// Sum of the squares of the weighted samples.
    squares: f64,
    at: BootTime,
}

impl Average {
    fn get(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-age / RECENT.as_secs_f64()).exp()
    }

    /// Returns the variance of the average by chance, if requests arrive independently.
    fn variance(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.squares * (-2.0 * age / RECENT.as_secs_f64()).exp()
    }

    fn add(&mut self, units: f64, now: BootTime) {
        let sample = units / RECENT.as_secs_f64();
        self.squares = self.variance(now) + sample * sample;
        self.value = self.get(now) + sample;
        self.at = now;
    }
}

/// Demand of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    recent: Average,
    /// Demand within the present interval, and within the one before.
    in_interval: f64,
    in_last: f64,
    /// Usual demand per second.
    usual: f64,
}

/// Demand for one service by requests of one priority.
#[derive(Debug)]
struct Class {
    /// At most [`MAX_CUSTOMERS`].
    accounts: BTreeMap<CustomerKey, Account>,
    served: Average,
    interval_began: BootTime,
    /// Number of intervals that have ended.
    ended: u32,
    /// Last times at which a request met no room, and at which a target declined one.
    short_at: Option<BootTime>,
    declined_at: Option<BootTime>,
}

impl Class {
    fn new(now: BootTime) -> Self {
        Self {
            accounts: BTreeMap::new(),
            served: Average::default(),
            interval_began: now,
            ended: 0,
            short_at: None,
            declined_at: None,
        }
    }

    fn was_short_within(&self, time: Duration, now: BootTime) -> bool {
        self.short_at
            .is_some_and(|at| now.saturating_sub(at) < time)
    }

    /// Ends the intervals that are over.
    fn advance(&mut self, now: BootTime) {
        // After a long pause, the oldest intervals say nothing.
        let oldest = now.saturating_sub(2 * USUAL);
        self.interval_began = self.interval_began.max(oldest);
        while now.saturating_sub(self.interval_began) >= INTERVAL {
            self.interval_began += INTERVAL;
            self.learn(now);
            self.ended = self.ended.saturating_add(1);
        }
        if self.accounts.len() >= MAX_CUSTOMERS {
            self.accounts.retain(|_, account| {
                account.recent.get(now).max(account.usual) > NEGLIGIBLE
                    || account.in_interval + account.in_last > 0.0
            });
        }
    }

    /// Averages the demand in the last but one interval into the usual demand.
    fn learn(&mut self, now: BootTime) {
        let weight = INTERVAL.div_duration_f64(USUAL);
        let weight = weight.max(1.0 / f64::from(self.ended.max(1)));
        let is_capped = self.knows_usual() && self.was_short_within(2 * INTERVAL, now);
        let all: f64 = self.accounts.values().map(|account| account.usual).sum();
        #[expect(clippy::cast_precision_loss, reason = "at most MAX_CUSTOMERS")]
        let equal_part = all / self.accounts.len().max(1) as f64;
        for account in self.accounts.values_mut() {
            let cap = if is_capped {
                equal_part.max(MAX_GROWTH_IF_SHORT * account.usual)
            } else {
                f64::INFINITY
            };
            let sample = (account.in_last / INTERVAL.as_secs_f64()).min(cap);
            account.usual += weight * (sample - account.usual);
            account.in_last = std::mem::take(&mut account.in_interval);
        }
    }

    fn knows_usual(&self) -> bool {
        self.ended > MIN_INTERVALS
    }

    fn report(&mut self, class: ClassKey, now: BootTime) -> ServiceDemandReport {
        self.advance(now);
        let knows_usual = self.knows_usual();
        let rates = self.accounts.iter().map(|(customer, account)| {
            let recent = account.recent.get(now);
            let usual = if knows_usual { account.usual } else { recent };
            let deviation = account.recent.variance(now).sqrt();
            (*customer, recent, usual, deviation)
        });
        let mut rates: Vec<_> = rates.collect();
        let all: (f64, f64) = rates.iter().fold((0.0, 0.0), |sum, (_, recent, usual, _)| {
            (sum.0 + recent, sum.1 + usual)
        });
        rates.sort_by(|a, b| b.1.max(b.2).total_cmp(&a.1.max(a.2)));
        rates.truncate(MAX_REPORTED);
        let customer = |(customer, recent, usual, deviation)| CustomerDemand {
            customer,
            recent: rate_to_wire(recent),
            usual: rate_to_wire(usual),
            deviation: rate_to_wire(deviation),
        };
        ServiceDemandReport {
            class,
            is_short: self.was_short_within(SHORT_FOR, now),
            daemons: 1,
            recent: rate_to_wire(all.0),
            usual: rate_to_wire(all.1),
            served: rate_to_wire(self.served.get(now)),
            largest: rates.into_iter().map(customer).collect(),
        }
    }
}

/// Demand of customers at this daemon.
#[derive(Debug, Default)]
pub struct DemandMeter {
    /// At most [`MAX_CLASSES`].
    classes: BTreeMap<ClassKey, Class>,
}

impl DemandMeter {
    /// Counts a request, or a further send of one. `units` are its expected tokens at an engine,
    /// else 1.
    pub fn record(&mut self, class: ClassKey, customer: CustomerKey, units: f64, now: BootTime) {
        let Some(class) = self.class(class, now) else {
            return;
        };
        class.advance(now);
        let is_full = class.accounts.len() >= MAX_CUSTOMERS;
        if !is_full || class.accounts.contains_key(&customer) {
            let account = class.accounts.entry(customer).or_default();
            account.recent.add(units, now);
            account.in_interval += units;
        }
    }

    /// Counts a request that a target has begun to serve.
    pub fn record_served(&mut self, class: ClassKey, units: f64, now: BootTime) {
        if let Some(class) = self.class(class, now) {
            class.served.add(units, now);
        }
    }

    /// Records that a request has met no room.
    pub fn record_short(&mut self, class: ClassKey, now: BootTime) {
        if let Some(class) = self.class(class, now) {
            // Intervals that ended before this were not short.
            class.advance(now);
            class.short_at = Some(now);
        }
    }

    /// Records that a target has declined a request.
    pub fn record_declined(&mut self, class: ClassKey, now: BootTime) {
        if let Some(class) = self.class(class, now) {
            class.declined_at = Some(now);
        }
    }

    /// Returns whether a service is short of room here.
    #[must_use]
    pub fn is_short(&self, now: BootTime) -> bool {
        let mut classes = self.classes.values();
        classes.any(|class| class.was_short_within(SHORT_FOR, now))
    }

    /// Returns the time since a target last declined a request.
    #[must_use]
    pub fn declined_age(&self, class: ClassKey, now: BootTime) -> Option<Duration> {
        let declined_at = self.classes.get(&class)?.declined_at?;
        Some(now.saturating_sub(declined_at))
    }

    /// Returns the report of this daemon's demand for the services that are short of room here,
    /// and for those of `others`, at which they are short elsewhere.
    pub fn report(&mut self, others: &[ClassKey], now: BootTime) -> Vec<ServiceDemandReport> {
        for class in others {
            self.class(*class, now);
        }
        let short = self
            .classes
            .iter_mut()
            .filter(|(key, class)| class.was_short_within(SHORT_FOR, now) || others.contains(key));
        let mut reports: Vec<_> = short.map(|(key, class)| class.report(*key, now)).collect();
        reports.sort_by_key(|report| (std::cmp::Reverse(report.recent), report.class));
        reports.truncate(MAX_CLASSES_REPORTED);
        reports
    }

    fn class(&mut self, key: ClassKey, now: BootTime) -> Option<&mut Class> {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&key) {
            // Some are of services that no longer exist; what is usual is learned again.
            let is_unused = |class: &Class| now.saturating_sub(class.interval_began) > USUAL;
            self.classes.retain(|_, class| !is_unused(class));
            if self.classes.len() >= MAX_CLASSES {
                return None;
            }
        }
        Some(self.classes.entry(key).or_insert_with(|| Class::new(now)))
    }
}
