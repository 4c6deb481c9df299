//! State of the control thread: what is known, how sure it is, and who else is
//! there.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use strum::IntoEnumIterator;
use tokio::sync::{Notify, watch};

use super::{
    change_log::ChangeLog,
    config_patch::with_patches,
    extra_sends::SendBook,
    fleet::FeedState,
    load::LoadBook,
    model::{Change, Fleet, Topic},
    peer_wire::{Ask, Fetch, Running, Tell, Update, Works, target_key},
    peers::Peers,
    standing::{Others, Standing},
};
use crate::{
    clock::{self, BootTime},
    platform::Revision,
};

/// How long followers are told that the store came back; entries that lapsed
/// are settled by then.
const STORE_BACK_TOLD: Duration = Duration::from_secs(5);

/// State of the control thread.
pub(crate) struct Control {
    fleet: Fleet,
    feeds: HashMap<Topic, FeedState>,
    logs: HashMap<Topic, ChangeLog>,
    read_once: HashSet<Topic>,
    /// Another daemon's patch was for a configuration that this one never had;
    /// the configuration is to be taken whole.
    lacks_config: bool,
    /// When the read was sent that the configuration stands on.
    config_proof: Option<BootTime>,
    pub peers: Peers,
    loads: LoadBook,
    sends: SendBook,
    /// Window of the budget for repeated sends.
    window: Duration,
    standing: Arc<Standing>,
    reads: watch::Sender<bool>,
    /// Whether the last read of the configuration succeeded.
    is_up: watch::Sender<bool>,
}

/// What a daemon lacks of a topic.
enum Lacking {
    Nothing,
    Changes(Update),
    Whole,
}

impl Control {
    /// Starts with nothing known.
    pub fn new(
        peers: Peers,
        loads: LoadBook,
        sends: SendBook,
        window: Duration,
        standing: Arc<Standing>,
    ) -> Self {
        let (reads, _) = watch::channel(true);
        Self {
            fleet: Fleet::default(),
            feeds: HashMap::new(),
            logs: HashMap::new(),
            read_once: HashSet::new(),
            lacks_config: false,
            config_proof: None,
            peers,
            loads,
            sends,
            window,
            standing,
            reads,
            is_up: watch::channel(true).0,
        }
    }

    /// Tells whether this daemon is to read the store.
    pub fn reads(&self) -> watch::Receiver<bool> {
        self.reads.subscribe()
    }

    /// Tells whether the store answers.
    pub fn is_up(&self) -> watch::Receiver<bool> {
        self.is_up.subscribe()
    }

    /// Tells when this daemon's work changes.
    pub fn load_changes(&self) -> Arc<Notify> {
        self.loads.changes()
    }

    /// Revision up to which a topic is known; 0 before the first read.
    pub fn at(&self, topic: Topic) -> Revision {
        self.logs.get(&topic).map_or(0, ChangeLog::at)
    }

    fn have(&self) -> Vec<(Topic, Revision)> {
        let have = |topic| match topic {
            Topic::Config if self.lacks_config => 0,
            _ => self.at(topic),
        };
        Topic::iter().map(|topic| (topic, have(topic))).collect()
    }

    /// Notes an answer of the store. Returns what followers may lack of it.
    pub fn take_read(&mut self, mut update: Update, sent: BootTime) -> Option<Update> {
        let now = clock::now();
        let feed = self.feeds.entry(update.topic).or_default();
        if feed.away_since.is_some() {
            log::info!(
                "event=store_back topic={} revision={}",
                update.topic,
                update.at
            );
        }
        feed.succeeded(sent, now);
        if update.topic == Topic::Config {
            self.is_up.send_replace(true);
        }
        let before = self
            .logs
            .get(&update.topic)
            .map_or(0, ChangeLog::changed_at);
        if !update.is_whole {
            let known = (self.fleet.config_revision, self.fleet.config.clone());
            update.changes = with_patches(known, &update.changes);
        }
        let is_news = self.take(&update, now);
        if update.topic == Topic::Config && self.at(Topic::Config) <= update.at {
            self.prove(sent);
        }
        (is_news && !update.is_whole).then_some(Update {
            from: before,
            ..update
        })
    }

