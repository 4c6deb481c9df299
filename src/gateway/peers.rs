//! Who reads the store for whom, and what all daemons have running.
//!
//! Load pattern: every call to the store is paid and its rates grow more
//! slowly than the fleet, so that one daemon of a zone reads for all of it. The
//! others ask it several times a second. The answer carries the age of its
//! proof, counted from the question, so that neither a delay on the way nor a
//! pause of either process makes a proof look younger than it is.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use super::{
    extra_sends::SendCounts,
    load::Work,
    model::ZoneName,
    peer_wire::{Incarnation, Running, Sends, TargetKey, Works, ZoneWorks},
};
use crate::{cell, clock::BootTime};

/// Period of questions to the reader of the own zone. It bounds how old the
/// work of other daemons is in a choice of target.
pub const ASK_PERIOD: Duration = Duration::from_millis(200);
/// Period of questions between readers of zones; bytes between regions are paid.
pub const FAR_ASK_PERIOD: Duration = Duration::from_millis(300);
/// Longest pause between two words of what a daemon has running; changes are
/// told at once, since reading a prompt takes about as long.
pub const RUNNING_PERIOD: Duration = Duration::from_millis(400);
/// Silence after which a reader is replaced: two questions and a round trip
/// between regions.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// How long a daemon waits for answers of a better reader that is heard but has
/// not answered: several questions. A path may be open one way only.
const UNANSWERED_FOR: Duration = Duration::from_millis(1_500);
/// How long changes are passed on to a daemon that falls silent: five words of
/// what it has running may be lost.
const FOLLOWS_FOR: Duration = Duration::from_secs(2);
/// Age of a proof up to which its bearer is relied on: two waits of a watch
/// and the ways from zone to zone.
const RELIABLE_PROOF_AGE: Duration = Duration::from_secs(3);
/// Age of the own proof from which on a few daemons read beside the one that
/// reads for them; keys are trusted a little longer.
const STALE_PROOF_AGE: Duration = Duration::from_millis(3_400);
/// The same where the one that reads for them says that its calls fail: the
/// store may refuse it alone, and a new configuration has to be in force after
/// three seconds.
const STALE_IF_AWAY: Duration = Duration::from_secs(2);
/// Daemons of a zone that do so; one of them may be cut from the store as well.
const STAND_INS: usize = 2;
/// How long the work of a silent daemon counts: three words of it may be lost.
const WORK_KEPT: Duration = Duration::from_millis(1_500);
/// How long a silent daemon counts as one that shares budgets: a pause does
/// not end what it may send when it wakes.
const MEMBER_KEPT: Duration = Duration::from_secs(10);

/// Name of a daemon.
pub type DaemonName = Box<str>;

/// A daemon as the store lists it, or as it was heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its peer address.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: ZoneName,
}

/// What one other daemon said last.
#[derive(Clone, Debug)]
struct Heard {
    incarnation: Incarnation,
    last_at: BootTime,
    /// When it last answered a question.
    told_at: Option<BootTime>,
    /// When it last answered with a proof that is young enough to rely on.
    proved_at: Option<BootTime>,
    /// Its last answer came without a proof: its calls to the store fail.
    is_away: bool,
    /// Its own work.
    works: Works,
    /// Its own sends.
    sends: Sends,
    /// Work of its zone, from a reader of another zone; when that was.
    zone: Option<(BootTime, ZoneWorks)>,
    /// Work of all other zones, from a reader of the own zone; when that was.
    far: Option<(BootTime, ZoneWorks)>,
}

/// What this daemon knows of the others.
#[derive(Clone, Debug)]
pub struct Peers {
    name: DaemonName,
    zone: ZoneName,
    listed: BTreeMap<DaemonName, Listed>,
    heard: HashMap<DaemonName, Heard>,
    /// When this daemon began to look for a reader.
    started: BootTime,
}

