//! Defines the messages between daemons, encoded with `postcard`.
//!
//! The daemons of a region are divided into cells of bounded size. Each target
//! has an owner, the daemon that grants credits for it; a credit allows one
//! request in flight there. A holder is a daemon that requests such credits.

use serde::{Deserialize, Serialize};

use crate::{platform::Revision, warmup::RampState};

/// Instance name of a daemon.
pub type DaemonName = Box<str>;
/// Start time of a daemon's process, in nanoseconds since the Unix epoch; a
/// restarted daemon is a new member.
pub type Incarnation = u64;
/// Instance name of a target.
pub type TargetName = Box<str>;
/// Identifier of one start of an engine, as the engine reports it.
pub type BootId = Box<str>;
/// Identifier of one run of a request on one engine.
pub type GenerationId = Box<str>;

/// Identity of one run of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Instance name.
    pub name: DaemonName,
    /// Start time of the process, in nanoseconds since the Unix epoch.
    pub incarnation: Incarnation,
}

/// A datagram with its sender and sequence number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender.
    pub from: MemberId,
    /// Number that increases with each datagram of a sender. A receiver drops
    /// datagrams that are not newer than the last one.
    pub sequence: u64,
    /// Content of the datagram.
    pub message: Datagram,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Datagram {
    /// A sign of life, sent to each member of the cell once per heartbeat period.
    Heartbeat(Heartbeat),
    /// A holder's request for credits, sent to the owner of a target.
    #[strum(serialize = "credit_ask")]
    CreditRequest(CreditRequest),
    /// An owner's grant of credits to a holder.
    CreditGrant(CreditGrant),
    /// The holders of a target's credits, sent by its last owner to the next one.
    Handover(Handover),
    /// The free capacity of a cell, for another cell.
    CellSummary(CellSummary),
}

/// Sign of life, with a digest of the sender's configuration in effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Availability zone of the sender.
    pub zone: Box<str>,
    /// Region of the sender.
    pub region: Box<str>,
    /// Address of the sender's caller port, for forwarded requests.
    pub caller_address: Box<str>,
    /// Whether the sender is stopping and accepts no new work.
    pub is_draining: bool,
    /// Whether the sender may own targets.
    pub can_own_targets: bool,
    /// Revision of the records in effect.
    pub revision: Revision,
    /// Revision of the newest change held, even if earlier changes are missing.
    pub newest_revision: Revision,
    /// Hash of the records in effect.
    pub records_hash: u64,
    /// Time since the platform last confirmed the records, to the sender or to
    /// one of its peers, in milliseconds; `None` if it never did.
    pub confirmed_age_ms: Option<u64>,
    /// Time since the instance list that the sender uses was read from the
    /// platform, by the sender or by a peer, in milliseconds; `None` if the
    /// sender has no list.
    pub instance_list_age_ms: Option<u64>,
    /// Targets that are leaving according to that list.
    pub leaving_targets: Vec<TargetName>,
    /// Members that the sender considers suspect or dead.
    pub suspects: Vec<MemberId>,
    /// Hash of the instance list that the sender uses.
    pub instance_list_hash: u64,
    /// Time since the sender itself last read the instance list from the
    /// platform, in milliseconds; `None` if it never did.
    pub own_list_read_age_ms: Option<u64>,
    /// Echo of the last packet that the sender received from the receiver, which
    /// bounds the age of this packet; `None` if it received none.
    pub echo: Option<Echo>,
}

/// Last packet that the sender of a heartbeat received from its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the receiver that sent the echoed packet.
    pub incarnation: Incarnation,
    /// Sequence number of the echoed packet.
    pub sequence: u64,
    /// Time between the arrival of the echoed packet and this heartbeat, in
    /// milliseconds.
    pub elapsed_ms: u64,
}

/// A holder's request for credits and its use of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditRequest {
    /// Target that the credits are for.
    pub target: TargetName,
    /// Number of credits held that have not expired.
    pub held: u32,
    /// Number of the holder's requests in flight at the target.
    pub in_flight: u32,
    /// Number of credits that the holder could use now, beyond its requests in
    /// flight.
    pub additional: u32,
    /// Number of first tokens that arrived within the model's `first_token_band`,
    /// since the holder started.
    pub first_tokens_on_time: u64,
    /// Number of first tokens that arrived later, since the holder started.
    pub first_tokens_late: u64,
    /// Number of failed runs since the holder started.
    pub failures: u64,
    /// State of the target's ramp that the holder last received, for a new owner;
    /// `None` if it received none.
    pub ramp: Option<RampState>,
}

