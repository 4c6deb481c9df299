//! Decides which part of the requests of each customer is sent while a service is short of
//! room.
//!
//! Load pattern: 24 to 250 customers share the targets of a service, a few of them large, and
//! one of them suddenly sends 20 times its usual load. Queues fill, and without shares all
//! customers lose the same part of their requests. Meanwhile the callers of all customers repeat
//! what was declined, so that the demand of everyone rises as well.
//!
//! A customer is beyond its share only if it sends much more than its usual demand, grown as
//! much as that of the others that have grown less, and more than an equal part of the capacity. What
//! the others leave of the capacity is divided among such customers by weight, from the smallest
//! excess up (max-min fairness). The others are never limited, also if the capacity does not
//! suffice for them, since a wrong refusal costs more than a late answer.

use std::time::Duration;

/// Short hash of the name of a customer; see [`super::target_key`].
pub type CustomerKey = u32;

/// By how much the demand of a customer has to exceed its usual demand: demand over some seconds
/// varies, and callers repeat requests that were declined.
const BEYOND_USUAL: f64 = 2.0;
/// Number of standard deviations by which it also has to exceed that.
const DEVIATIONS: f64 = 3.0;
/// Part of the demand below which a customer is not limited: that would make little room, and
/// the demand of small customers varies most.
const MIN_PART: f64 = 0.04;
/// Part of the demand of all other customers below which a customer counts as the only one.
const ONLY_CUSTOMER: f64 = 0.001;
/// Part of the requests of a customer above which it is not limited at all.
const MAX_KEPT: f64 = 0.95;

/// Part of the places of a service that have to be taken for it to be short of room right after a
/// target has declined a request. Requests are distributed unevenly, and targets fault for other
/// reasons than load.
const DECLINING_FRACTION: f64 = 0.9;
/// How long a target's refusal shows that places are full.
const DECLINED_FOR: Duration = Duration::from_secs(1);

/// Demand of one customer, or of all customers, over all daemons, in requests or tokens per
/// second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerRate {
    /// Over the last seconds.
    pub recent: f64,
    /// Over the last minutes.
    pub usual: f64,
    /// Standard deviation of the recent demand by chance, from the number and size of requests.
    pub deviation: f64,
}

impl CustomerRate {
    fn growth(&self) -> f64 {
        if self.usual > 0.0 {
            (self.recent / self.usual).max(1.0)
        } else {
            1.0
        }
    }
}

/// Demand for one service by requests of the same priority, over all daemons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Demand of all customers.
    pub all: CustomerRate,
    /// What targets have begun to serve of it recently, per second.
    pub served: f64,
    /// Demand and weight of the largest customers.
    pub largest: Vec<(CustomerKey, CustomerRate, f64)>,
    /// Sum of the weights of all customers of the configuration.
    pub weights: f64,
}

/// What is decided of a customer that is beyond its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limited {
    /// The customer.
    pub customer: CustomerKey,
    /// Its demand.
    pub rate: CustomerRate,
    /// Part of its requests that are sent while room is short, from 0 to 1.
    pub kept: f64,
}

impl ServiceDemand {
    /// Returns by how much the demand of customers has grown from the usual one, at least 1. Those
    /// that have grown much more than the rest do not count.
    fn common_growth(&self) -> f64 {
        let mut by_growth: Vec<_> = self.largest.iter().map(|(_, rate, _)| rate).collect();
        by_growth.sort_by(|a, b| (b.recent * a.usual).total_cmp(&(a.recent * b.usual)));
        let mut rest = self.all;
        for rate in by_growth {
            let others = CustomerRate {
                recent: rest.recent - rate.recent,
                usual: rest.usual - rate.usual,
                ..rest
            };
            if rate.recent <= BEYOND_USUAL * others.growth() * rate.usual {
                break;
            }
            rest = others;
        }
        rest.growth()
    }

    /// Returns the demand that a customer may have in any case.
    fn guaranteed(&self, rate: &CustomerRate, weight: f64, growth: f64) -> f64 {
        let equal_part = self.served * weight / self.weights.max(weight);
        equal_part.max(BEYOND_USUAL * growth * rate.usual)
    }

    /// Returns whether a customer is clearly beyond what it may have in any case.
    fn is_beyond(&self, rate: &CustomerRate, guaranteed: f64) -> bool {
        let others = self.all.recent - rate.recent;
        rate.recent - DEVIATIONS * rate.deviation > guaranteed
            && rate.recent >= MIN_PART * self.all.recent
            && others > ONLY_CUSTOMER * self.all.recent
    }

    /// Returns the customers that are beyond their share. None are if it is not known what the
    /// targets can serve.
    #[must_use]
    pub fn limited(&self) -> Vec<Limited> {
        if self.served <= 0.0 {
            return Vec::new();
        }
        let growth = self.common_growth();
        let guaranteed = |(customer, rate, weight): &(CustomerKey, CustomerRate, f64)| {
            let guaranteed = self.guaranteed(rate, *weight, growth);
            let is_beyond = self.is_beyond(rate, guaranteed);
            is_beyond.then_some((*customer, *rate, *weight, guaranteed))
        };
        let beyond: Vec<_> = self.largest.iter().filter_map(guaranteed).collect();
        let of_beyond: f64 = beyond.iter().map(|(_, rate, ..)| rate.recent).sum();
        let of_guaranteed: f64 = beyond.iter().map(|(.., guaranteed)| guaranteed).sum();
        let left = self.served - (self.all.recent - of_beyond + of_guaranteed);
        let excess = beyond.iter();
        let excess =
            excess.map(|(_, rate, weight, guaranteed)| (rate.recent - guaranteed, *weight));
        let excess: Vec<_> = excess.collect();
        let limited = beyond.iter().zip(max_min(left, &excess));
        let limited = limited.map(|((customer, rate, _, guaranteed), extra)| Limited {
            customer: *customer,
            rate: *rate,
            kept: (guaranteed + extra) / rate.recent,
        });
        limited.filter(|limited| limited.kept < MAX_KEPT).collect()
    }
}

/// Returns whether a service is clearly short of room. `taken` is the part of its places that
/// are taken, and `declined_age` the time since a target last declined a request.
#[must_use]
pub fn is_short(taken: f64, declined_age: Option<Duration>) -> bool {
    let is_declining = declined_age.is_some_and(|age| age < DECLINED_FOR);
    taken >= 1.0 || (is_declining && taken >= DECLINING_FRACTION)
}

/// Divides `capacity` among demands, given with their weights: no one gets more than its
/// demand, and of what is left, those that want more get the same by weight.
#[must_use]
pub fn max_min(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut by_need: Vec<usize> = (0..demands.len()).collect();
    let need = |i: &usize| demands[*i].0 / demands[*i].1;
    by_need.sort_by(|a, b| need(a).total_cmp(&need(b)));
    let mut left = capacity.max(0.0);
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
    let mut parts = vec![0.0; demands.len()];
    for i in by_need {
        let (demand, weight) = demands[i];
        let part = demand.min(left * weight / weights);
        parts[i] = part;
        left -= part;
        weights -= weight;
    }
    parts
}