impl Peers {
    /// Starts alone.
    #[must_use]
    pub fn new(name: impl Into<Box<str>>, zone: impl Into<Box<str>>, now: BootTime) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            listed: BTreeMap::new(),
            heard: HashMap::new(),
            started: now,
        }
    }

    /// Takes the daemons that the store lists.
    pub fn list(&mut self, daemons: impl IntoIterator<Item = (DaemonName, Listed)>) {
        for (name, listed) in daemons {
            if name != self.name {
                self.listed.insert(name, listed);
            }
        }
    }

    /// Names of all daemons that are listed, this one included.
    #[must_use]
    pub fn names(&self) -> Vec<DaemonName> {
        self.listed.keys().chain([&self.name]).cloned().collect()
    }

    /// Whether any other daemon is known.
    #[must_use]
    pub fn knows_any(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Notes a datagram of another daemon; false for one of an older run. A run
    /// that has been silent may be followed by one that seems older, since the
    /// time of day may have been set back.
    pub fn hear(
        &mut self,
        name: &str,
        listed: Listed,
        incarnation: Incarnation,
        now: BootTime,
    ) -> bool {
        if *name == *self.name {
            return false;
        }
        let last = self.heard.get(name);
        let is_old =
            |h: &Heard| incarnation < h.incarnation && now.saturating_sub(h.last_at) < WORK_KEPT;
        if last.is_some_and(is_old) {
            return false;
        }
        if self.listed.get(name) != Some(&listed) {
            log::info!(
                "event=daemon name={name} zone={} address={}",
                listed.zone,
                listed.address
            );
            self.listed.insert(name.into(), listed);
        }
        let heard = self.heard.entry(name.into()).or_insert_with(|| Heard {
            incarnation,
            last_at: now,
            told_at: None,
            proved_at: None,
            is_away: false,
            works: Works::new(),
            sends: Sends::new(),
            zone: None,
            far: None,
        });
        heard.incarnation = incarnation;
        heard.last_at = now;
        true
    }

    /// Notes a question, with the work of the asker's zone if it is another.
    pub fn note_ask(&mut self, name: &str, zone: Option<ZoneWorks>, now: BootTime) {
        if let Some(heard) = self.heard.get_mut(name)
            && let Some(zone) = zone
        {
            heard.zone = Some((now, zone));
        }
    }

    /// Notes an answer, and the age of the proof that came with it.
    pub fn note_tell(&mut self, name: &str, proof_age: Option<Duration>, now: BootTime) {
        if let Some(heard) = self.heard.get_mut(name) {
            heard.told_at = Some(now);
            heard.is_away = proof_age.is_none();
            if proof_age.is_some_and(|age| age < RELIABLE_PROOF_AGE) {
                heard.proved_at = Some(now);
            }
        }
    }

    /// Notes what a daemon of the own zone has running.
    pub fn note_running(&mut self, name: &str, running: Running, now: BootTime) {
        if let Some(heard) = self.heard.get_mut(name) {
            heard.works = running.own;
            heard.sends = running.sends;
            if let Some(far) = running.far {
                heard.far = Some((now, far));
            }
        }
    }

    /// Daemons of a zone, best reader first; this one is left out.
    fn ranked(&self, zone: &str) -> Vec<(u64, &str)> {
        let of_zone = self.listed.iter().filter(|(_, l)| *l.zone == *zone);
        let mut ranked: Vec<_> = of_zone
            .map(|(name, _)| (cell::score(zone, name), &**name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
    }

    /// Daemons of the own zone that are better readers than this one.
    fn better(&self) -> Vec<&str> {
        let own = cell::score(&self.zone, &self.name);
        let ranked = self.ranked(&self.zone);
        let better = ranked.into_iter().filter(|(score, _)| *score > own);
        better.map(|(_, name)| name).collect()
    }

    fn tells(&self, name: &str, now: BootTime) -> bool {
        let told = self.heard.get(name).and_then(|h| h.told_at);
        told.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER)
    }

    /// The daemon that reads for this one; `None` if it reads itself.
    #[must_use]
    pub fn reader(&self, now: BootTime) -> Option<&str> {
        self.better().into_iter().find(|name| self.tells(name, now))
    }

    /// Whether a better reader of the own zone is heard and is likely to answer
    /// soon. When a reader falls silent, the next best takes over, and the rest
    /// of the zone neither calls the store nor asks other zones.
    fn has_successor(&self, now: BootTime) -> bool {
        let better = self.better();
        let heard = better.iter().filter_map(|name| self.heard.get(*name));
        let last_told = heard.clone().filter_map(|h| h.told_at).max();
        let unanswered = now.saturating_sub(last_told.unwrap_or(self.started));
        let mut lately = heard.map(|h| now.saturating_sub(h.last_at));
        unanswered < UNANSWERED_FOR && lately.any(|ago| ago < SILENT_AFTER)
    }

    /// Whether a daemon of a zone that ranks higher than the own one supplies
    /// young proofs. Ranks keep two zones from relying on each other.
    fn has_far_source(&self, now: BootTime) -> bool {
        let own = zone_rank(&self.zone);
        let proves = |name: &str| {
            let proved = self.heard.get(name).and_then(|h| h.proved_at);
            proved.is_some_and(|at| now.saturating_sub(at) < SILENT_AFTER)
        };
        let mut listed = self.listed.iter();
        listed.any(|(name, l)| zone_rank(&l.zone) > own && proves(name))
    }

    /// Whether this daemon is to read the store, given the age of its own
    /// proof: where nobody reads for it, or, being one of a few, where the one
    /// that does has had no young proof for long.
    #[must_use]
    pub fn is_reader(&self, proof_age: Option<Duration>, now: BootTime) -> bool {
        if self.is_first(now) {
            return !self.has_far_source(now);
        }
        let age = proof_age.unwrap_or_else(|| now.saturating_sub(self.started));
        let reader = self.reader(now).and_then(|name| self.heard.get(name));
        let longest = match reader {
            Some(heard) if heard.is_away => STALE_IF_AWAY,
            _ => STALE_PROOF_AGE,
        };
        age > longest && self.better().len() < STAND_INS
    }

    /// Whether this daemon reads or asks other zones for its own.
    #[must_use]
    pub fn is_first(&self, now: BootTime) -> bool {
        self.reader(now).is_none() && !self.has_successor(now)
    }

    /// Whom to ask now in the own zone: the reader, or all that could be.
    #[must_use]
    pub fn to_ask(&self, now: BootTime) -> Vec<SocketAddr> {
        let better = self.better();
        let reader = better.iter().position(|name| self.tells(name, now));
        // One that outranks the reader may be back.
        let asked = reader.map_or(better.len(), |at| at + 1);
        self.addresses(&better[..asked])
    }

    /// Whom to ask in other zones, when this daemon reads for its own.
    #[must_use]
    pub fn to_ask_far(&self, now: BootTime) -> Vec<SocketAddr> {
        let mut zones: Vec<&str> = self.listed.values().map(|l| &*l.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let mut asked = Vec::new();
        for zone in zones.into_iter().filter(|z| **z != *self.zone) {
            let ranked: Vec<&str> = self.ranked(zone).into_iter().map(|(_, n)| n).collect();
            let reader = ranked.iter().position(|name| self.tells(name, now));
            let end = reader.map_or(ranked.len().min(2), |at| at + 1);
            asked.extend(self.addresses(&ranked[..end]));
        }
        asked
    }

    fn addresses(&self, names: &[&str]) -> Vec<SocketAddr> {
        names
            .iter()
            .map(|name| self.listed[*name].address)
            .collect()
    }

    /// Daemons of the own zone that were heard lately.
    #[must_use]
    pub fn mates(&self, now: BootTime) -> Vec<SocketAddr> {
        let lately = self
            .heard
            .iter()
            .filter(|(_, h)| now.saturating_sub(h.last_at) < FOLLOWS_FOR);
        let listed = lately.filter_map(|(name, _)| self.listed.get(name));
        listed
            .filter(|l| l.zone == self.zone)
            .map(|l| l.address)
            .collect()
    }

    /// Daemons to pass changes on to: the own zone, and readers of others.
    #[must_use]
    pub fn followers(&self, now: BootTime) -> Vec<SocketAddr> {
        let lately = self
            .heard
            .iter()
            .filter(|(_, h)| now.saturating_sub(h.last_at) < FOLLOWS_FOR);
        let listed = lately.filter_map(|(name, _)| self.listed.get(name));
        listed.map(|l| l.address).collect()
    }

    /// Fresh news of the other daemons of the own zone.
    fn near(&self, now: BootTime) -> impl Iterator<Item = &Heard> {
        self.heard.iter().filter_map(move |(name, heard)| {
            let is_fresh = now.saturating_sub(heard.last_at) < WORK_KEPT;
            let is_near = self.listed.get(name).is_some_and(|l| l.zone == self.zone);
            (is_fresh && is_near).then_some(heard)
        })
    }

    /// What the whole own zone has running, given that of this daemon.
    #[must_use]
    pub fn zone_works(&self, own: &Works, sends: &Sends, now: BootTime) -> ZoneWorks {
        let works = self.near(now).map(|h| &h.works);
        let sent = self.near(now).map(|h| &h.sends);
        ZoneWorks {
            works: sum(works.chain([own])),
            sends: sum_sends(sent.chain([sends])),
            daemons: self.zone_daemons(now),
        }
    }

    /// Work of all other zones, as their readers told this daemon.
    #[must_use]
    pub fn far_works(&self, now: BootTime) -> ZoneWorks {
        let newest = self.heard.iter().filter_map(|(name, heard)| {
            let (at, works) = heard.zone.as_ref()?;
            let zone = &*self.listed.get(name)?.zone;
            (now.saturating_sub(*at) < WORK_KEPT).then_some((zone, (*at, works)))
        });
        let mut zones: BTreeMap<&str, (BootTime, &ZoneWorks)> = BTreeMap::new();
        for (zone, told) in newest {
            let known = zones.entry(zone).or_insert(told);
            if told.0 > known.0 {
                *known = told;
            }
        }
        ZoneWorks {
            works: sum(zones.values().map(|(_, told)| &told.works)),
            sends: sum_sends(zones.values().map(|(_, told)| &told.sends)),
            daemons: zones.values().map(|(_, told)| told.daemons).sum(),
        }
    }

    /// Work of all other zones, at first hand or as the reader tells it.
    fn far(&self, now: BootTime) -> ZoneWorks {
        if self.reader(now).is_none() {
            return self.far_works(now);
        }
        let told = self.near(now).filter_map(|h| h.far.as_ref());
        let fresh = told.filter(|(at, _)| now.saturating_sub(*at) < WORK_KEPT);
        let newest = fresh.max_by_key(|(at, _)| *at);
        newest.map(|(_, far)| far.clone()).unwrap_or_default()
    }

    /// Work and sends of all other daemons.
    #[must_use]
    pub fn others(&self, now: BootTime) -> (Works, Sends) {
        let far = self.far(now);
        let works = self.near(now).map(|h| &h.works);
        let sends = self.near(now).map(|h| &h.sends);
        (
            sum(works.chain([&far.works])),
            sum_sends(sends.chain([&far.sends])),
        )
    }

    /// Daemons of the own zone, this one included.
    #[must_use]
    pub fn zone_daemons(&self, now: BootTime) -> u16 {
        self.count_listed(now, |l| l.zone == self.zone)
    }

    /// All daemons that may live, this one included: those heard lately, and
    /// where a zone's reader is heard, as many as it says.
    #[must_use]
    pub fn daemons(&self, now: BootTime) -> u16 {
        let direct = self.count_listed(now, |_| true);
        direct.max(self.zone_daemons(now).saturating_add(self.far(now).daemons))
    }

    fn count_listed(&self, now: BootTime, is_in: impl Fn(&Listed) -> bool) -> u16 {
        // One that is listed may come up later than this one.
        let is_young = now.saturating_sub(self.started) < MEMBER_KEPT;
        let members = self.listed.iter().filter(|(name, listed)| {
            let heard = self.heard.get(*name);
            let is_alive = heard.map_or(is_young, |h| now.saturating_sub(h.last_at) < MEMBER_KEPT);
            is_alive && is_in(listed)
        });
        u16::try_from(members.count())
            .unwrap_or(u16::MAX)
            .saturating_add(1)
    }
}

/// Rank of a zone among those that read for others.
fn zone_rank(zone: &str) -> (u64, &str) {
    (cell::score("store", zone), zone)
}

fn sum<'a>(all: impl Iterator<Item = &'a Works>) -> Works {
    let mut total: BTreeMap<TargetKey, Work> = BTreeMap::new();
    for (key, work) in all.flatten() {
        total.entry(*key).or_default().add(Some(work));
    }
    total.into_iter().collect()
}

fn sum_sends<'a>(all: impl Iterator<Item = &'a Sends>) -> Sends {
    let mut total: BTreeMap<TargetKey, SendCounts> = BTreeMap::new();
    for (key, counts) in all.flatten() {
        total.entry(*key).or_default().add(*counts);
    }
    total.into_iter().collect()
}
