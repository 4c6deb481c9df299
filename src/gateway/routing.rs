//! Which route, customer and service a request belongs to.

use std::sync::Arc;

use super::model::{Config, Customer, Route};

/// Why a request belongs to no route or customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Denied {
    /// No route has this host and path.
    NoRoute,
    /// The route asks for a key, and this one is not in force.
    UnknownKey,
}

impl Config {
    /// Finds the route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.iter().filter(|r| *r.host == *host);
        let fitting = of_host.filter(|r| path.starts_with(&*r.path_prefix));
        fitting.max_by_key(|r| r.path_prefix.len())
    }

    /// Finds the customer of a request; `None` inside where no key is needed.
    ///
    /// # Errors
    /// The key is missing or not in force.
    pub fn customer(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Customer>>, Denied> {
        if route.is_public || !self.has_customers {
            return Ok(None);
        }
        let customer = key.and_then(|key| self.keys.get(key));
        customer.cloned().map(Some).ok_or(Denied::UnknownKey)
    }
}

impl Route {
    /// Picks a service by weight; `at` is evenly spread over 0 to 1.
    #[must_use]
    pub fn pick_service(&self, at: f64) -> Option<&str> {
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = at * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| &**service)
    }

    /// Whether both the route and its customer may be served in a region.
    #[must_use]
    pub fn allows_region(&self, customer: Option<&Customer>, region: &str) -> bool {
        let allows =
            |regions: &[Box<str>]| regions.is_empty() || regions.iter().any(|r| **r == *region);
        allows(&self.allowed_regions) && customer.is_none_or(|c| allows(&c.allowed_regions))
    }
}
