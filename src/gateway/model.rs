//! Data model of the gateway: configuration, targets and store changes. Input is
//! decoded into these types once, where it is received.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use super::{config_patch::ConfigPatch, rollout::Rollout};
use crate::{clock::BootTime, platform::Revision};

/// Id of one incarnation (process run) of a target.
pub type TargetId = Box<str>;
/// Name of an availability zone.
pub type ZoneName = Box<str>;
/// Number of tokens, also as the unit of engine memory.
pub type Tokens = u64;

/// How often a request may run, and so whether it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
    /// The request must run at most once; its answer is a stream of events.
    Stream,
    /// The request may run more than once; its answer is a stream of events, which a further
    /// run continues after the last event that the caller has. The last variant, so that
    /// configurations without it are the same for older daemons.
    ResumableStream,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: Box<str>,
    /// Host that the route applies to.
    pub host: Box<str>,
    /// Prefix of the paths that the route applies to; starts and ends with a slash.
    pub path_prefix: Box<str>,
    /// Whether requests of the route may be repeated.
    pub repeat_policy: RepeatPolicy,
    /// Maximum time from the arrival of a request to the end of its answer.
    pub timeout: Duration,
    /// Latency objective, within which an answer has its full value; for streams, that
    /// of the first event.
    pub objective: Duration,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Services and their weights; never empty.
    pub weighted_services: Vec<(Box<str>, u32)>,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests are served without a customer's key.
    pub is_public: bool,
    /// Regions that may serve the route; empty for all.
    pub allowed_regions: Vec<Box<str>>,
}

/// Limits of an engine, from the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Number of requests that an engine decodes concurrently.
    pub slots: u32,
    /// Memory of an engine, in tokens.
    pub memory_tokens: Tokens,
    /// Number of bytes that are transferred per token when a run is copied to another
    /// engine.
    pub bytes_per_token: u64,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
    /// Whether engines, on request, copy a run to another engine as the run grows.
    pub has_backups: bool,
    /// Whether engines move a run to another engine on request.
    pub has_moves: bool,
}

/// One service of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum requests per second to a cold target; 0 for no limit.
    pub cold_per_second: f64,
    /// Limits of the engines; `None` for services without engines.
    pub engine: Option<EngineLimits>,
}

/// One customer of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name, which is passed on to targets.
    pub name: Box<str>,
    /// Priority that takes precedence over the route's.
    pub priority: Option<u8>,
    /// Regions that may serve the customer; empty for all.
    pub allowed_regions: Vec<Box<str>>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time between the first byte of a request head and its end.
    pub header_timeout: Duration,
    /// Maximum time that a connection may wait for its next request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number assigned by the operator.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Box<str>, Arc<Service>>,
    /// Customers by key.
    pub customers_by_key: HashMap<Box<str>, Arc<Customer>>,
    /// Whether the configuration lists customers; if not, no key is required.
    pub has_customers: bool,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// Description of a target, as in its own store entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Id of this incarnation.
    pub id: TargetId,
    /// Service that the target runs.
    pub service: Box<str>,
    /// Address at which the target receives requests, as `IP:port`.
    pub address: std::net::SocketAddr,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is draining: it finishes its requests and takes no new ones.
    pub is_draining: bool,
    /// Time for which the target remains cold, as of its entry.
    pub cold_for: Duration,
}

/// Kind of store entries that the gateway follows.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// The configuration.
    Config,
    /// The targets.
    Targets,
    /// Availability zones that are taken out of service.
    Evacuations,
    /// Rollouts; followed only with the setting `rollouts`.
    Rollouts,
}

impl Topic {
    /// Returns the topics that a daemon follows. Rollouts are last, so that messages of
    /// daemons without them stay the same.
    pub fn followed(has_rollouts: bool) -> impl Iterator<Item = Self> + Clone {
        Self::iter().filter(move |topic| has_rollouts || *topic != Self::Rollouts)
    }
}

/// Read request to the store.
#[derive(Clone, Debug)]
pub enum Read {
    /// Lists all entries after a name.
    List {
        /// Last name of the previous page; `None` for the first page.
        after: Option<Box<str>>,
    },
    /// Waits for changes after a revision.
    Watch {
        /// Revision of the last answer, with the era; the store has its own number.
        from: Revision,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
}

/// One change, or one entry of a list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Change {
    /// A configuration, with the revision at which it was written. Its order is that of
    /// [`super::ConfigStamp`].
    Config(Revision, Arc<Config>),
    /// The differences of a newer configuration from the one before it; sent between
    /// daemons only.
    ConfigPatch(Box<ConfigPatch>),
    /// A target that was added or changed.
    Target(Target),
    /// A target's entry was removed.
    TargetGone(TargetId),
    /// A zone was taken out of service and gets no new work.
    ZoneOut(ZoneName),
    /// A zone was returned to service.
    ZoneBack(ZoneName),
    /// An entry that cannot be decoded; nothing of its content is used.
    Unreadable {
        /// Name of the entry; empty if it has none that is readable.
        name: Box<str>,
        /// Error found in the entry.
        reason: Box<str>,
    },
    /// An order that was added or changed, or its status.
    Rollout(Rollout),
    /// The order for a service was removed.
    RolloutGone(Box<str>),
    /// Version of a target; follows the target's own change. Not a field of [`Target`], which
    /// daemons without rollouts exchange too.
    TargetVersion(TargetId, Box<str>),
}

/// Answer to a [`Read`].
#[derive(Clone, Debug)]
pub struct Batch {
    /// Revision of the store at the time of the answer, with the era.
    pub at: Revision,
    /// Entries or changes, in order.
    pub changes: Vec<Change>,
    /// Name after which the list continues; `None` at its end.
    pub next: Option<Box<str>>,
}

/// View of the store's content, for lookups while serving.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Newest configuration; `None` until one has been read.
    pub config: Option<Arc<Config>>,
    /// Revision of that configuration.
    pub config_revision: Revision,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, KnownTarget>,
    /// Zones that are out of service and get no new work.
    pub evacuated_zones: std::collections::BTreeSet<ZoneName>,
    /// Evacuated zones whose entries a restored store does not hold, and the time at which
    /// they return to service unless the entry does.
    pub lapsed_evacuations: BTreeMap<ZoneName, BootTime>,
    /// Rollouts by service.
    pub rollouts: BTreeMap<Box<str>, Rollout>,
    /// Services whose final status a restored store does not hold, with what it holds instead.
    /// Their entries in `rollouts` have the final status.
    pub lost_rollouts: BTreeMap<Box<str>, Option<Rollout>>,
    /// Whether every topic has been read at least once.
    pub is_complete: bool,
}

/// A target and the state that this daemon keeps about its store entry.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// Short hash of the target's id.
    pub key: super::peer_wire::TargetKey,
    /// Description from the target's entry.
    pub target: Arc<Target>,
    /// Version of the target's software; `None` if it states none or no rollouts are in use.
    pub version: Option<Box<str>>,
    /// Time until which the target is cold.
    pub cold_until: BootTime,
    /// Time at which the target is removed unless its entry returns; set if the entry
    /// expired while the store was unavailable.
    pub removal_due_at: Option<BootTime>,
    /// Time at which this daemon learned that the target is leaving; `None` if it is
    /// not leaving.
    pub leaving_since: Option<BootTime>,
    /// Time of the first answer in which the target said so; `None` if it has not, or if
    /// that was long ago.
    pub said_leaving_at: Option<BootTime>,
}
