//! Messages that daemons send one another, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use crate::{platform::Revision, warmup::RampState};

/// Name of a daemon's instance.
pub type DaemonName = Box<str>;
/// Start of a process: a restarted daemon is another member.
pub type Incarnation = u64;
/// Name of a target's instance.
pub type TargetName = Box<str>;
/// Start of an engine, as it reports it.
pub type BootId = Box<str>;
/// One run of a request on one engine.
pub type GenerationId = Box<str>;

/// One run of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Instance name.
    pub name: DaemonName,
    /// Start of the process, in nanoseconds since the epoch.
    pub incarnation: Incarnation,
}

/// One datagram: who sent it, and what it says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Sender.
    pub from: MemberId,
    /// Rises with each datagram of one sender; an old one is dropped.
    pub sequence: u64,
    /// What it says.
    pub message: Datagram,
}

/// What datagrams say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Datagram {
    /// Sent to each member of the cell once a heartbeat period.
    Heartbeat(Heartbeat),
    /// A holder tells an owner what it holds and wants.
    CreditAsk(CreditAsk),
    /// An owner hands out credits.
    CreditGrant(CreditGrant),
    /// An owner leaves a target to another daemon.
    Handover(Handover),
    /// One cell tells another how much room it has.
    CellSummary(CellSummary),
}

/// Sign of life, with a digest of the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Availability zone of the sender.
    pub zone: Box<str>,
    /// Region of the sender.
    pub region: Box<str>,
    /// Address of its caller port, for forwarded requests.
    pub caller_address: Box<str>,
    /// It is stopping and takes no new work.
    pub is_draining: bool,
    /// It may own targets.
    pub can_own: bool,
    /// Revision of the records in force.
    pub revision: Revision,
    /// Revision of the newest change held, ahead of others or not.
    pub newest: Revision,
    /// Hash of the records in force.
    pub records_hash: u64,
    /// Age of its last confirmation by the platform, directly or through
    /// peers, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Age of its copy of the instance list, in milliseconds.
    pub list_age_ms: Option<u64>,
    /// Targets that are leaving by that list.
    pub leaving: Vec<TargetName>,
    /// Members it suspects or knows to be dead.
    pub silent: Vec<MemberId>,
    /// Hash of the instance list it uses.
    pub instances_hash: u64,
    /// Age of its own last reading of the instance list, in milliseconds.
    pub instances_age_ms: Option<u64>,
    /// The receiver's newest packet that it has; bounds this one's age.
    pub echo: Option<Echo>,
}

/// Which packet of the receiver the sender last had when it wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Run of the receiver that sent the packet.
    pub incarnation: Incarnation,
    /// Sequence of the packet.
    pub sequence: u64,
    /// Time since it arrived, in milliseconds.
    pub held_ms: u64,
}

/// What a holder of credits tells the target's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditAsk {
    /// Target concerned.
    pub target: TargetName,
    /// Credits held that have not lapsed.
    pub held: u32,
    /// Requests it has in flight there.
    pub in_flight: u32,
    /// Credits it could use now.
    pub wanted: u32,
    /// First tokens within the model's band since its start.
    pub first_tokens_on_time: u64,
    /// First tokens later than the band since its start.
    pub first_tokens_late: u64,
    /// Runs that broke since its start.
    pub failures: u64,
    /// What it last heard of the target's ramp, for a new owner.
    pub ramp: Option<RampState>,
}

/// A target's last load report in short. A hint: it never raises a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadHint {
    /// Tokens that fit in the engine's memory; 0 when unknown.
    pub kv_total: u64,
    /// Tokens of it that were free.
    pub kv_free: u64,
    /// Sequences that ran.
    pub running: u32,
    /// Sequences that waited for memory.
    pub waiting: u32,
}

/// Credits handed to one holder; replaces its earlier grant for the target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Target concerned.
    pub target: TargetName,
    /// Requests, or tokens of engine memory, that the holder may have there.
    pub credits: u32,
    /// Life of the grant from the sending of the ask, in milliseconds.
    pub life_ms: u32,
    /// What the owner knows of the target's ramp.
    pub ramp: Option<RampState>,
    /// What the target last reported to its owner.
    pub load: LoadHint,
    /// Sequence of the ask it answers, so that a late grant is known.
    pub answers: u64,
}

/// All that the last owner of a target knew of its holders, so that the next
/// one need not wait until their grants have lapsed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Target concerned.
    pub target: TargetName,
    /// One line for each holder.
    pub holders: Vec<HolderLine>,
}

/// One holder, as the last owner of a target knew it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderLine {
    /// The holder.
    pub holder: MemberId,
    /// Requests it had in flight when it last asked.
    pub in_flight: u32,
    /// Most requests that it may have in flight.
    pub max_in_flight: u32,
    /// Runs that broke since its start.
    pub failures: u64,
}

/// Room in a cell, by service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellSummary {
    /// Region of the cell.
    pub region: Box<str>,
    /// One line for each service.
    pub services: Vec<ServiceRoom>,
}

/// Room for one service in one cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRoom {
    /// Name of the service.
    pub service: Box<str>,
    /// Requests that the cell could take on now.
    pub free: u32,
    /// Age of that figure, in milliseconds.
    pub age_ms: u32,
}

/// What daemons ask one another over TCP: one request, one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks for all records and tombstones above a revision.
    RecordsAfter(Revision),
    /// Answer to [`Frame::RecordsAfter`]; unasked, changes just written.
    Records(RecordsPage),
    /// Asks for the platform's instance list as the peer last read it.
    InstancesAsk,
    /// Answer to [`Frame::InstancesAsk`].
    Instances(InstancesPage),
    /// Asks whether the peer runs a generation.
    FindGeneration(GenerationId),
    /// Answer to [`Frame::FindGeneration`].
    Generation(Option<GenerationPlace>),
    /// Tells of crashes that a request was part of.
    CrashMark(CrashMark),
    /// Acknowledges a notice.
    Done,
    /// The peer could not answer.
    Refused(Box<str>),
}

/// Records above a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordsPage {
    /// Revision above which the page has every change up to `revision`; `None`
    /// for single changes.
    pub after: Option<Revision>,
    /// Revision up to which the sender knows every change.
    pub revision: Revision,
    /// It has all live records; what it lacks was withdrawn.
    pub is_whole: bool,
    /// The changes.
    pub changes: Vec<RecordChange>,
}

/// One change of one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordChange {
    /// Platform key.
    pub key: Box<str>,
    /// Revision of the change.
    pub revision: Revision,
    /// JSON text of the document; `None` for a tombstone.
    pub document: Option<Box<str>>,
    /// Last valid form, when the change itself is not valid to the sender.
    pub valid: Option<ValidForm>,
}

/// The form of a record that is in force in place of an invalid change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ValidForm {
    /// Its revision.
    pub revision: Revision,
    /// JSON text of its document.
    pub document: Box<str>,
}

/// The platform's instance list, as one daemon last read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InstancesPage {
    /// Age of the reading, in milliseconds; `None` when there was none.
    pub age_ms: Option<u64>,
    /// JSON text of the list.
    pub list: Box<str>,
}

/// Where a generation runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GenerationPlace {
    /// Target that runs it.
    pub target: TargetName,
    /// The run on that target.
    pub generation: GenerationId,
}

/// A request was in flight at a target that crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashMark {
    /// Hash of customer and body.
    pub fingerprint: [u8; 16],
    /// Crashes it was part of.
    pub crashes: u32,
    /// Crashes in which nothing else was in flight.
    pub alone: u32,
}
