//! Finds the route, customer and service of a request.

use std::sync::Arc;

use super::model::{Config, Customer, Route};

/// Reason for which a request matches no route or customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Denied {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request's key is missing or not in force.
    UnknownKey,
}

impl Config {
    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.iter().filter(|r| *r.host == *host);
        let matching = of_host.filter(|r| path.starts_with(&*r.path_prefix));
        matching.max_by_key(|r| r.path_prefix.len())
    }

    /// Returns the customer that `key` belongs to, or `None` if no key is required.
    ///
    /// # Errors
    /// Fails if the key is missing or not in force.
    pub fn customer(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Customer>>, Denied> {
        if route.is_public || !self.has_customers {
            return Ok(None);
        }
        let customer = key.and_then(|key| self.customers_by_key.get(key));
        customer.cloned().map(Some).ok_or(Denied::UnknownKey)
    }
}

impl Route {
    /// Picks a service by weight; `position` is uniformly distributed over 0 to 1.
    #[must_use]
    pub fn pick_service(&self, position: f64) -> Option<&str> {
        let total: u32 = self
            .weighted_services
            .iter()
            .map(|(_, weight)| weight)
            .sum();
        let mut remaining = position * f64::from(total);
        for (service, weight) in &self.weighted_services {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(service);
            }
        }
        self.weighted_services.last().map(|(service, _)| &**service)
    }

    /// Returns whether both the route and the customer allow a region.
    #[must_use]
    pub fn allows_region(&self, customer: Option<&Customer>, region: &str) -> bool {
        let allows =
            |regions: &[Box<str>]| regions.is_empty() || regions.iter().any(|r| **r == *region);
        allows(&self.allowed_regions) && customer.is_none_or(|c| allows(&c.allowed_regions))
    }
}
