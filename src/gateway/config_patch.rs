//! Computes and applies differences between versions of the configuration.
//!
//! Load pattern: the operator always writes the complete configuration, up to
//! several times a second, and it is many times as large as a datagram. Daemons
//! forward only the differences, so that a change neither waits for a TCP
//! connection nor saturates the links of the daemons that forward it.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{
    model::{CallerLimits, Change, Config, Customer, Route, Service},
    store_era::ConfigStamp,
};
use crate::platform::Revision;

/// The differences between a configuration and a newer one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Revision of the configuration to which the patch applies.
    pub base: Revision,
    /// Revision of the configuration that results from the patch.
    pub revision: Revision,
    /// The operator's version number of the resulting configuration.
    pub version: u64,
    /// Host and path prefix of each removed route.
    removed_routes: Vec<(Box<str>, Box<str>)>,
    /// Added and changed routes.
    routes: Vec<Arc<Route>>,
    removed_services: Vec<Box<str>>,
    services: Vec<(Box<str>, Arc<Service>)>,
    removed_keys: Vec<Box<str>>,
    customers_by_key: Vec<(Box<str>, Arc<Customer>)>,
    has_customers: bool,
    limits: CallerLimits,
}

impl ConfigPatch {
    /// Returns the patch from `old` to `new`, each given with its revision.
    ///
    /// Returns `None` if two routes of either configuration have the same host
    /// and path prefix, since the patch identifies routes by these.
    #[must_use]
    pub fn between(old: (Revision, &Config), new: (Revision, &Config)) -> Option<Self> {
        let (old_routes, new_routes) = (index_routes(old.1)?, index_routes(new.1)?);
        let removed = old_routes
            .keys()
            .filter(|key| !new_routes.contains_key(*key));
        let is_added_or_changed = |r: &&Arc<Route>| {
            let key = (&*r.host, &*r.path_prefix);
            old_routes.get(&key).is_none_or(|previous| *previous != *r)
        };
        Some(Self {
            base: old.0,
            revision: new.0,
            version: new.1.version,
            removed_routes: removed.map(|(h, p)| ((*h).into(), (*p).into())).collect(),
            routes: new
                .1
                .routes
                .iter()
                .filter(is_added_or_changed)
                .cloned()
                .collect(),
            removed_services: removed_names(&old.1.services, &new.1.services),
            services: changed_entries(&old.1.services, &new.1.services),
            removed_keys: removed_names(&old.1.customers_by_key, &new.1.customers_by_key),
            customers_by_key: changed_entries(&old.1.customers_by_key, &new.1.customers_by_key),
            has_customers: new.1.has_customers,
            limits: new.1.limits,
        })
    }

    /// Returns the newer configuration, given the one to which the patch applies.
    #[must_use]
    pub fn apply(&self, old: &Config) -> Config {
        let is_removed = |r: &Arc<Route>| {
            let mut removed = self.removed_routes.iter();
            removed.any(|(host, prefix)| *host == r.host && *prefix == r.path_prefix)
        };
        let is_replaced = |r: &Arc<Route>| {
            let mut newer = self.routes.iter();
            newer.any(|n| n.host == r.host && n.path_prefix == r.path_prefix)
        };
        let kept = old
            .routes
            .iter()
            .filter(|r| !is_removed(r) && !is_replaced(r));
        Config {
            version: self.version,
            routes: kept.chain(&self.routes).cloned().collect(),
            services: apply_entry_changes(&old.services, &self.removed_services, &self.services),
            customers_by_key: apply_entry_changes(
                &old.customers_by_key,
                &self.removed_keys,
                &self.customers_by_key,
            ),
            has_customers: self.has_customers,
            limits: self.limits,
        }
    }
}

/// Replaces each complete configuration in `changes` with a patch where its
/// predecessor is known.
///
/// `known` is the newest configuration before `changes`, with its revision. A
/// configuration for which no patch can be computed stays complete.
#[must_use]
pub fn replace_with_patches(
    known: (Revision, Option<Arc<Config>>),
    changes: &[Change],
) -> Vec<Change> {
    let (mut revision, mut config) = known;
    let mut to_patch = |change: &Change| match change {
        Change::Config(newer, new) if is_newer(*newer, new, revision, config.as_deref()) => {
            let old = config.replace(new.clone());
            let base = std::mem::replace(&mut revision, *newer);
            let patch = ConfigPatch::between((base, &*old?), (*newer, new));
            patch.map(|p| Change::ConfigPatch(Box::new(p)))
        }
        _ => None,
    };
    let changes = changes.iter();
    changes
        .map(|change| to_patch(change).unwrap_or_else(|| change.clone()))
        .collect()
}

/// Returns whether a configuration replaces the known one, if there is any.
fn is_newer(newer: Revision, new: &Config, revision: Revision, known: Option<&Config>) -> bool {
    let stamp = |revision, config: &Config| ConfigStamp {
        revision,
        version: config.version,
    };
    let known = known.map_or_else(ConfigStamp::default, |known| stamp(revision, known));
    stamp(newer, new).replaces(known)
}

/// Indexes routes by host and path prefix; returns `None` if two routes share both.
fn index_routes(config: &Config) -> Option<HashMap<(&str, &str), &Arc<Route>>> {
    let index = config
        .routes
        .iter()
        .map(|r| ((&*r.host, &*r.path_prefix), r));
    let index: HashMap<_, _> = index.collect();
    (index.len() == config.routes.len()).then_some(index)
}

fn removed_names<T>(old: &HashMap<Box<str>, T>, new: &HashMap<Box<str>, T>) -> Vec<Box<str>> {
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    removed.cloned().collect()
}

fn changed_entries<T: PartialEq>(
    old: &HashMap<Box<str>, Arc<T>>,
    new: &HashMap<Box<str>, Arc<T>>,
) -> Vec<(Box<str>, Arc<T>)> {
    let changed = new.iter().filter(|(name, v)| old.get(*name) != Some(v));
    changed.map(|(name, v)| (name.clone(), v.clone())).collect()
}

fn apply_entry_changes<T>(
    old: &HashMap<Box<str>, Arc<T>>,
    removed: &[Box<str>],
    changed: &[(Box<str>, Arc<T>)],
) -> HashMap<Box<str>, Arc<T>> {
    let kept = old.iter().filter(|(name, _)| !removed.contains(*name));
    let kept = kept.map(|(name, v)| (name.clone(), v.clone()));
    kept.chain(changed.iter().cloned()).collect()
}
