//! Holds the state of the control thread: the known topics, the age of the
//! configuration, and the other daemons. The age is counted from the send time of
//! the newest read, by this or another daemon, that confirmed the configuration.

use std::{
    borrow::Cow,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use tokio::sync::{Notify, watch};

use super::{
    Trackers,
    change_log::ChangeLog,
    config_patch::replace_with_patches,
    demand_exchange::Surroundings,
    fallback_read::ConfigBound,
    fleet::FeedState,
    load::{LoadTracker, Work},
    model::{Change, Fleet, Topic},
    peer_wire::{
        Answer, ConfigStatement, DemandReport, Fetch, Query, ServiceSendCounts, TargetWork, Update,
        WorkReport, ZoneLoad, target_key,
    },
    peers::Peers,
    reach::Sibling,
    rollouts::Rollouts,
    send_budget::SendTracker,
    share_use::DemandTracker,
    shared_state::{PeerLoad, SharedState},
    speed_table::SpeedTracker,
    store_era::{ConfigStamp, era_of, is_written_in_era, revision_in_store},
    suspects::Suspects,
    target_statements::StatementTracker,
};
use crate::{
    clock::{self, BootTime},
    log::shown,
    platform::Revision,
};

/// How long answers report that the store has recovered; by then, expired entries
/// have returned or their targets are removed.
const STORE_BACK_REPORTED_FOR: Duration = Duration::from_secs(5);
/// How long a daemon that has read all else waits for the rollouts before it serves. A store
/// that refuses only this topic, or daemons without rollouts, must not keep it from serving.
const MAX_ROLLOUTS_WAIT: Duration = Duration::from_secs(3);

/// State of the control thread.
pub(crate) struct Control {
    fleet: Fleet,
    feeds: HashMap<Topic, FeedState>,
    change_logs: HashMap<Topic, ChangeLog>,
    topics_read: HashSet<Topic>,
    /// Whether rollouts are followed.
    has_rollouts: bool,
    /// Time at which all topics but the rollouts had been read; `None` before that.
    others_read_at: Option<BootTime>,
    /// Whether the complete configuration is needed, because a patch from another
    /// daemon is based on a configuration that this daemon never had.
    needs_full_config: bool,
    /// Send time of the newest read that confirmed the configuration; `None` before
    /// the first such read.
    config_confirmed_at: Option<BootTime>,
    /// Revision and time of a confirmation by another daemon whose configuration this
    /// one has yet to fetch.
    awaited_confirmation: Option<(Revision, BootTime)>,
    /// Notified when this daemon gains its first confirmed configuration.
    config_gained: Arc<Notify>,
    /// Notified once the store is known to have been restored from an older copy.
    era_began: Arc<Notify>,
    pub peers: Peers,
    loads: LoadTracker,
    sends: SendTracker,
    pub suspects: Suspects,
    pub statements: StatementTracker,
    pub speeds: SpeedTracker,
    pub demand: DemandTracker,
    pub rollouts: Rollouts,
    /// Window over which sends are counted for the budget of repeated sends.
    send_window: Duration,
    shared: Arc<SharedState>,
    /// Whether this daemon has to read the store.
    is_reader: watch::Sender<bool>,
    /// Whether that was decided at least once.
    is_reader_decided: bool,
    /// Whether the last read of the configuration succeeded.
    is_store_up: watch::Sender<bool>,
    /// Port at which daemons open connections to targets for others; `None` if they do not.
    pub tunnel_port: Option<u16>,
    /// Number of changes of the list of daemons that traffic knows.
    shared_changes: u64,
    /// Time of the newest watch of the configuration that its first lane sent.
    pub config_watched_at: BootTime,
    /// Notified when this daemon begins to read the store for others.
    term_began: Arc<Notify>,
    /// Time since which the configuration is older than it may be; `None` if it is not.
    config_stale_since: Option<BootTime>,
}

/// What follows from the comparison of two daemons' configurations.
pub(crate) enum Comparison {
    /// Both have the same.
    Same,
    /// The other daemon has a newer one, which is to be fetched.
    Fetch,
    /// This daemon has a newer one, which it sends to the other daemon.
    Tell(ConfigStatement),
}

fn statement(stamp: ConfigStamp) -> ConfigStatement {
    ConfigStatement {
        revision: stamp.revision,
        version: stamp.version,
    }
}

/// The part of a topic that a daemon does not have.
enum Missing {
    Nothing,
    Changes(Update),
    Whole,
}

impl Control {
    /// Creates the state of a daemon that knows no topic yet.
    pub fn new(
        peers: Peers,
        trackers: Trackers,
        send_window: Duration,
        shared: Arc<SharedState>,
    ) -> Self {
        Self {
            fleet: Fleet::default(),
            feeds: HashMap::new(),
            change_logs: HashMap::new(),
            topics_read: HashSet::new(),
            has_rollouts: false,
            others_read_at: None,
            needs_full_config: false,
            config_confirmed_at: None,
            awaited_confirmation: None,
            config_gained: Arc::default(),
            era_began: Arc::default(),
            peers,
            loads: trackers.loads,
            sends: trackers.sends,
            suspects: trackers.suspects,
            statements: trackers.statements,
            speeds: trackers.speeds,
            demand: trackers.demand,
            rollouts: trackers.rollouts,
            send_window,
            shared,
            // The first tick decides.
            is_reader: watch::channel(false).0,
            is_reader_decided: false,
            is_store_up: watch::channel(true).0,
            tunnel_port: None,
            shared_changes: 0,
            config_watched_at: BootTime::ZERO,
            term_began: Arc::default(),
            config_stale_since: None,
        }
    }

    /// Follows rollouts too.
    pub fn with_rollouts(mut self) -> Self {
        self.has_rollouts = true;
        self
    }

    /// Returns whether rollouts are followed.
    pub fn has_rollouts(&self) -> bool {
        self.has_rollouts
    }

    /// Returns the topics that this daemon follows.
    pub fn topics(&self) -> impl Iterator<Item = Topic> + use<> {
        Topic::followed(self.has_rollouts)
    }

    /// Returns the view of the fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns a receiver for whether this daemon has to read the store.
    pub fn subscribe_is_reader(&self) -> watch::Receiver<bool> {
        self.is_reader.subscribe()
    }

    /// Returns a receiver for whether the last read of the configuration succeeded.
    pub fn subscribe_is_store_up(&self) -> watch::Receiver<bool> {
        self.is_store_up.subscribe()
    }

    /// Returns the handle that is notified when this daemon's work is to be reported at once.
    pub fn report_requests(&self) -> Arc<Notify> {
        self.loads.report_requests()
    }

    /// Returns the revision up to which a topic is known; 0 before the first read.
    pub fn revision(&self, topic: Topic) -> Revision {
        self.change_logs.get(&topic).map_or(0, ChangeLog::revision)
    }

    /// Returns the known revision of each topic, for queries and fetches; 0 requests
    /// the complete topic.
    fn known_revisions(&self) -> Vec<(Topic, Revision)> {
        let revision = |topic| match topic {
            Topic::Config if self.needs_full_config => 0,
            _ => self.revision(topic),
        };
        self.topics()
            .map(|topic| (topic, revision(topic)))
            .collect()
    }

    /// Applies an answer of the store to a read sent at `sent`. Returns the update to
    /// forward to other daemons, if any.
    pub fn apply_read(&mut self, mut update: Update, sent: BootTime) -> Option<Update> {
        let now = clock::now();
        let feed = self.feeds.entry(update.topic).or_default();
        if feed.outage_since.is_some() {
            log::info!(
                "event=store_back topic={} revision={}",
                update.topic,
                update.at
            );
        }
        feed.record_success(sent, now);
        if update.topic == Topic::Config {
            self.is_store_up.send_replace(true);
            self.peers.record_config_read(true, now);
            self.shared.record_store_failure(None);
        }
        let last_change = self
            .change_logs
            .get(&update.topic)
            .map_or(0, ChangeLog::last_change);
        if !update.is_whole {
            let known = (self.fleet.config_revision, self.fleet.config.clone());
            update.changes = replace_with_patches(known, &update.changes);
            self.fleet.remove_known_versions(&mut update.changes);
        }
        let before = self.fleet.config_stamp();
        let has_changes = self.apply_update(&update, now);
        self.log_config_source(before, "store", now.saturating_sub(sent));
        if update.topic == Topic::Config && self.revision(Topic::Config) <= update.at {
            self.confirm_config(sent);
        }
        (has_changes && !update.is_whole).then_some(Update {
            from: last_change,
            ..update
        })
    }

    /// Records that a read of a topic failed.
    pub fn record_read_failure(&mut self, topic: Topic, error: &dyn std::error::Error) {
        let feed = self.feeds.entry(topic).or_default();
        if feed.outage_since.is_none() {
            log::warn!(
                "event=store_lost topic={topic} error={:?}",
                error.to_string()
            );
        }
        feed.record_failure(clock::now());
        if topic == Topic::Config {
            self.is_store_up.send_replace(false);
            self.record_config_failure();
        }
    }

    /// Records that a read of the configuration failed, or a call that was to precede one.
    pub fn record_config_failure(&mut self) {
        let now = clock::now();
        self.peers.record_config_read(false, now);
        self.shared.record_store_failure(Some(now));
    }

    /// Returns the time within which a change of the configuration has to be in force, and what
    /// follows from it.
    pub fn config_bound(&self) -> ConfigBound {
        self.peers.fallback().bound()
    }

    /// Returns the age of the configuration; `None` before the first confirmation.
    pub fn config_age(&self, now: BootTime) -> Option<Duration> {
        self.config_confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns when this daemon reads the configuration for itself unless it is confirmed until
    /// then; `None` while it has just started.
    pub fn config_read_due(&self, now: BootTime) -> Option<BootTime> {
        self.peers.config_read_due(self.config_age(now), now)
    }

    /// Begins to read the store for others, after a read of this daemon for itself.
    pub fn begin_term(&mut self) {
        let now = clock::now();
        if self.peers.follows_store(now) {
            return;
        }
        self.peers.begin_term(now);
        self.decide_reader(now);
        if self.peers.fallback().is_in_term(now) {
            self.term_began.notify_one();
        }
    }

    /// Returns the handle that is notified when this daemon begins to read the store for others.
    pub fn term_began(&self) -> Arc<Notify> {
        self.term_began.clone()
    }

    /// Applies an update if it continues from the known revision. Returns whether it
    /// changed anything.
    fn apply_update(&mut self, update: &Update, now: BootTime) -> bool {
        if update.topic == Topic::Rollouts && !self.has_rollouts {
            return false;
        }
        let log = self.change_logs.entry(update.topic).or_default();
        if update.at < log.revision() && update.is_whole && update.topic == Topic::Config {
            return self.adopt_config(update, now);
        }
        if update.at < log.revision() || (!update.is_whole && update.from > log.revision()) {
            return false;
        }
        if !update.is_whole && !self.fleet.can_apply(&update.changes) {
            log::info!(
                "event=config_gap revision={} from={} at={}",
                self.fleet.config_revision,
                update.from,
                update.at
            );
            self.needs_full_config = true;
            return false;
        }
        let feed = self.feeds.entry(update.topic).or_default();
        self.needs_full_config &= update.topic != Topic::Config;
        if update.is_whole {
            let mut changes = Cow::Borrowed(&update.changes);
            if log.revision() > 0 && era_of(update.at) > era_of(log.revision()) {
                log::info!(
                    "event=store_era topic={} era={} known={} at={}",
                    update.topic,
                    era_of(update.at),
                    revision_in_store(log.revision()),
                    revision_in_store(update.at)
                );
                feed.record_new_era(now);
                self.era_began.notify_one();
                self.fleet.keep_leaving(changes.to_mut());
            }
            #[expect(clippy::cast_precision_loss, reason = "an era is far below 2^52")]
            metrics::gauge!("bluebell_gateway_store_era").set(era_of(update.at) as f64);
            log.restart(update.at);
            self.fleet.replace(update.topic, &changes, feed, now);
            self.topics_read.insert(update.topic);
            self.check_complete(now);
        } else {
            log.push(update.at, &update.changes);
            self.fleet.apply(update.topic, &update.changes, feed, now);
        }
        let has_changes = update.is_whole || !update.changes.is_empty();
        if has_changes {
            let leaving = self.statements.table().leaving(now);
            self.fleet.set_said_leaving(&leaving);
            self.rollouts.observe(&self.fleet, now);
            self.shared.publish(self.fleet.clone());
        }
        has_changes
    }

    /// Decides whether enough topics have been read to serve. Returns whether that changed.
    fn check_complete(&mut self, now: BootTime) -> bool {
        let was_complete = self.fleet.is_complete;
        let is_read = |topic| self.topics_read.contains(&topic);
        if Topic::followed(false).all(is_read) {
            let waited = now.saturating_sub(*self.others_read_at.get_or_insert(now));
            let has_rollouts = !self.has_rollouts || self.topics_read.contains(&Topic::Rollouts);
            if !has_rollouts && waited >= MAX_ROLLOUTS_WAIT && !was_complete {
                log::warn!("event=rollouts_missing waited_ms={}", waited.as_millis());
            }
            self.fleet.is_complete = was_complete || has_rollouts || waited >= MAX_ROLLOUTS_WAIT;
        }
        self.fleet.is_complete != was_complete
    }

    /// Applies the configuration of a daemon that is behind in the store, which may still be
    /// newer than the one that a restored store holds. Returns whether it is.
    fn adopt_config(&mut self, update: &Update, now: BootTime) -> bool {
        let before = self.fleet.config_revision;
        let feed = self.feeds.entry(Topic::Config).or_default();
        self.fleet.apply(update.topic, &update.changes, feed, now);
        let is_adopted = self.fleet.config_revision != before;
        if is_adopted {
            self.needs_full_config = false;
            self.shared.publish(self.fleet.clone());
        }
        is_adopted
    }

    /// Returns which configuration this daemon has, if it is not known whether another
    /// daemon has a newer one that a restored store has lost.
    pub fn uncertain_config(&self) -> Option<ConfigStatement> {
        let stamp = self.fleet.config_stamp();
        (!is_written_in_era(stamp.revision)).then(|| statement(stamp))
    }

    /// Compares another daemon's configuration with that of this one.
    pub fn compare_config(&mut self, other: ConfigStatement) -> Comparison {
        let own = self.fleet.config_stamp();
        let other = ConfigStamp {
            revision: other.revision,
            version: other.version,
        };
        if other.replaces(own) {
            // The store's position says nothing of a configuration that the store has lost.
            self.needs_full_config = true;
            Comparison::Fetch
        } else if own.replaces(other) {
            Comparison::Tell(statement(own))
        } else {
            Comparison::Same
        }
    }

    /// Returns the handle that is notified once the store is known to have been
    /// restored from an older copy.
    pub fn era_began(&self) -> Arc<Notify> {
        self.era_began.clone()
    }

    /// Records that the configuration includes every change made before `sent`.
    fn confirm_config(&mut self, sent: BootTime) {
        if self.config_confirmed_at.is_none() {
            self.config_gained.notify_one();
        }
        self.config_confirmed_at = self.config_confirmed_at.max(Some(sent));
        self.shared.confirm_config(sent);
    }

    /// Logs where a new configuration came from, and the age of this daemon's knowledge until
    /// then.
    fn log_config_source(&self, before: ConfigStamp, source: &str, took: Duration) {
        let stamp = self.fleet.config_stamp();
        if stamp == before {
            return;
        }
        let confirmed = self.config_confirmed_at;
        let age = confirmed.map(|at| clock::now().saturating_sub(at));
        log::info!(
            "event=config_source version={} before={} source={source} took_ms={} age_before_ms={:?}",
            stamp.version,
            before.version,
            clock::millis(took),
            age.map(clock::millis),
            source = shown(&source)
        );
    }

    /// Applies updates from another daemon. Returns those to forward to other daemons.
    pub fn apply_updates(&mut self, from: &str, updates: &[Update]) -> Vec<Update> {
        let now = clock::now();
        let before = self.fleet.config_stamp();
        let mut to_forward = Vec::new();
        for update in updates {
            let last_change = self
                .change_logs
                .get(&update.topic)
                .map_or(0, ChangeLog::last_change);
            if self.apply_update(update, now) && !update.is_whole {
                to_forward.push(Update {
                    from: last_change,
                    ..update.clone()
                });
            }
        }
        self.log_config_source(before, from, Duration::ZERO);
        self.confirm_awaited();
        to_forward
    }

    /// Applies the awaited confirmation if this daemon now has the configuration that
    /// it is about.
    fn confirm_awaited(&mut self) {
        let revision = self.revision(Topic::Config);
        // A confirmation of an era that has ended says nothing of the present one.
        let is_confirmed = |at: Revision| at <= revision && era_of(at) == era_of(revision);
        let confirmed = self
            .awaited_confirmation
            .take_if(|(at, _)| is_confirmed(*at));
        if let Some((_, sent)) = confirmed {
            self.confirm_config(sent);
        }
    }

    /// Applies another daemon's answer to a query sent at `queried_at`. Returns the updates to
    /// forward to other daemons.
    pub fn apply_answer(
        &mut self,
        from: &str,
        answer: &Answer,
        queried_at: BootTime,
    ) -> Vec<Update> {
        let now = clock::now();
        if let Some(since_recovery) = answer.store_back_ms.map(Duration::from_millis) {
            let feed = self.feeds.entry(Topic::Targets).or_default();
            feed.restored_at = feed.restored_at.max(now.checked_sub(since_recovery));
        }
        let to_forward = self.apply_updates(from, &answer.updates);
        let config_age = answer.config_age_ms.map(Duration::from_millis);
        if let Some(sent) = config_age.and_then(|age| queried_at.checked_sub(age)) {
            self.awaited_confirmation = Some((answer.config_revision, sent));
            self.confirm_awaited();
        }
        // A daemon in an earlier era does not know of the restored store yet.
        let is_behind = era_of(answer.config_revision) < era_of(self.revision(Topic::Config));
        let is_unreliable = answer.is_store_down || is_behind;
        self.peers
            .record_answer(from, config_age.filter(|_| !is_unreliable), now);
        to_forward
    }

    /// Builds a query for another daemon. A query to another zone (`is_remote`) also
    /// reports the load of this daemon's zone.
    pub fn build_query(&self, nonce: u64, is_remote: bool) -> Query {
        let zone = is_remote.then(|| {
            let now = clock::now();
            let sends = self.own_sends(now);
            self.peers.zone_load(&self.own_work(), &sends, now)
        });
        Query {
            nonce,
            known_revisions: self.known_revisions(),
            zone,
        }
    }

    /// Returns the recent sends of this daemon.
    fn own_sends(&self, now: BootTime) -> ServiceSendCounts {
        let mut sends = self.sends.counts(now, self.send_window);
        sends.extend(self.statements.counts(now));
        sends
    }

    /// Builds the report of this daemon's running work for its zone.
    pub fn build_work_report(&self) -> WorkReport {
        WorkReport {
            sender_work: self.own_work(),
            sends: self.own_sends(clock::now()),
        }
    }

    /// Returns the load of all other zones, for the daemons of this one; `None` if this
    /// daemon does not lead its zone.
    pub fn other_zones(&self) -> Option<ZoneLoad> {
        let now = clock::now();
        let is_leader = self.peers.is_zone_leader(now);
        is_leader.then(|| self.peers.reported_remote_load(now))
    }

    /// Records the running work that another daemon reports.
    pub fn record_work_report(&mut self, from: &str, report: WorkReport) {
        self.peers.record_work_report(from, report);
        self.publish_peer_load(clock::now());
    }

    /// Records the load of all other zones as the leader of this daemon's zone reports
    /// it.
    pub fn record_other_zones(&mut self, from: &str, load: ZoneLoad) {
        let now = clock::now();
        self.peers.record_other_zones(from, load, now);
        self.publish_peer_load(now);
    }

    /// Returns whether this daemon reads the store without success while the sender of
    /// a query knows a newer revision: the store may refuse some daemons and serve
    /// others.
    pub fn is_behind_sender(&self, known_revisions: &[(Topic, Revision)]) -> bool {
        let is_newer = |(topic, known_revision): &(Topic, Revision)| {
            self.topics().any(|followed| followed == *topic)
                && *known_revision > self.revision(*topic)
        };
        self.is_store_down() && known_revisions.iter().any(is_newer)
    }

    /// Returns whether this daemon reads the store, and its last read of the
    /// configuration failed.
    fn is_store_down(&self) -> bool {
        let feed = self.feeds.get(&Topic::Config);
        *self.is_reader.borrow() && feed.is_some_and(|f| f.outage_since.is_some())
    }

    /// Records the load that a query reports and builds the answer, without complete
    /// topics, which have to be fetched.
    pub fn build_answer(&mut self, from: &str, query: Query) -> Answer {
        let now = clock::now();
        self.peers.record_query(from, query.zone, now);
        let recovered_at = self.feeds.get(&Topic::Targets).and_then(|f| f.restored_at);
        let since_recovery = recovered_at
            .map(|at| now.saturating_sub(at))
            .filter(|elapsed| *elapsed < STORE_BACK_REPORTED_FOR);
        let mut updates = Vec::new();
        let mut is_partial = false;
        for (topic, known_revision) in query.known_revisions {
            match self.missing_since(topic, known_revision) {
                Missing::Nothing => {}
                Missing::Changes(update) => updates.push(update),
                Missing::Whole => is_partial = true,
            }
        }
        Answer {
            nonce: query.nonce,
            // Rounded up, so that the age never looks lower than it is.
            config_age_ms: self
                .config_confirmed_at
                .map(|at| clock::millis(now.saturating_sub(at)) + 1),
            config_revision: self.revision(Topic::Config),
            is_store_down: self.is_store_down(),
            updates,
            is_partial,
            store_back_ms: since_recovery.map(clock::millis),
        }
    }

    /// Returns the part of a topic that a daemon lacks if it knows the topic up to the
    /// revision `known_revision`.
    fn missing_since(&self, topic: Topic, known_revision: Revision) -> Missing {
        let at = self.revision(topic);
        if at <= known_revision {
            return Missing::Nothing;
        }
        let changes = self
            .change_logs
            .get(&topic)
            .and_then(|log| log.since(known_revision));
        changes.map_or(Missing::Whole, |changes| {
            Missing::Changes(Update {
                topic,
                from: known_revision,
                at,
                is_whole: false,
                changes,
            })
        })
    }

    /// Builds the answer to a fetch.
    pub fn answer_fetch(&self, fetch: &Fetch) -> Vec<Update> {
        let known = fetch
            .known_revisions
            .iter()
            .filter(|(topic, _)| self.revision(*topic) > 0);
        let updates = known.filter_map(|(topic, known_revision)| {
            match self.missing_since(*topic, *known_revision) {
                Missing::Nothing => None,
                Missing::Changes(update) => Some(update),
                Missing::Whole => Some(Update {
                    topic: *topic,
                    from: 0,
                    at: self.revision(*topic),
                    is_whole: true,
                    changes: self.fleet.entries(*topic, clock::now()),
                }),
            }
        });
        updates.collect()
    }

    /// Returns the handle that is notified when this daemon gains its first confirmed
    /// configuration.
    pub fn config_gained(&self) -> Arc<Notify> {
        self.config_gained.clone()
    }

    /// Returns whether this daemon has a confirmed configuration, so that it can answer
    /// queries.
    pub fn has_config(&self) -> bool {
        self.config_confirmed_at.is_some()
    }

    /// Builds a fetch of everything that this daemon lacks.
    pub fn build_fetch(&self) -> Fetch {
        Fetch {
            known_revisions: self.known_revisions(),
        }
    }

    /// Returns the reports of the demand of customers that are to be sent now.
    pub fn demand_reports(&self, now: BootTime) -> Vec<DemandReport> {
        let mut demand = self.demand.lock();
        if demand.is_idle(now) {
            return Vec::new();
        }
        let config = self.fleet.config.as_ref();
        let around = Surroundings {
            is_leader: self.peers.is_zone_leader(now),
            zone_daemons: self.peers.zone_daemon_count(now).into(),
            daemons: self.peers.daemon_count(now).into(),
            customers: config.map_or(0, |config| config.customer_count()),
        };
        demand.step(&around, now)
    }

    fn publish_peer_load(&self, now: BootTime) {
        let (work, sends) = self.peers.other_work_and_sends(now);
        let zone_sends = if self.statements.is_in_force() {
            self.peers.other_zone_sends(now)
        } else {
            ServiceSendCounts::new()
        };
        let peer_load = PeerLoad {
            work: work.into_iter().collect(),
            sends: sends.into_iter().collect(),
            zone_sends: zone_sends.into_iter().collect(),
        };
        self.shared.set_peer_load(peer_load);
    }

    /// Publishes the other daemons, if they have changed.
    fn publish_siblings(&mut self) {
        let changes = self.peers.list_changes();
        let is_known = std::mem::replace(&mut self.shared_changes, changes) == changes;
        let Some(port) = self.tunnel_port.filter(|_| !is_known) else {
            return;
        };
        let siblings = self.peers.listed().map(|(name, info)| Sibling {
            name: name.clone(),
            zone: info.zone.clone(),
            address: SocketAddr::new(info.address.ip(), port),
        });
        self.shared.set_siblings(siblings.collect());
    }

    fn own_work(&self) -> TargetWork {
        let all = self.loads.busy_targets().into_iter();
        all.map(|(id, work)| (target_key(&id), work)).collect()
    }

    /// Decides on rollouts, given at which targets any daemon has work.
    fn tick_rollouts(&self, now: BootTime) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let own: HashSet<_> = if self.rollouts.has_orders() {
            self.own_work().into_iter().map(|(key, _)| key).collect()
        } else {
            HashSet::new()
        };
        let others = self.shared.peer_load();
        let has_work = |key| {
            let work = others.work.get(&key);
            own.contains(&key) || work.is_some_and(|w| *w != Work::default())
        };
        self.rollouts.tick(&self.fleet, has_work, now);
    }

    /// Decides whether this daemon follows all topics of the store.
    fn decide_reader(&mut self, now: BootTime) {
        let is_reader = self.peers.follows_store(now);
        let is_first_decision = !std::mem::replace(&mut self.is_reader_decided, true);
        self.is_reader.send_if_modified(|current| {
            let is_changed = *current != is_reader;
            if is_changed || is_first_decision {
                log::info!(
                    "event=reader is_reader={is_reader} reads_for_us={:?} for_others={}",
                    self.peers.zone_reader(now),
                    self.peers.fallback().is_in_term(now)
                );
            }
            *current = is_reader;
            is_changed
        });
    }

    /// Logs when the configuration gets older than it may be, and when it is confirmed again.
    fn check_config_age(&mut self, age: Option<Duration>, now: BootTime) {
        let is_stale = age.is_some_and(|age| age > self.config_bound().max_age());
        if self.config_stale_since.is_some() == is_stale {
            return;
        }
        self.config_stale_since = is_stale.then_some(now);
        let version = self.fleet.config_stamp().version;
        let age = age.map(clock::millis).unwrap_or_default();
        let is_reader = *self.is_reader.borrow();
        let reads_for_us = self.peers.zone_reader(now);
        if is_stale {
            log::warn!(
                "event=config_stale version={version} age_ms={age} is_reader={is_reader} \
                 reads_for_us={reads_for_us:?}"
            );
        } else {
            log::info!(
                "event=config_current version={version} age_ms={age} is_reader={is_reader} \
                 reads_for_us={reads_for_us:?}"
            );
        }
    }

    /// Updates all state that depends on time.
    pub fn tick(&mut self) {
        let now = clock::now();
        let is_completed = self.check_complete(now);
        if self.fleet.expire(now) || is_completed {
            self.shared.publish(self.fleet.clone());
        }
        self.peers.extend_term(now);
        self.decide_reader(now);
        self.check_config_age(self.config_age(now), now);
        self.shared
            .set_daemon_count(self.peers.daemon_count(now).into());
        self.publish_peer_load(now);
        self.tick_rollouts(now);
        self.publish_siblings();
        let names = self.peers.daemon_names();
        if names.len() != self.shared.daemon_names().len() {
            self.shared.set_daemon_names(names);
        }
        let targets = &self.fleet.targets;
        self.loads.retain(|id| targets.contains_key(id));
        let has_speeds = !self.speeds.table().is_empty();
        if has_speeds || self.statements.has_any() {
            let listed: HashSet<_> = targets.values().map(|entry| entry.key).collect();
            self.statements.table().retain(|key| listed.contains(&key));
            self.speeds.table().retain(|key| listed.contains(&key));
        }
        let leaving = self.statements.table().leaving(now);
        if self.fleet.set_said_leaving(&leaving) {
            self.shared.publish(self.fleet.clone());
        }
    }
}

impl Fleet {
    /// Returns a complete topic as a list of changes.
    fn entries(&self, topic: Topic, now: BootTime) -> Vec<Change> {
        match topic {
            Topic::Config => {
                let config = self.config.clone();
                let entry = config.map(|c| Change::Config(self.config_revision, c));
                entry.into_iter().collect()
            }
            Topic::Targets => {
                let entry = |known: &super::model::KnownTarget| {
                    let mut target = (*known.target).clone();
                    target.cold_for = known.cold_until.saturating_sub(now);
                    let id = target.id.clone();
                    let version = known.version.clone();
                    let version = version.map(|version| Change::TargetVersion(id, version));
                    [Some(Change::Target(target)), version]
                };
                self.targets.values().flat_map(entry).flatten().collect()
            }
            Topic::Rollouts => self.stored_rollouts().map(Change::Rollout).collect(),
            Topic::Evacuations => self
                .evacuated_zones
                .iter()
                .cloned()
                .map(Change::ZoneOut)
                .collect(),
        }
    }
}