    /// Notes that the store did not answer.
    pub fn note_failure(&mut self, topic: Topic, error: &dyn std::error::Error) {
        let feed = self.feeds.entry(topic).or_default();
        if feed.away_since.is_none() {
            log::warn!(
                "event=store_lost topic={topic} error={:?}",
                error.to_string()
            );
        }
        feed.failed(clock::now());
        if topic == Topic::Config {
            self.is_up.send_replace(false);
        }
    }

    /// Applies an update where it leads on from what is known; true if it
    /// changed anything.
    fn take(&mut self, update: &Update, now: BootTime) -> bool {
        let log = self.logs.entry(update.topic).or_default();
        if update.at < log.at() || (!update.is_whole && update.from > log.at()) {
            return false;
        }
        if !update.is_whole && !self.fleet.can_apply(&update.changes) {
            log::info!(
                "event=config_gap revision={} from={} at={}",
                self.fleet.config_revision,
                update.from,
                update.at
            );
            self.lacks_config = true;
            return false;
        }
        let feed = self.feeds.entry(update.topic).or_default();
        self.lacks_config &= update.topic != Topic::Config;
        if update.is_whole {
            log.restart(update.at);
            self.fleet.replace(update.topic, &update.changes, feed, now);
            self.read_once.insert(update.topic);
            self.fleet.is_complete = Topic::iter().all(|t| self.read_once.contains(&t));
        } else {
            log.push(update.at, &update.changes);
            self.fleet.apply(&update.changes, feed, now);
        }
        let is_news = update.is_whole || !update.changes.is_empty();
        if is_news {
            self.standing.publish(self.fleet.clone());
        }
        is_news
    }

    fn prove(&mut self, sent: BootTime) {
        self.config_proof = self.config_proof.max(Some(sent));
        self.standing.prove_config(sent);
    }

    /// Takes changes that another daemon passed on; returns what followers may
    /// lack of them.
    pub fn take_updates(&mut self, updates: &[Update]) -> Vec<Update> {
        let now = clock::now();
        let mut news = Vec::new();
        for update in updates {
            let before = self
                .logs
                .get(&update.topic)
                .map_or(0, ChangeLog::changed_at);
            if self.take(update, now) && !update.is_whole {
                news.push(Update {
                    from: before,
                    ..update.clone()
                });
            }
        }
        news
    }

    /// Takes a reader's answer to the question asked at `asked`; returns what
    /// followers may lack of it.
    pub fn take_tell(&mut self, from: &str, tell: &Tell, asked: BootTime) -> Vec<Update> {
        let now = clock::now();
        if let Some(back) = tell.store_back_ms.map(Duration::from_millis) {
            let feed = self.feeds.entry(Topic::Targets).or_default();
            feed.back_since = feed.back_since.max(now.checked_sub(back));
        }
        let news = self.take_updates(&tell.updates);
        let proof_age = tell.proof_age_ms.map(Duration::from_millis);
        if let Some(age) = proof_age
            && self.at(Topic::Config) >= tell.config_at
            && let Some(sent) = asked.checked_sub(age)
        {
            self.prove(sent);
        }
        self.peers
            .note_tell(from, proof_age.filter(|_| !tell.is_away), now);
        news
    }

    /// A question for a reader.
    pub fn ask(&self, nonce: u64, is_far: bool) -> Ask {
        let zone = is_far.then(|| {
            let now = clock::now();
            let sends = self.sends.all(now, self.window);
            self.peers.zone_works(&self.own_works(), &sends, now)
        });
        Ask {
            nonce,
            have: self.have(),
            zone,
        }
    }

    /// What this daemon has running, for its zone.
    pub fn running(&self) -> Running {
        let now = clock::now();
        Running {
            own: self.own_works(),
            sends: self.sends.all(now, self.window),
            far: self.peers.is_first(now).then(|| self.peers.far_works(now)),
        }
    }

    /// Notes what another daemon has running.
    pub fn take_running(&mut self, from: &str, running: Running) {
        let now = clock::now();
        self.peers.note_running(from, running, now);
        self.share_others(now);
    }

    /// Whether this daemon reads in vain while one that asks it has read more:
    /// the store may refuse some daemons and serve others.
    pub fn lacks_any(&self, have: &[(Topic, Revision)]) -> bool {
        let is_newer = |(topic, have): &(Topic, Revision)| *have > self.at(*topic);
        *self.reads.borrow() && self.is_away() && have.iter().any(is_newer)
    }

    fn is_away(&self) -> bool {
        let feed = self.feeds.get(&Topic::Config);
        feed.is_some_and(|f| f.away_since.is_some())
    }

