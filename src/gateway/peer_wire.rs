//! Defines the messages between the daemons of a gateway, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::{
    load::Work,
    model::{Change, Topic},
    rollout_report::RolloutReport,
    send_budget::SendCounts,
};
use crate::platform::Revision;

/// Start time of a process, in milliseconds since the Unix epoch; identifies one
/// run of a daemon.
pub type Incarnation = u64;
/// Short hash of a target's id or of a service's name; see [`target_key`].
pub type TargetKey = u32;
/// Short hash of what a crash may be due to: the id of a part of a prompt, or a whole
/// request; see [`target_key`].
pub type SubjectKey = u32;
/// Short hash of the id of a caller's attempt; see [`target_key`].
pub type AttemptKey = u32;
/// Number of a crash, which stays the same in all reports of it.
pub type CrashNumber = u32;

/// Work of one or more daemons, by target.
pub type TargetWork = Vec<(TargetKey, Work)>;

/// Sends of one or more daemons, by the hash of the service's name. While targets have
/// limits, also the sends to each of these and the requests for their services; see
/// `target_limits`.
pub type ServiceSendCounts = Vec<(TargetKey, SendCounts)>;

/// A datagram between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packet {
    /// Name of the sender.
    pub from: Box<str>,
    /// Availability zone of the sender.
    pub zone: Box<str>,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Content of the datagram.
    pub message: Message,
}

/// The content of a datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A query for changes.
    Query(Query),
    /// The answer to a query.
    Answer(Answer),
    /// Changes that a daemon forwards without being asked.
    Updates(Vec<Update>),
    /// A report of a daemon's running work, sent within its zone.
    WorkReport(WorkReport),
    /// Load of all other zones, sent by the leader of a zone to the daemons of the zone.
    OtherZones(ZoneLoad),
    /// Subjects of streamed requests on which targets crashed.
    Suspects(Vec<SuspectReport>),
    /// Subjects of plain requests on which targets crashed.
    PlainSuspects(Vec<SuspectReport>),
    /// What targets have stated of themselves.
    Statements(Vec<StatementReport>),
    /// Crashes of targets by the streamed requests that they ran.
    RequestCrashes(Vec<RequestCrashReport>),
    /// Crashes of targets by the plain requests that they ran.
    PlainRequestCrashes(Vec<RequestCrashReport>),
    /// Which configuration the sender has, while the store may hold an older one.
    ConfigStatement(ConfigStatement),
    /// Speeds of targets that differ from what is usual.
    Speeds(Vec<SpeedReport>),
    /// Demand of customers for services that are short of room.
    CustomerDemand(DemandReport),
    /// How far rollouts are, and the responses of both versions.
    Rollouts(Vec<RolloutReport>),
    /// The sender reads the store for daemons whose zone readers do not.
    ReadsForOthers,
}

/// A query from a daemon to another one for the changes that the sender does not have
/// yet. A query to another zone also reports the load of the sender's zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Number that the answer repeats.
    pub nonce: u64,
    /// Revision up to which the sender knows each topic; 0 requests the complete
    /// topic.
    pub known_revisions: Vec<(Topic, Revision)>,
    /// Load of the sender's zone; `None` in queries within the zone.
    pub zone: Option<ZoneLoad>,
}

/// Load of the daemons of one or more zones: their running work and recent sends.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Work of these daemons, by target.
    pub work: TargetWork,
    /// Sends of these daemons, by service.
    pub sends: ServiceSendCounts,
    /// Number of these daemons.
    pub daemons: u16,
}

/// Revision and operator's version of a daemon's configuration.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ConfigStatement {
    /// Revision, with the era.
    pub revision: Revision,
    /// The operator's version number.
    pub version: u64,
}

/// A report of a daemon's running work and recent sends.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkReport {
    /// Work of the sender, by target.
    pub sender_work: TargetWork,
    /// Sends of the sender, by service.
    pub sends: ServiceSendCounts,
}

/// Crashes of targets on requests with one subject, and answers with it. Ages are in
/// milliseconds at the time of the send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The subject.
    pub subject: SubjectKey,
    /// Ages and numbers of the crashes after the last answer with the subject; none if it is
    /// cleared.
    pub crashes: Vec<(u32, CrashNumber)>,
    /// Ages of answers without the subject that began between these crashes.
    pub others_begun_ages_ms: Vec<u32>,
    /// Age of the last answer with the subject; `None` if there was none.
    pub begun_age_ms: Option<u32>,
    /// Age of the last trial; `None` if there was none.
    pub tried_age_ms: Option<u32>,
    /// Number of trials since the first crash.
    pub trials: u32,
    /// Number of trials that were returned because they reached no engine.
    pub returns: u32,
    /// Age of the last request with the subject.
    pub asked_age_ms: u32,
}

/// Crashes of the targets that ran one request. Ages are in microseconds at the time of the
/// send: a request may be repeated less than a millisecond after a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCrashReport {
    /// The whole request.
    pub request: SubjectKey,
    /// Crashes after its last whole answer.
    pub crashes: Vec<RequestCrash>,
    /// Age of the last whole answer; `None` if there was none since the first crash.
    pub whole_age_us: Option<u64>,
}

