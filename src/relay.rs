//! Selects the daemons that read the platform on behalf of their region, and
//! tracks how old the data is that the other daemons receive from them.
//!
//! The relays of a region poll the platform and hold a watch open. The other
//! daemons follow records and instances through their peers, and poll the
//! platform themselves only while what they receive from peers is too old.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::{self, BootTime},
    platform::{Instance, Instances},
    wire::{DaemonName, Echo, Heartbeat, Incarnation, InstancesPage, MemberId},
};

/// Number of daemons of a region that hold a watch and read the platform.
const RELAYS_PER_REGION: usize = 2;
/// Time for which the send time of a packet is kept; an echo of an older
/// packet does not bound the age of the packet that carries it.
const SENT_RETENTION: Duration = Duration::from_secs(30);

/// Returns the daemons of `members` that read the platform for all of them.
///
/// They are chosen by rendezvous hashing with `key`, usually the name of the
/// region, so every daemon computes the same relays from the same members.
#[must_use]
pub fn choose_relays(key: &str, members: impl IntoIterator<Item = DaemonName>) -> Vec<DaemonName> {
    let mut scored: Vec<([u8; 32], DaemonName)> = members
        .into_iter()
        .map(|name| {
            let text = format!("{key}\n{name}");
            (*blake3::hash(text.as_bytes()).as_bytes(), name)
        })
        .collect();
    scored.sort_unstable();
    scored.dedup();
    let highest = scored.into_iter().rev().take(RELAYS_PER_REGION);
    highest.map(|(_, name)| name).collect()
}

/// How a daemon follows the platform's records and instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Holds the watch and polls the revision and the instance list.
    #[default]
    Relay,
    /// Polls the revision and the instance list without holding a watch, because
    /// the last confirmation of the records or the instance list in use is too
    /// old.
    Fallback,
    /// Does not read the platform; follows it through peers only.
    Listener,
}

/// Sent and received packets, by which the age of a received packet is bounded
/// without comparing the clocks of instances: a packet that echoes one of this
/// daemon's packets was written after that packet was sent.
#[derive(Debug, Default)]
pub struct EchoTracker {
    /// Sequence numbers and send times of recent packets, in ascending order.
    sent: VecDeque<(u64, BootTime)>,
    received: BTreeMap<DaemonName, LastPacket>,
}

/// Newest packet received from one peer.
#[derive(Clone, Copy, Debug)]
struct LastPacket {
    incarnation: Incarnation,
    sequence: u64,
    received_at: BootTime,
}

impl EchoTracker {
    /// Records that a packet with this sequence number is sent at `now`.
    pub fn on_sent(&mut self, sequence: u64, now: BootTime) {
        self.sent.push_back((sequence, now));
        let is_expired = |at: BootTime| now.saturating_sub(at) > SENT_RETENTION;
        while self.sent.front().is_some_and(|(_, at)| is_expired(*at)) {
            self.sent.pop_front();
        }
    }

    /// Records a received packet. Returns false if it is not newer than the
    /// last packet received from that sender.
    pub fn record_received(&mut self, from: &MemberId, sequence: u64, now: BootTime) -> bool {
        let last = self.received.get(&from.name);
        let position = (from.incarnation, sequence);
        if last.is_some_and(|p| (p.incarnation, p.sequence) >= position) {
            return false;
        }
        let packet = LastPacket {
            incarnation: from.incarnation,
            sequence,
            received_at: now,
        };
        self.received.insert(from.name.clone(), packet);
        true
    }

    /// Returns the echo of the last packet received from `to`.
    #[must_use]
    pub fn echo_for(&self, to: &str, now: BootTime) -> Option<Echo> {
        let last = self.received.get(to)?;
        Some(Echo {
            incarnation: last.incarnation,
            sequence: last.sequence,
            elapsed_ms: clock::millis(now.saturating_sub(last.received_at)),
        })
    }

    /// Returns a lower bound for the time at which a packet with this echo was
    /// written.
    ///
    /// Returns `None` without an echo, and for an echo of another incarnation
    /// than `me` or of a packet whose send time is not kept.
    #[must_use]
    pub fn written_after(&self, me: Incarnation, echo: Option<Echo>) -> Option<BootTime> {
        let echo = echo.filter(|echo| echo.incarnation == me)?;
        let index = self.sent.binary_search_by_key(&echo.sequence, |(s, _)| *s);
        let (_, sent_at) = self.sent[index.ok()?];
        Some(sent_at + Duration::from_millis(echo.elapsed_ms))
    }
}

