//! Counts the demand of customers, and refuses requests of those that are beyond their share
//! while a service is short of room.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{
    Gateway,
    admission::{Verdict, decide},
    customer_demand::ClassKey,
    customer_shares::{CustomerKey, is_short},
    demand_exchange::DemandExchange,
    job::{Admitted, Job},
    model::{Config, Fleet},
    peer_wire::target_key,
    refusal::Refusal,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
};

/// The [`DemandExchange`] of this daemon. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker(Arc<Mutex<DemandExchange>>);

impl DemandTracker {
    /// Returns the demand.
    pub fn lock(&self) -> MutexGuard<'_, DemandExchange> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whose demand a request counts as.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareAccount {
    class: ClassKey,
    customer: CustomerKey,
    /// Expected tokens at an engine, else 1.
    units: f64,
}

impl Config {
    /// Returns whether there is more than one customer.
    #[must_use]
    pub fn has_several_customers(&self) -> bool {
        let mut customers = self.customers_by_key.values();
        let first = customers.next();
        first.is_some_and(|first| customers.any(|other| other.name != first.name))
    }

    /// Returns the number of customers, which may have several keys each.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        let customers = self.customers_by_key.values();
        let names: HashSet<&str> = customers.map(|customer| &*customer.name).collect();
        names.len()
    }
}

impl Gateway {
    /// Returns whose demand a request counts as; `None` if it has no customer, or if there is
    /// only one.
    pub(super) fn share_account(
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
    ) -> Option<ShareAccount> {
        let customer = admitted.customer.as_ref()?;
        let config = fleet.config.as_ref()?;
        if !config.has_several_customers() {
            return None;
        }
        let service = config.services.get(&job.service)?;
        let is_stream = admitted.route.repeat_policy.is_stream();
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let units = match &service.engine {
            Some(engine) if is_stream => job.tokens().min(engine.memory_tokens.max(1)) as f64,
            _ => 1.0,
        };
        let priority = customer.priority.unwrap_or(admitted.route.priority);
        let class = format!("{} {priority} {is_stream}", job.service);
        Some(ShareAccount {
            class: target_key(&class),
            customer: target_key(&customer.name),
            units,
        })
    }

    /// Counts a request, or a further send of one, as demand of its customer.
    pub(super) fn record_demand(&self, job: &Job, now: BootTime) {
        if let Some(account) = &job.account {
            let mut demand = self.demand.lock();
            let meter = &mut demand.meter;
            meter.record(account.class, account.customer, account.units, now);
        }
    }

    /// Records that a target has begun to serve a request.
    pub(super) fn record_served(&self, job: &Job, now: BootTime) {
        if let Some(account) = &job.account {
            let mut demand = self.demand.lock();
            demand
                .meter
                .record_served(account.class, account.units, now);
        }
    }

    /// Records that a target has declined a request.
    pub(super) fn record_declined(&self, job: &Job, now: BootTime) {
        if let Some(account) = &job.account {
            let mut demand = self.demand.lock();
            demand.meter.record_declined(account.class, now);
        }
    }

    /// Refuses a request that has not run, if its service is short of room and its customer is
    /// beyond its share.
    pub(super) fn check_share(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
    ) -> Result<(), Refusal> {
        let Some(account) = &job.account else {
            return Ok(());
        };
        let now = clock::now();
        if !self.is_short(fleet, job, admitted, account, now) {
            return Ok(());
        }
        let limit = {
            let mut demand = self.demand.lock();
            demand.meter.record_short(account.class, now);
            demand.limit(account.class, account.customer)
        };
        let Some(limit) = limit.filter(|limit| rand::random::<f64>() >= limit.kept) else {
            return Ok(());
        };
        log::info!(
            "event=customer_share request={} service={} customer={:?} customer_share={:.3} \
             recent={:.2} usual={:.2}",
            shown(&job.info.request_id),
            shown(&job.service),
            admitted.customer.as_ref().map_or("", |c| &*c.name),
            limit.kept,
            limit.rate.recent,
            limit.rate.usual
        );
        Err(Refusal::CustomerShare)
    }

    /// Returns whether the service of a request is clearly short of room.
    fn is_short(
        &self,
        fleet: &Fleet,
        job: &Job,
        admitted: &Admitted,
        account: &ShareAccount,
        now: BootTime,
    ) -> bool {
        if let Some((_, room)) = self.room(fleet, job, admitted, &[], now) {
            let demand = job.admission_demand(admitted);
            let is_held_up = !matches!(decide(&demand, &room, now, 0.0), Verdict::Send);
            return is_held_up || is_short(room.taken_fraction(), None);
        }
        let taken = self.taken_fraction(fleet, job, admitted, now);
        let declined_age = self.demand.lock().meter.declined_age(account.class, now);
        is_short(taken, declined_age)
    }

    /// Returns the part of the places of a plain service that are taken, above 1 if requests
    /// wait for one; 0 without a target.
    fn taken_fraction(&self, fleet: &Fleet, job: &Job, admitted: &Admitted, now: BootTime) -> f64 {
        let settings = self.settings();
        let peer_load = self.shared.peer_load();
        let (mut requests, mut slots) = (0_u32, 0_u32);
        for entry in fleet.available_targets(&job.service) {
            let region = settings.region_of(&entry.target.zone);
            let customer = admitted.customer.as_deref();
            if admitted.route.allows_region(customer, region) {
                let (mut work, _) = self.loads.get(&entry.target.id, now);
                work.add(peer_load.work.get(&entry.key));
                requests = requests.saturating_add(work.requests);
                slots = slots.saturating_add(entry.target.slots);
            }
        }
        f64::from(requests) / f64::from(slots.max(1))
    }

    /// Sets the metric of the customers that are beyond their share.
    pub(super) fn set_share_gauges(&self) {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let limited = self.demand.lock().limited_count() as f64;
        metrics::gauge!("bluebell_gateway_limited_customers").set(limited);
    }
}
