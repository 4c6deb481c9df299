//! Which daemons of the cell are alive, by heartbeats.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::BootTime,
    wire::{DaemonName, Heartbeat, Incarnation, MemberId},
};

/// What is known of one other daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its current run.
    pub id: MemberId,
    /// Its peer port.
    pub address: SocketAddr,
    /// When it was last heard.
    pub heard_at: BootTime,
    /// What it last said.
    pub heartbeat: Heartbeat,
}

impl Member {
    /// Whether it knows a target to be leaving, by a newer copy of the instance
    /// list than one read at `listed_at`.
    #[must_use]
    pub fn lists_as_leaving(&self, target: &str, listed_at: Option<BootTime>) -> bool {
        let age = self.heartbeat.list_age_ms.map(Duration::from_millis);
        let read_at = age.and_then(|age| self.heard_at.checked_sub(age));
        let is_newer = read_at > listed_at;
        is_newer && self.heartbeat.leaving.iter().any(|t| **t == *target)
    }
}

/// How long a member has been silent, in words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// Heard of lately.
    Alive,
    /// Silent for a while; its credits still count.
    Suspect,
    /// Silent for twice as long.
    Dead,
}

/// The other daemons this one has heard of.
///
/// Invariants: a member's incarnation never falls; of one incarnation, each
/// datagram sequence is taken once and in rising order.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Newest incarnation of each daemon, and its last sequence.
    newest: BTreeMap<DaemonName, (Incarnation, u64)>,
    members: BTreeMap<DaemonName, Member>,
    suspect_after: Duration,
}

impl Membership {
    /// Starts with no members. `suspect_after` is the silence after which a
    /// member is suspect; after twice that it is dead.
    #[must_use]
    pub fn new(suspect_after: Duration) -> Self {
        Self {
            newest: BTreeMap::new(),
            members: BTreeMap::new(),
            suspect_after,
        }
    }

    /// Whether a datagram is newer than all before it of the same daemon; one
    /// that is replayed, overtaken or of an older incarnation is not.
    pub fn is_new(&mut self, id: &MemberId, sequence: u64) -> bool {
        let last = self.newest.get(&id.name);
        if last.is_some_and(|last| (id.incarnation, sequence) <= *last) {
            return false;
        }
        let newest = (id.incarnation, sequence);
        self.newest.insert(id.name.clone(), newest);
        true
    }

    /// Takes a heartbeat. Returns false for one of an older incarnation.
    pub fn hear(
        &mut self,
        id: &MemberId,
        address: SocketAddr,
        heartbeat: Heartbeat,
        now: BootTime,
    ) -> bool {
        let known = self.members.get(&id.name);
        if known.is_some_and(|m| m.id.incarnation > id.incarnation) {
            return false;
        }
        let member = Member {
            id: id.clone(),
            address,
            heard_at: now,
            heartbeat,
        };
        self.members.insert(id.name.clone(), member);
        true
    }

    /// What decides whether a member owns targets: its run, and what it last
    /// said of owning and stopping.
    #[must_use]
    pub fn standing_of(&self, name: &str) -> Option<(Incarnation, bool, bool)> {
        let member = self.members.get(name)?;
        let said = &member.heartbeat;
        Some((member.id.incarnation, said.can_own, said.is_draining))
    }

    /// Health of a member at `now`.
    #[must_use]
    pub fn health(&self, member: &Member, now: BootTime) -> Health {
        let silence = now.saturating_sub(member.heard_at);
        if silence < self.suspect_after {
            Health::Alive
        } else if silence < self.suspect_after * 2 {
            Health::Suspect
        } else {
            Health::Dead
        }
    }

    /// All members, dead ones included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are not dead at `now`.
    pub fn live(&self, now: BootTime) -> impl Iterator<Item = &Member> {
        let members = self.members.values();
        members.filter(move |m| self.health(m, now) != Health::Dead)
    }

    /// Forgets members that have been dead for `keep`.
    pub fn prune(&mut self, now: BootTime, keep: Duration) {
        let last = self.suspect_after * 2 + keep;
        self.members
            .retain(|_, m| now.saturating_sub(m.heard_at) < last);
    }
}
