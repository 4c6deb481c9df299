//! Which daemons read the platform for their cell, and what the others learn
//! from them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    clock::{self, BootTime},
    platform::{Instance, Instances},
    wire::{DaemonName, Echo, Heartbeat, Incarnation, InstancesPage, MemberId},
};

/// Daemons of a cell that hold a watch and read the platform.
const RELAYS: usize = 2;
/// Packets sent for longer than this no longer bound an answer's age.
const KEEP_SENT: Duration = Duration::from_secs(30);

/// The daemons of `members` that read the platform for `cell`, by rendezvous
/// hashing: each daemon computes the same ones from the same members.
#[must_use]
pub fn choose_relays(cell: &str, members: impl IntoIterator<Item = DaemonName>) -> Vec<DaemonName> {
    let mut scored: Vec<([u8; 32], DaemonName)> = members
        .into_iter()
        .map(|name| {
            let text = format!("{cell}\n{name}");
            (*blake3::hash(text.as_bytes()).as_bytes(), name)
        })
        .collect();
    scored.sort_unstable();
    scored.dedup();
    let highest = scored.into_iter().rev().take(RELAYS);
    highest.map(|(_, name)| name).collect()
}

/// What a daemon does at the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It holds the watch and reads revision and instances.
    #[default]
    Relay,
    /// It reads revision and instances, because no relay is heard confirming.
    Fallback,
    /// It hears from peers only.
    Listener,
}

/// Bounds the age of what peers say, without comparing clocks: a packet that
/// echoes one of ours was written after ours was sent.
#[derive(Debug, Default)]
pub struct Exchange {
    sent: VecDeque<(u64, BootTime)>,
    heard: BTreeMap<DaemonName, Heard>,
}

/// The newest packet of one peer.
#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: Incarnation,
    sequence: u64,
    at: BootTime,
}

impl Exchange {
    /// A packet with this sequence leaves at `now`.
    pub fn on_sent(&mut self, sequence: u64, now: BootTime) {
        self.sent.push_back((sequence, now));
        let is_old = |at: BootTime| now.saturating_sub(at) > KEEP_SENT;
        while self.sent.front().is_some_and(|(_, at)| is_old(*at)) {
            self.sent.pop_front();
        }
    }

    /// Takes note of a packet. Returns false when a newer one was heard before.
    pub fn hear(&mut self, from: &MemberId, sequence: u64, now: BootTime) -> bool {
        let known = self.heard.get(&from.name);
        let place = (from.incarnation, sequence);
        if known.is_some_and(|h| (h.incarnation, h.sequence) >= place) {
            return false;
        }
        let heard = Heard {
            incarnation: from.incarnation,
            sequence,
            at: now,
        };
        self.heard.insert(from.name.clone(), heard);
        true
    }

    /// What to tell `to` of its own packets.
    #[must_use]
    pub fn echo_for(&self, to: &str, now: BootTime) -> Option<Echo> {
        let heard = self.heard.get(to)?;
        Some(Echo {
            incarnation: heard.incarnation,
            sequence: heard.sequence,
            held_ms: clock::millis(now.saturating_sub(heard.at)),
        })
    }

    /// A moment before which a packet with this echo was certainly not
    /// written; `None` when the echo proves nothing.
    #[must_use]
    pub fn written_after(&self, me: Incarnation, echo: Option<Echo>) -> Option<BootTime> {
        let echo = echo.filter(|echo| echo.incarnation == me)?;
        let place = self.sent.binary_search_by_key(&echo.sequence, |(s, _)| *s);
        let (_, sent_at) = self.sent[place.ok()?];
        Some(sent_at + Duration::from_millis(echo.held_ms))
    }
}

/// When the configuration was last checked against others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contacts {
    /// Last contact with a daemon of the own region that is not ahead.
    own_region: Option<BootTime>,
    /// Last contact with a daemon of another region that is not ahead.
    other_region: Option<BootTime>,
}