    /// Answers a question, but for updates that are too large.
    pub fn tell(&mut self, from: &str, ask: Ask) -> Tell {
        let now = clock::now();
        self.peers.note_ask(from, ask.zone, now);
        let back = self.feeds.get(&Topic::Targets).and_then(|f| f.back_since);
        let back = back
            .map(|at| now.saturating_sub(at))
            .filter(|b| *b < STORE_BACK_TOLD);
        let mut updates = Vec::new();
        let mut is_partial = false;
        for (topic, have) in ask.have {
            match self.lacking(topic, have) {
                Lacking::Nothing => {}
                Lacking::Changes(update) => updates.push(update),
                Lacking::Whole => is_partial = true,
            }
        }
        Tell {
            nonce: ask.nonce,
            proof_age_ms: self
                .config_proof
                .map(|at| clock::millis(now.saturating_sub(at)) + 1),
            config_at: self.at(Topic::Config),
            is_away: self.is_away(),
            updates,
            is_partial,
            store_back_ms: back.map(clock::millis),
        }
    }

    /// What a daemon lacks of a topic that it has up to a revision.
    fn lacking(&self, topic: Topic, have: Revision) -> Lacking {
        let at = self.at(topic);
        if at <= have {
            return Lacking::Nothing;
        }
        let changes = self.logs.get(&topic).and_then(|log| log.since(have));
        changes.map_or(Lacking::Whole, |changes| {
            Lacking::Changes(Update {
                topic,
                from: have,
                at,
                is_whole: false,
                changes,
            })
        })
    }

    /// Answers a fetch.
    pub fn fetched(&self, fetch: &Fetch) -> Vec<Update> {
        let known = fetch.have.iter().filter(|(topic, _)| self.at(*topic) > 0);
        let updates = known.filter_map(|(topic, have)| match self.lacking(*topic, *have) {
            Lacking::Nothing => None,
            Lacking::Changes(update) => Some(update),
            Lacking::Whole => Some(Update {
                topic: *topic,
                from: 0,
                at: self.at(*topic),
                is_whole: true,
                changes: self.fleet.entries(*topic, clock::now()),
            }),
        });
        updates.collect()
    }

    /// What to fetch.
    pub fn fetch(&self) -> Fetch {
        Fetch { have: self.have() }
    }

    fn share_others(&self, now: BootTime) {
        let (works, sends) = self.peers.others(now);
        let others = Others {
            works: works.into_iter().collect(),
            sends: sends.into_iter().collect(),
        };
        self.standing.set_others(others);
    }

    fn own_works(&self) -> Works {
        let all = self.loads.all().into_iter();
        all.map(|(id, work)| (target_key(&id), work)).collect()
    }

    /// Brings what depends on time up to date.
    pub fn tick(&mut self) {
        let now = clock::now();
        if self.fleet.expire(now) {
            self.standing.publish(self.fleet.clone());
        }
        let proof_age = self.config_proof.map(|at| now.saturating_sub(at));
        let is_reader = self.peers.is_reader(proof_age, now);
        self.reads.send_if_modified(|was| {
            let is_changed = *was != is_reader;
            if is_changed {
                log::info!(
                    "event=reader is_reader={is_reader} reads_for_us={:?}",
                    self.peers.reader(now)
                );
            }
            *was = is_reader;
            is_changed
        });
        self.standing.set_daemons(self.peers.daemons(now).into());
        self.share_others(now);
        let names = self.peers.names();
        if names.len() != self.standing.names().len() {
            self.standing.set_names(names);
        }
        let targets = &self.fleet.targets;
        self.loads.retain(|id| targets.contains_key(id));
    }
}

impl Fleet {
    /// A topic as a list of changes.
    fn entries(&self, topic: Topic, now: BootTime) -> Vec<Change> {
        match topic {
            Topic::Config => {
                let config = self.config.clone();
                let entry = config.map(|c| Change::Config(self.config_revision, c));
                entry.into_iter().collect()
            }
            Topic::Targets => {
                let entry = |known: &super::model::Known| {
                    let mut target = (*known.target).clone();
                    target.cold_for = known.cold_until.saturating_sub(now);
                    Change::Target(target)
                };
                self.targets.values().map(entry).collect()
            }
            Topic::Evacuations => self
                .zones_out
                .iter()
                .cloned()
                .map(Change::ZoneOut)
                .collect(),
        }
    }
}
