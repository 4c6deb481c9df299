//! Tracks the other daemons, and derives their health from their heartbeats.
//!
//! A member that stays silent becomes suspect and then dead. Datagrams that are
//! replayed, reordered or of an older incarnation are rejected.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{
    clock::BootTime,
    wire::{DaemonName, Heartbeat, Incarnation, MemberId},
};

/// Last known state of another daemon.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name and incarnation.
    pub id: MemberId,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Arrival time of the last heartbeat.
    pub received_at: BootTime,
    /// Last heartbeat received.
    pub heartbeat: Heartbeat,
}

impl Member {
    /// Returns whether the member lists a target as leaving in a copy of the
    /// instance list that is newer than one read at `listed_at`. If `listed_at`
    /// is `None`, any copy counts as newer.
    #[must_use]
    pub fn lists_as_leaving(&self, target: &str, listed_at: Option<BootTime>) -> bool {
        let age = self
            .heartbeat
            .instance_list_age_ms
            .map(Duration::from_millis);
        let read_at = age.and_then(|age| self.received_at.checked_sub(age));
        let is_newer = read_at > listed_at;
        is_newer
            && self
                .heartbeat
                .leaving_targets
                .iter()
                .any(|t| **t == *target)
    }
}

/// Health of a member, derived from the time since its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Health {
    /// Silent for less than the suspicion timeout.
    Alive,
    /// Silent for at least the suspicion timeout. The member is still live, and
    /// its credits still count.
    Suspect,
    /// Silent for at least twice the suspicion timeout.
    Dead,
}

/// The other daemons from which this one has received a heartbeat.
///
/// Invariants: the incarnation of a member never decreases; within one
/// incarnation, each datagram sequence number is accepted at most once and in
/// increasing order.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Newest incarnation of each daemon, and its last sequence number.
    newest: BTreeMap<DaemonName, (Incarnation, u64)>,
    members: BTreeMap<DaemonName, Member>,
    suspect_after: Duration,
}

impl Membership {
    /// Creates an empty member list. A member is suspect after a silence of
    /// `suspect_after`, and dead after twice that.
    #[must_use]
    pub fn new(suspect_after: Duration) -> Self {
        Self {
            newest: BTreeMap::new(),
            members: BTreeMap::new(),
            suspect_after,
        }
    }

    /// Returns whether a datagram is newer than all earlier ones of the same
    /// daemon, and records it if so. Replayed and reordered datagrams and those
    /// of an older incarnation are not new.
    pub fn is_new(&mut self, id: &MemberId, sequence: u64) -> bool {
        let last = self.newest.get(&id.name);
        if last.is_some_and(|last| (id.incarnation, sequence) <= *last) {
            return false;
        }
        let newest = (id.incarnation, sequence);
        self.newest.insert(id.name.clone(), newest);
        true
    }

    /// Records a heartbeat. Returns false, and ignores it, if it is of an older
    /// incarnation.
    pub fn on_heartbeat(
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
            received_at: now,
            heartbeat,
        };
        self.members.insert(id.name.clone(), member);
        true
    }

    /// Returns the state that decides whether a member owns targets: its
    /// incarnation, and `can_own_targets` and `is_draining` of its last
    /// heartbeat. Returns `None` if there is no member with this name.
    #[must_use]
    pub fn ownership_state(&self, name: &str) -> Option<(Incarnation, bool, bool)> {
        let member = self.members.get(name)?;
        let last = &member.heartbeat;
        Some((
            member.id.incarnation,
            last.can_own_targets,
            last.is_draining,
        ))
    }

    /// Returns the health of a member at `now`.
    #[must_use]
    pub fn health(&self, member: &Member, now: BootTime) -> Health {
        let silence = now.saturating_sub(member.received_at);
        if silence < self.suspect_after {
            Health::Alive
        } else if silence < self.suspect_after * 2 {
            Health::Suspect
        } else {
            Health::Dead
        }
    }

    /// Returns all members, including dead ones.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that are not dead at `now`.
    pub fn live(&self, now: BootTime) -> impl Iterator<Item = &Member> {
        let members = self.members.values();
        members.filter(move |m| self.health(m, now) != Health::Dead)
    }

    /// Removes members that have been dead for `keep`.
    pub fn prune(&mut self, now: BootTime, keep: Duration) {
        let max_silence = self.suspect_after * 2 + keep;
        self.members
            .retain(|_, m| now.saturating_sub(m.received_at) < max_silence);
    }
}