/// Crash of a target while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCrash {
    /// Hash of the target's id.
    pub target: TargetKey,
    /// Hash of the id of the attempt.
    pub attempt: AttemptKey,
    /// Age of the crash.
    pub age_us: u64,
    /// Age of the send of the request to the target.
    pub sent_age_us: u64,
}

/// What a target has stated of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementReport {
    /// Hash of the target's id.
    pub target: TargetKey,
    /// Requests per second; `None` if the target no longer states a limit.
    pub per_second: Option<f32>,
    /// Age of the newest answer that says so, in milliseconds at the time of the send.
    pub age_ms: u32,
    /// Age of the first answer that says that the target leaves; `None` if there is none.
    pub leaving_age_ms: Option<u32>,
}

/// Long-lived speed of a target, as the sender has measured it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Hash of the target's id.
    pub target: TargetKey,
    /// How long work takes, where 100 is usual.
    pub percent: u16,
    /// Age of the newest sample, in milliseconds at the time of the send.
    pub age_ms: u32,
}

/// Demand of customers at one or more daemons for services that are short of room.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Whose demand this is.
    pub scope: DemandScope,
    /// Incarnation of the daemon that made the report, which others may pass on.
    pub origin: Incarnation,
    /// Number of the report, which rises with each one of that daemon.
    pub number: u32,
    /// The services; none at the end of a shortage.
    pub services: Vec<ServiceDemandReport>,
}

/// Whose demand a report states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DemandScope {
    /// That of one daemon, for the leader of its zone.
    #[default]
    Daemon,
    /// That of a zone, for the leaders of other zones.
    Zone,
    /// That of all daemons, for the daemons of a zone, which pass it on.
    All,
}

/// Demand for one service by requests of one priority. For rates, see [`rate_to_wire`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemandReport {
    /// Hash of the name of the service and of the priority.
    pub class: TargetKey,
    /// Whether a request has met no room recently.
    pub is_short: bool,
    /// Number of daemons whose demand this is.
    pub daemons: u16,
    /// Demand of all customers over the last seconds.
    pub recent: u32,
    /// Usual demand of all customers.
    pub usual: u32,
    /// What targets have begun to serve recently.
    pub served: u32,
    /// The largest customers.
    pub largest: Vec<CustomerDemand>,
}

/// Demand of one customer. For rates, see [`rate_to_wire`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerDemand {
    /// Hash of the customer's name.
    pub customer: u32,
    /// Demand over the last seconds.
    pub recent: u32,
    /// Usual demand.
    pub usual: u32,
    /// Standard deviation of the recent demand by chance.
    pub deviation: u32,
}

/// Steps per unit of a rate in messages: at a daemon of hundreds, a customer has a request in
/// some seconds.
const RATE_STEPS: f64 = 64.0;

/// Returns a rate per second as in messages, where small numbers take fewer bytes.
#[must_use]
pub fn rate_to_wire(rate: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    let steps = (rate * RATE_STEPS).round() as u32;
    steps
}

/// Returns the rate per second of a message.
#[must_use]
pub fn rate_from_wire(steps: u32) -> f64 {
    f64::from(steps) / RATE_STEPS
}

/// The answer to a [`Query`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Nonce of the query.
    pub nonce: u64,
    /// Age of the sender's configuration, in milliseconds, counted from the send time of
    /// the newest read that confirmed the configuration; `None` if there was no such
    /// read.
    pub config_age_ms: Option<u64>,
    /// Revision of the confirmed configuration.
    pub config_revision: Revision,
    /// Whether the sender's own reads of the configuration from the store fail.
    pub is_store_down: bool,
    /// Changes that the querying daemon does not have yet.
    pub updates: Vec<Update>,
    /// Whether further changes have to be fetched over TCP, because the querying daemon
    /// needs a complete topic or they do not fit into the datagram.
    pub is_partial: bool,
    /// Time since the store recovered, in milliseconds; `None` if that was not recent.
    pub store_back_ms: Option<u64>,
}

/// Changes of one topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// Topic to which the changes belong.
    pub topic: Topic,
    /// Revision after which the changes begin; 0 for a complete topic.
    pub from: Revision,
    /// Revision up to which the topic is known with these changes.
    pub at: Revision,
    /// Whether the changes are the complete topic.
    pub is_whole: bool,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// A request over TCP for changes and complete topics that datagrams cannot hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fetch {
    /// Revision up to which the sender knows each topic; 0 requests the complete
    /// topic.
    pub known_revisions: Vec<(Topic, Revision)>,
}

/// Returns the short hash of a target's id, of a service's name or of the id of a part of a
/// prompt or a request. Work and crashes are counted for all that have the same key, which at worst
/// leads to a poorer choice of target, or to the refusal of a sound request.
#[must_use]
pub fn target_key(id: &str) -> TargetKey {
    let hash = blake3::hash(id.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(first)
}