/// Summary of a target's last load report. It never raises a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Capacity of the engine's memory, in tokens; 0 if unknown.
    pub kv_total: u64,
    /// Free part of that capacity, in tokens.
    pub kv_free: u64,
    /// Number of running sequences.
    pub running: u32,
    /// Number of sequences waiting for memory.
    pub waiting: u32,
}

/// Credits granted to one holder; replaces its earlier grant for the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Target that the credits are for.
    pub target: TargetName,
    /// Number of requests that the holder may have in flight at the target.
    pub credits: u32,
    /// Lifetime of the grant, counted from when the credit request was
    /// sent, in milliseconds.
    pub life_ms: u32,
    /// State of the target's ramp; `None` if the owner does not know it, and in
    /// a revocation.
    pub ramp: Option<RampState>,
    /// Load that the target last reported to its owner; zero in a revocation.
    pub load: LoadSummary,
    /// Sequence number of the credit request that this grant answers, by which
    /// the holder detects a late grant.
    pub request_sequence: u64,
}

/// Holders that the last owner of a target knew, so that the next owner need
/// not wait until their grants have expired.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Target that changes its owner.
    pub target: TargetName,
    /// State of each holder.
    pub holders: Vec<HandoverEntry>,
}

/// State of one holder, as the last owner of a target knew it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The holder.
    pub holder: MemberId,
    /// Number of requests that it had in flight at its last credit request.
    pub in_flight: u32,
    /// Maximum number of requests that it may have in flight.
    pub max_in_flight: u32,
    /// Number of failed runs since the holder started.
    pub failures: u64,
}

/// Free capacity of a cell, by service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellSummary {
    /// Region of the cell.
    pub region: Box<str>,
    /// Free capacity for each service.
    pub services: Vec<ServiceFreeCapacity>,
}

/// Free capacity for one service in one cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceFreeCapacity {
    /// Name of the service.
    pub service: Box<str>,
    /// Number of further requests that the cell could accept now.
    pub free: u32,
    /// Age of `free`, in milliseconds.
    pub age_ms: u32,
}

/// A request or a response between daemons over TCP. Each request gets one
/// response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Requests all records and tombstones above a revision.
    RecordsRequest(Revision),
    /// Responds to [`Frame::RecordsRequest`]; as a request, carries a change that
    /// was just written.
    Records(RecordsPage),
    /// Requests the copy of the platform's instance list that the peer uses.
    InstancesRequest,
    /// Responds to [`Frame::InstancesRequest`].
    Instances(InstancesPage),
    /// Asks whether the peer runs a generation.
    FindGeneration(GenerationId),
    /// Responds to [`Frame::FindGeneration`]; `None` if the peer does not run it.
    Generation(Option<GenerationLocation>),
    /// Notifies the peer of the target crashes during which a request was in
    /// flight.
    CrashNotice(CrashNotice),
    /// Responds to [`Frame::Records`] and [`Frame::CrashNotice`].
    Acknowledged,
    /// Reports that the peer could not respond, with the reason.
    Rejected(Box<str>),
}

/// Record changes above a revision, or single ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordsPage {
    /// Revision above which the page has every change up to `revision`; `None`
    /// for single changes.
    pub after: Option<Revision>,
    /// Revision up to which the sender has every change.
    pub revision: Revision,
    /// Whether the page has all live records, so that a record missing from it
    /// was withdrawn.
    pub has_all_live_records: bool,
    /// The changes.
    pub changes: Vec<RecordChange>,
}

/// One change of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordChange {
    /// Platform key of the record.
    pub key: Box<str>,
    /// Revision of the change.
    pub revision: Revision,
    /// JSON text of the document; `None` for a tombstone.
    pub document: Option<Box<str>>,
    /// Version that stays in effect while this change is invalid; `None` if the
    /// change is valid or the record has no valid version.
    pub last_valid: Option<LastValidVersion>,
}

/// Version of a record that stays in effect while a newer change is invalid.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LastValidVersion {
    /// Revision of the version.
    pub revision: Revision,
    /// JSON text of its document.
    pub document: Box<str>,
}

/// Copy of the platform's instance list that one daemon uses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstancesPage {
    /// Time since the list was read from the platform, in milliseconds; `None`
    /// if the daemon has no list.
    pub age_ms: Option<u64>,
    /// JSON text of the list.
    pub list: Box<str>,
}

/// Target that runs a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerationLocation {
    /// Name of the target.
    pub target: TargetName,
    /// Identifier of the run on that target.
    pub generation: GenerationId,
}

/// Notice of the target crashes during which a request was in flight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Hash of the request's customer and body, which identifies the request.
    pub fingerprint: [u8; 16],
    /// Number of such crashes. If 0, the request completed and is no longer
    /// marked as a possible cause of a crash.
    pub crashes: u32,
    /// Number of such crashes for which the request was the only suspect.
    pub sole_suspect_crashes: u32,
}
