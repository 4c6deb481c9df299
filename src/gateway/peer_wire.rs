//! What daemons of a gateway tell one another, encoded with `postcard`.

use serde::{Deserialize, Serialize};

use super::{
    extra_sends::SendCounts,
    load::Work,
    model::{Change, Topic},
};
use crate::platform::Revision;

/// Start of a process, in milliseconds since the epoch.
pub type Incarnation = u64;
/// Short form of a target's id; see [`target_key`].
pub type TargetKey = u32;

/// Work of some daemons at targets.
pub type Works = Vec<(TargetKey, Work)>;

/// Sends of some daemons by service; services are keyed like targets.
pub type Sends = Vec<(TargetKey, SendCounts)>;

/// A datagram between daemons.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packet {
    /// Name of the sender.
    pub from: Box<str>,
    /// Availability zone of the sender.
    pub zone: Box<str>,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// What it says.
    pub message: Message,
}

/// What a datagram says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A daemon asks a reader for what it lacks.
    Ask(Ask),
    /// A reader's answer.
    Tell(Tell),
    /// A reader passes changes on before it is asked.
    Push(Vec<Update>),
    /// What a daemon has running, to all of its zone.
    Running(Running),
}

/// A daemon asks a reader for what it lacks, and tells its own work.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ask {
    /// Repeated in the answer.
    pub nonce: u64,
    /// Revision of each topic that it has; 0 for none.
    pub have: Vec<(Topic, Revision)>,
    /// Work of its zone, where it asks for its zone.
    pub zone: Option<ZoneWorks>,
}

/// What the daemons of a zone have running.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ZoneWorks {
    /// Their work.
    pub works: Works,
    /// Their sends, by service.
    pub sends: Sends,
    /// How many they are.
    pub daemons: u16,
}

/// What a daemon has running, and what a reader knows of other zones.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Running {
    /// Work of the sender.
    pub own: Works,
    /// Sends of the sender, by service.
    pub sends: Sends,
    /// Work of all other zones, from a reader.
    pub far: Option<ZoneWorks>,
}

/// A reader's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Tell {
    /// Of the question.
    pub nonce: u64,
    /// Age of its proof of the configuration, in milliseconds.
    pub proof_age_ms: Option<u64>,
    /// Revision of the configuration that the proof is for.
    pub config_at: Revision,
    /// The sender's own calls to the store fail, or have not begun.
    pub is_away: bool,
    /// Changes that the asker lacks.
    pub updates: Vec<Update>,
    /// Some topics are to be fetched whole.
    pub is_partial: bool,
    /// How long ago the store came back, if lately, in milliseconds.
    pub store_back_ms: Option<u64>,
}

/// Changes of one topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// Topic that changed.
    pub topic: Topic,
    /// Revision from which the changes lead on; of a whole topic, 0.
    pub from: Revision,
    /// Revision that they lead up to.
    pub at: Revision,
    /// They are the whole topic.
    pub is_whole: bool,
    /// The changes in order.
    pub changes: Vec<Change>,
}

/// Asks for whole topics, over TCP.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fetch {
    /// Revision of each topic that the asker has.
    pub have: Vec<(Topic, Revision)>,
}

/// Short form of a target's id. Two targets with the same key would share
/// their work in each other's view, which costs a poorer choice at worst.
#[must_use]
pub fn target_key(id: &str) -> TargetKey {
    let hash = blake3::hash(id.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(first)
}
