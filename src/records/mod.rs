//! Records: the configuration that operators declare, decoded into one
//! internal form whatever schema version it was written in.
//!
//! The doc comments of types that derive `JsonSchema` are also the descriptions
//! in the published JSON Schemas.

mod check;
mod schema;
mod store;

use std::{collections::BTreeMap, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use check::{Fault, check_against_schema, check_consistency, referrers};
pub use schema::{
    Envelope, SCHEMA_V1, SCHEMA_V2, client_path, convert_schema, decode, json_schemas,
    merge_older_write,
};
pub use store::{RecordKey, RecordSet, RecordState, Snapshot};

/// Key prefix of all records in the platform's object API.
pub const RECORD_PREFIX: &str = "records/";

/// Kinds of records.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(ascii_case_insensitive)]
pub enum Kind {
    /// A model's properties.
    Model,
    /// A service: a group of like targets.
    Service,
    /// A customer and its key.
    Customer,
    /// An availability zone, in service or out.
    AvailabilityZone,
    /// Where requests of a service should go.
    RoutingIntent,
}

/// Properties of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Longest prompt and output together, in tokens.
    #[schemars(range(min = 1))]
    pub context_tokens: u32,
    /// First-token time above which a target counts as cold again.
    #[serde(with = "humantime_serde", default = "default_first_token_band")]
    #[schemars(with = "String")]
    pub first_token_band: Duration,
    /// Version of the weights that targets should serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights_version: Option<Box<str>>,
    /// Adapters that targets should load.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<Box<str>>,
}

fn default_first_token_band() -> Duration {
    Duration::from_millis(1600)
}

/// What the targets of a service are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceType {
    /// Model engines that stream tokens.
    Generation,
    /// Ordinary HTTP services.
    Plain,
}

/// How the tokens of a generation reach the caller.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Delivery {
    /// Each token as it arrives.
    #[default]
    Stream,
    /// All tokens at the end, so that a dead engine costs no answer.
    Whole,
}

/// How much work a target of a service takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Requests that a warm target runs at once.
    #[schemars(range(min = 1))]
    pub limit: u32,
    /// Requests that a target which has just started runs at once.
    #[schemars(range(min = 1))]
    pub cold_limit: u32,
    /// Time of good answers after which a cold target's limit doubles.
    #[serde(with = "humantime_serde", default = "default_ramp_window")]
    #[schemars(with = "String")]
    pub ramp_window: Duration,
    /// Tokens that one engine's memory holds; 0 when unknown.
    #[serde(default)]
    pub kv_tokens: u64,
}

fn default_ramp_window() -> Duration {
    Duration::from_secs(10)
}

/// Calls that may be repeated: a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method in capitals.
    pub method: Box<str>,
    /// Prefix of the path below the service.
    pub path: Box<str>,
}

/// A group of like targets, as its newest schema has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Engines or ordinary services.
    #[serde(rename = "type")]
    pub kind: ServiceType,
    /// Model that its engines serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<Box<str>>,
    /// How much each target takes.
    pub capacity: Capacity,
    /// Delivery for requests that do not choose.
    #[serde(default)]
    pub delivery: Delivery,
    /// Idempotent operations besides GET and HEAD.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idempotent: Vec<Operation>,
    /// Idempotent path that tells the outcome of a request; `{key}` stands for
    /// its idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lookup: Option<Box<str>>,
    /// How long the outcome of a request with an idempotency key is kept.
    #[serde(with = "humantime_serde", default = "default_retention")]
    #[schemars(with = "String")]
    pub retention: Duration,
    /// Whether its targets refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_retention() -> Duration {
    Duration::from_secs(7 * 24 * 3600)
}

/// A customer and its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Salt of the key's hash, in hexadecimal.
    pub key_salt: Box<str>,
    /// BLAKE3 of salt and key, in hexadecimal.
    pub key_hash: Box<str>,
    /// Share of a service that the customer may fill while others wait, in
    /// per cent.
    #[serde(default = "default_share")]
    #[schemars(range(min = 1, max = 100))]
    pub share_percent: u32,
}

fn default_share() -> u32 {
    100
}

/// Whether a zone takes new work.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ZoneState {
    /// It takes new work.
    #[default]
    Serving,
    /// Operators have taken it out; what runs there finishes.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Region it belongs to.
    pub region: Box<str>,
    /// In service or out.
    #[serde(default)]
    pub state: ZoneState,
}

/// Where requests of a service should go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RoutingIntent {
    /// Service it is for.
    pub service: Box<str>,
    /// Zones to use first, in this order.
    #[serde(default)]
    pub prefer_zones: Vec<Box<str>>,
    /// Whether requests may go to another region.
    #[serde(default = "default_true")]
    pub cross_region: bool,
}

fn default_true() -> bool {
    true
}

/// A valid record of any kind, in its internal form.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Record of the kind [`Kind::Model`].
    Model(Model),
    /// Record of the kind [`Kind::Service`].
    Service(Service),
    /// Record of the kind [`Kind::Customer`].
    Customer(Customer),
    /// Record of the kind [`Kind::AvailabilityZone`].
    AvailabilityZone(AvailabilityZone),
    /// Record of the kind [`Kind::RoutingIntent`].
    RoutingIntent(RoutingIntent),
}

/// Map from record name to record, for one kind.
pub type ByName<T> = BTreeMap<Box<str>, T>;