impl Contacts {
    /// A peer that is not ahead of this daemon wrote to it after `at`.
    pub fn on_contact(&mut self, is_own_region: bool, at: BootTime) {
        let contact = if is_own_region {
            &mut self.own_region
        } else {
            &mut self.other_region
        };
        *contact = (*contact).max(Some(at));
    }

    /// Last contact that shows that the cell is not cut off as a whole. Where
    /// other regions have daemons, only they can show it.
    #[must_use]
    pub fn at(&self, has_other_regions: bool) -> Option<BootTime> {
        if has_other_regions {
            self.other_region
        } else {
            self.own_region.max(self.other_region)
        }
    }
}

/// The platform's instance list, read here or by a relay.
#[derive(Debug, Default)]
pub struct InstanceList {
    /// Instances by name.
    pub instances: Instances,
    hash: u64,
    /// When it was read at the platform.
    read_at: Option<BootTime>,
    /// When this daemon itself last read it.
    own_read_at: Option<BootTime>,
}

impl InstanceList {
    /// Takes a reading of this daemon, asked for at `asked_at`.
    pub fn on_read(&mut self, list: Vec<Instance>, asked_at: BootTime) {
        self.own_read_at = Some(asked_at);
        self.adopt(list, asked_at);
    }

    /// Takes a peer's reading. An older one than held changes nothing.
    pub fn on_page(&mut self, page: &InstancesPage, now: BootTime) {
        let age = page.age_ms.map(Duration::from_millis);
        let read_at = age.map(|age| now.saturating_sub(age));
        let list: Option<Vec<Instance>> = serde_json::from_str(&page.list).ok();
        if let (Some(read_at), Some(list)) = (read_at, list) {
            self.adopt(list, read_at);
        }
    }

    fn adopt(&mut self, list: Vec<Instance>, read_at: BootTime) {
        if self.read_at.is_some_and(|held| held > read_at) {
            return;
        }
        self.read_at = Some(read_at);
        let named = list.into_iter().map(|i| (i.name.clone(), i));
        self.instances = named.collect();
        let hash = blake3::hash(self.text().as_bytes());
        let mut start = [0; 8];
        start.copy_from_slice(&hash.as_bytes()[..8]);
        self.hash = u64::from_be_bytes(start);
    }

    /// Whether a relay that wrote `heartbeat` has a newer list, another one. A
    /// newer reading of the same list confirms it.
    pub fn is_behind(&mut self, heartbeat: &Heartbeat, now: BootTime) -> bool {
        let age = heartbeat.instances_age_ms.map(Duration::from_millis);
        let read_at = age.map(|age| now.saturating_sub(age));
        if read_at <= self.read_at {
            return false;
        }
        let differs = heartbeat.instances_hash != self.hash;
        if !differs {
            self.read_at = read_at;
        }
        differs
    }

    /// The list, for another daemon.
    #[must_use]
    pub fn page(&self, now: BootTime) -> InstancesPage {
        InstancesPage {
            age_ms: self.read_at.map(|at| clock::millis(now.saturating_sub(at))),
            list: self.text().into(),
        }
    }

    /// Hash of the list in use.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Age of this daemon's own last reading, in milliseconds.
    #[must_use]
    pub fn own_age_ms(&self, now: BootTime) -> Option<u64> {
        let at = self.own_read_at?;
        Some(clock::millis(now.saturating_sub(at)))
    }

    /// When the list in use was read at the platform.
    #[must_use]
    pub fn read_at(&self) -> Option<BootTime> {
        self.read_at
    }

    /// Whether the list was read less than `patience` before `now`.
    #[must_use]
    pub fn is_fresh(&self, now: BootTime, patience: Duration) -> bool {
        let read_at = self.read_at;
        read_at.is_some_and(|at| now.saturating_sub(at) <= patience)
    }

    fn text(&self) -> String {
        let list: Vec<&Instance> = self.instances.values().collect();
        serde_json::to_string(&list).unwrap_or_default()
    }
}
