//! Priorities of the requests to engines.
//!
//! Load pattern: engines have more requests than they can run at once, and urgent ones wait
//! behind less urgent ones until their deadline. Engines admit by priority, so each request
//! carries the one that the configuration gives it.

use super::model::{Config, Customer, RepeatPolicy, Route};

/// Highest number, and so the least urgent priority, that engines know.
const LEAST_URGENT: u8 = 9;

/// Most and least urgent priority of the requests to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorityRange {
    /// Lowest number.
    pub most_urgent: u8,
    /// Highest number.
    pub least_urgent: u8,
}

impl PriorityRange {
    fn add(range: &mut Option<Self>, priority: u8) {
        let priority = priority.min(LEAST_URGENT);
        let old = range.get_or_insert(Self {
            most_urgent: priority,
            least_urgent: priority,
        });
        old.most_urgent = old.most_urgent.min(priority);
        old.least_urgent = old.least_urgent.max(priority);
    }
}

impl Config {
    /// Returns the range of the priorities of requests to engines; `None` if there are no
    /// such requests, or if all of them have the same priority.
    #[must_use]
    pub fn engine_priorities(&self) -> Option<PriorityRange> {
        let mut range = None;
        let mut has_customer_without = false;
        let mut of_customers = None;
        for customer in self.customers_by_key.values() {
            match customer.priority {
                Some(priority) => PriorityRange::add(&mut of_customers, priority),
                None => has_customer_without = true,
            }
        }
        let routes = self.routes.iter().filter(|r| self.leads_to_engines(r));
        for route in routes {
            let is_open = route.is_public || !self.has_customers;
            if is_open || has_customer_without {
                PriorityRange::add(&mut range, route.priority);
            }
            if let Some(of_customers) = of_customers
                && !is_open
            {
                PriorityRange::add(&mut range, of_customers.most_urgent);
                PriorityRange::add(&mut range, of_customers.least_urgent);
            }
        }
        range.filter(|range| range.most_urgent < range.least_urgent)
    }

    /// Returns the priority of a request at an engine of `service`; `None` if the service has
    /// no engines or all requests are equally urgent.
    #[must_use]
    pub fn engine_priority(
        &self,
        route: &Route,
        customer: Option<&Customer>,
        service: &str,
    ) -> Option<u8> {
        if !self.leads_to_engines(route) || !self.has_engines(service) {
            return None;
        }
        self.engine_priorities()?;
        let of_customer = customer.and_then(|customer| customer.priority);
        Some(of_customer.unwrap_or(route.priority).min(LEAST_URGENT))
    }

    fn leads_to_engines(&self, route: &Route) -> bool {
        let mut services = route.weighted_services.iter();
        route.repeat_policy == RepeatPolicy::Stream && services.any(|(s, _)| self.has_engines(s))
    }

    fn has_engines(&self, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    }
}
