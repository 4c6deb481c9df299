//! What one version of the configuration changes against the one before.
//!
//! Load pattern: the operator writes the configuration whole, several times a
//! second at worst, and it is many times as large as a datagram. Daemons pass
//! on what changed, so that a change neither waits for a connection nor fills
//! the links of those that pass it on.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::model::{CallerLimits, Change, Config, Customer, Route, Service};
use crate::platform::Revision;

/// What leads from one configuration to a newer one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Revision of the configuration that it applies to.
    pub base: Revision,
    /// Revision of the configuration that comes of it.
    pub revision: Revision,
    /// The operator's number of that configuration.
    pub version: u64,
    /// Host and path prefix of routes that are gone.
    routes_gone: Vec<(Box<str>, Box<str>)>,
    /// Routes that are new or changed.
    routes: Vec<Arc<Route>>,
    services_gone: Vec<Box<str>>,
    services: Vec<(Box<str>, Arc<Service>)>,
    keys_gone: Vec<Box<str>>,
    keys: Vec<(Box<str>, Arc<Customer>)>,
    has_customers: bool,
    limits: CallerLimits,
}

impl ConfigPatch {
    /// What leads from `old` to `new`, each given with its revision; `None` if
    /// routes of either cannot be told apart by host and path prefix.
    #[must_use]
    pub fn between(old: (Revision, &Config), new: (Revision, &Config)) -> Option<Self> {
        let (old_routes, new_routes) = (by_place(old.1)?, by_place(new.1)?);
        let gone = old_routes.keys().filter(|at| !new_routes.contains_key(*at));
        let is_new = |r: &&Arc<Route>| {
            let at = (&*r.host, &*r.path_prefix);
            old_routes.get(&at).is_none_or(|was| *was != *r)
        };
        Some(Self {
            base: old.0,
            revision: new.0,
            version: new.1.version,
            routes_gone: gone.map(|(h, p)| ((*h).into(), (*p).into())).collect(),
            routes: new.1.routes.iter().filter(is_new).cloned().collect(),
            services_gone: gone_names(&old.1.services, &new.1.services),
            services: changed(&old.1.services, &new.1.services),
            keys_gone: gone_names(&old.1.keys, &new.1.keys),
            keys: changed(&old.1.keys, &new.1.keys),
            has_customers: new.1.has_customers,
            limits: new.1.limits,
        })
    }

    /// The newer configuration, given the one that this applies to.
    #[must_use]
    pub fn apply(&self, old: &Config) -> Config {
        let is_gone = |r: &Arc<Route>| {
            let mut gone = self.routes_gone.iter();
            gone.any(|(host, prefix)| *host == r.host && *prefix == r.path_prefix)
        };
        let newer = |r: &Arc<Route>| {
            let mut newer = self.routes.iter();
            newer.any(|n| n.host == r.host && n.path_prefix == r.path_prefix)
        };
        let kept = old.routes.iter().filter(|r| !is_gone(r) && !newer(r));
        Config {
            version: self.version,
            routes: kept.chain(&self.routes).cloned().collect(),
            services: patched(&old.services, &self.services_gone, &self.services),
            keys: patched(&old.keys, &self.keys_gone, &self.keys),
            has_customers: self.has_customers,
            limits: self.limits,
        }
    }
}

/// Puts a patch in place of each configuration that follows another one.
#[must_use]
pub fn with_patches(known: (Revision, Option<Arc<Config>>), changes: &[Change]) -> Vec<Change> {
    let (mut revision, mut config) = known;
    let mut patch_of = |change: &Change| match change {
        Change::Config(newer, new) if *newer > revision => {
            let old = config.replace(new.clone());
            let base = std::mem::replace(&mut revision, *newer);
            let patch = ConfigPatch::between((base, &*old?), (*newer, new));
            patch.map(|p| Change::ConfigPatch(Box::new(p)))
        }
        _ => None,
    };
    let patched = changes.iter();
    patched
        .map(|change| patch_of(change).unwrap_or_else(|| change.clone()))
        .collect()
}

/// Routes by host and path prefix; `None` where two share both.
fn by_place(config: &Config) -> Option<HashMap<(&str, &str), &Arc<Route>>> {
    let places = config
        .routes
        .iter()
        .map(|r| ((&*r.host, &*r.path_prefix), r));
    let places: HashMap<_, _> = places.collect();
    (places.len() == config.routes.len()).then_some(places)
}

fn gone_names<T>(old: &HashMap<Box<str>, T>, new: &HashMap<Box<str>, T>) -> Vec<Box<str>> {
    let gone = old.keys().filter(|name| !new.contains_key(*name));
    gone.cloned().collect()
}

fn changed<T: PartialEq>(
    old: &HashMap<Box<str>, Arc<T>>,
    new: &HashMap<Box<str>, Arc<T>>,
) -> Vec<(Box<str>, Arc<T>)> {
    let changed = new.iter().filter(|(name, v)| old.get(*name) != Some(v));
    changed.map(|(name, v)| (name.clone(), v.clone())).collect()
}

fn patched<T>(
    old: &HashMap<Box<str>, Arc<T>>,
    gone: &[Box<str>],
    newer: &[(Box<str>, Arc<T>)],
) -> HashMap<Box<str>, Arc<T>> {
    let kept = old.iter().filter(|(name, _)| !gone.contains(*name));
    let kept = kept.map(|(name, v)| (name.clone(), v.clone()));
    kept.chain(newer.iter().cloned()).collect()
}