/// Times of the last contact with peers that have no newer configuration than
/// this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerContacts {
    /// Last contact with a daemon of this daemon's region.
    own_region: Option<BootTime>,
    /// Last contact with a daemon of another region.
    other_region: Option<BootTime>,
}

impl PeerContacts {
    /// Records that a peer without a newer configuration sent this daemon a
    /// packet after `at`.
    pub fn on_contact(&mut self, is_own_region: bool, at: BootTime) {
        let contact = if is_own_region {
            &mut self.own_region
        } else {
            &mut self.other_region
        };
        *contact = (*contact).max(Some(at));
    }

    /// Returns the time of the last contact with a daemon of any region or, with
    /// `needs_other_region`, of another region. Only the latter shows that this
    /// daemon's region as a whole is not cut off from the others.
    #[must_use]
    pub fn last(&self, needs_other_region: bool) -> Option<BootTime> {
        if needs_other_region {
            self.other_region
        } else {
            self.own_region.max(self.other_region)
        }
    }
}

/// The platform's instance list, read by this daemon or received from a peer.
#[derive(Debug, Default)]
pub struct InstanceList {
    /// Instances by name.
    pub instances: Instances,
    hash: u64,
    /// Time at which the list in use was read from the platform.
    read_at: Option<BootTime>,
    /// Time at which this daemon itself last read the list.
    own_read_at: Option<BootTime>,
}

impl InstanceList {
    /// Applies a list that this daemon requested from the platform at
    /// `asked_at`.
    pub fn on_read(&mut self, list: Vec<Instance>, asked_at: BootTime) {
        self.own_read_at = Some(asked_at);
        self.adopt(list, asked_at);
    }

    /// Applies a list received from a peer, unless the one in use is newer.
    pub fn on_page(&mut self, page: &InstancesPage, now: BootTime) {
        let age = page.age_ms.map(Duration::from_millis);
        let read_at = age.map(|age| now.saturating_sub(age));
        let list: Option<Vec<Instance>> = serde_json::from_str(&page.list).ok();
        if let (Some(read_at), Some(list)) = (read_at, list) {
            self.adopt(list, read_at);
        }
    }

    fn adopt(&mut self, list: Vec<Instance>, read_at: BootTime) {
        if self.read_at.is_some_and(|current| current > read_at) {
            return;
        }
        self.read_at = Some(read_at);
        let by_name = list.into_iter().map(|i| (i.name.clone(), i));
        self.instances = by_name.collect();
        let hash = blake3::hash(self.to_json().as_bytes());
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        self.hash = u64::from_be_bytes(prefix);
    }

    /// Returns whether the sender of `heartbeat` read a list that is newer than
    /// the one in use and differs from it. If it read the same list later, the
    /// time of that reading becomes the read time of the list in use.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: BootTime) -> bool {
        let age = heartbeat.own_list_read_age_ms.map(Duration::from_millis);
        let read_at = age.map(|age| now.saturating_sub(age));
        if read_at <= self.read_at {
            return false;
        }
        let differs = heartbeat.instance_list_hash != self.hash;
        if !differs {
            self.read_at = read_at;
        }
        differs
    }

    /// Returns the list in the form that is sent to another daemon.
    #[must_use]
    pub fn page(&self, now: BootTime) -> InstancesPage {
        InstancesPage {
            age_ms: self.read_at.map(|at| clock::millis(now.saturating_sub(at))),
            list: self.to_json().into(),
        }
    }

    /// Returns the hash of the list in use.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns the time since this daemon itself last read the list, in
    /// milliseconds, or `None` if it never did.
    #[must_use]
    pub fn own_age_ms(&self, now: BootTime) -> Option<u64> {
        let at = self.own_read_at?;
        Some(clock::millis(now.saturating_sub(at)))
    }

    /// Returns the time at which the list in use was read from the platform.
    #[must_use]
    pub fn read_at(&self) -> Option<BootTime> {
        self.read_at
    }

    /// Returns whether the list in use was read at most `max_age` before `now`.
    #[must_use]
    pub fn is_fresh(&self, now: BootTime, max_age: Duration) -> bool {
        let read_at = self.read_at;
        read_at.is_some_and(|at| now.saturating_sub(at) <= max_age)
    }

    fn to_json(&self) -> String {
        let list: Vec<&Instance> = self.instances.values().collect();
        serde_json::to_string(&list).unwrap_or_default()
    }
}
