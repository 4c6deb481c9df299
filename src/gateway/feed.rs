//! Reads the store while this daemon has to, for itself or for other daemons:
//! for each topic, one list followed by watches.
//!
//! Load pattern: when the store recovers or another daemon begins to read it, all
//! daemons send queries at once. Reading therefore resumes from the known revision, so
//! that the answer holds only the changes and fits into datagrams to the other
//! daemons. The complete topic is read only if the store no longer holds the
//! history since that revision.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tokio::sync::mpsc;

use super::{
    control::Control,
    list_progress::ListProgress,
    model::{Batch, Change, Read, Topic},
    peer_wire::Update,
    peers::{DaemonInfo, DaemonName},
    rollout_writer::{RolloutAnswer, RolloutStatusWrite},
    store_era::{era_of, mark_written_in_era},
};
use crate::{
    clock::{self, BootTime},
    platform::Revision,
};

/// Longest wait of a watch of the configuration. A shorter one could lie entirely within a
/// second in which a store that discards its history sends no changes.
const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(1_050);
/// Number of overlapping watches of the configuration. A watch proves what was known when it was
/// sent, so the age of the configuration reaches the time of one and a half watches.
const CONFIG_LANES: u32 = 2;
/// Interval at which a further watch looks whether the first one has been sent again.
const LANE_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait of a watch of any other topic.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Longest delay of an answer beyond the requested wait; a slow store takes up to
/// a few hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause while a read for this daemon itself is not due, at most: the configuration may be
/// confirmed, or its zone reader may fail, meanwhile.
const MAX_READ_DELAY: Duration = Duration::from_millis(200);
/// Pause after changes, so that the changes that follow arrive in one answer.
const COALESCE_PAUSE: Duration = Duration::from_millis(100);
/// Shortest and longest pause after a failed read.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Longest time that the other topics wait, after a failed read, for the
/// configuration to be read successfully. Failed calls are charged too, so one
/// topic probes the store for all.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(2);

/// Error of a failed call to the store.
#[derive(Debug, snafu::Snafu)]
pub enum ReadError {
    /// The store no longer holds the history that a watch asked for.
    #[snafu(display("step=watch: the store no longer holds the requested history"))]
    HistoryUnavailable,
    /// The call failed.
    #[snafu(display("{reason}"))]
    Failed {
        /// Step, peer and cause of the failure.
        reason: Box<str>,
    },
}

/// Names and addresses of daemons.
pub type DaemonList = Vec<(DaemonName, DaemonInfo)>;

type Call<T> = BoxFuture<'static, Result<T, ReadError>>;

/// The calls to the store, supplied by the adapter for the platform.
#[derive(Clone)]
pub struct Store {
    /// Shows whether the store answers this daemon, by a read that the store does not count
    /// toward its limits.
    pub probe: Arc<dyn Fn() -> Call<()> + Send + Sync>,
    /// Reads a topic.
    pub read: Arc<dyn Fn(Topic, Read) -> Call<Batch> + Send + Sync>,
    /// Adds this daemon to the list of daemons.
    pub register: Arc<dyn Fn(DaemonName, DaemonInfo) -> Call<()> + Send + Sync>,
    /// Reads the list of daemons, which may be several seconds old.
    pub list_daemons: Arc<dyn Fn() -> Call<DaemonList> + Send + Sync>,
    /// Writes the status of a rollout if its object still has the stated revision.
    pub write_rollout_status:
        Arc<dyn Fn(RolloutStatusWrite) -> BoxFuture<'static, RolloutAnswer> + Send + Sync>,
    /// Reads the object of a rollout, given its service.
    pub read_rollout: Arc<dyn Fn(Box<str>) -> BoxFuture<'static, RolloutAnswer> + Send + Sync>,
}

/// Returns the numbers of the overlapping feeds of a topic.
pub(crate) fn lanes(topic: Topic) -> std::ops::Range<u32> {
    0..if topic == Topic::Config {
        CONFIG_LANES
    } else {
        1
    }
}

/// Reads a topic whenever this daemon has to read the store; never returns. Changes to
/// forward to other daemons go to `to_forward`. Of the feeds of a topic, only that of lane 0 reads
/// the complete topic or looks whether the store is back.
pub(crate) async fn follow(
    topic: Topic,
    lane: u32,
    store: Store,
    control: Rc<RefCell<Control>>,
    to_forward: mpsc::UnboundedSender<Update>,
) {
    let mut is_reader = control.borrow().subscribe_is_reader();
    let mut is_store_up = control.borrow().subscribe_is_store_up();
    let watch_wait = match topic {
        Topic::Config => CONFIG_WATCH_WAIT,
        _ => WATCH_WAIT,
    };
    let mut pause = RETRY_PAUSE.0;
    let mut has_history = true;
    let mut wait = watch_wait;
    loop {
        // Cannot fail: `control`, which this task holds, owns the sender.
        let _ = is_reader.wait_for(|is_reader| *is_reader).await;
        if lane > 0 {
            let delay = lane_delay(&control.borrow(), lane, clock::now());
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
                continue;
            }
        } else if topic == Topic::Config {
            control.borrow_mut().config_watched_at = clock::now();
        }
        let from = Some(control.borrow().revision(topic)).filter(|at| has_history && *at > 0);
        let sent = clock::now();
        let read = read_once(topic, &store, from, wait);
        let result = tokio::select! {
            result = read => result,
            _ = is_reader.wait_for(|is_reader| !*is_reader) => continue,
        };
        match result.and_then(|update| apply(&control, update, sent, &to_forward)) {
            Ok(is_changed) => {
                has_history = true;
                wait = watch_wait;
                pause = RETRY_PAUSE.0;
                if is_changed {
                    tokio::time::sleep(COALESCE_PAUSE).await;
                }
            }
            Err(ReadError::HistoryUnavailable) if lane > 0 => {
                tokio::time::sleep(watch_wait / 2).await;
            }
            Err(e) => {
                if matches!(e, ReadError::HistoryUnavailable) {
                    log::info!("event=history_gone topic={topic}");
                    has_history = false;
                } else {
                    control.borrow_mut().record_read_failure(topic, &e);
                    // Without a wait, a store that has recovered answers at once.
                    wait = Duration::ZERO;
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE.1);
                if topic != Topic::Config || lane > 0 {
                    let store_up = is_store_up.wait_for(|is_store_up| *is_store_up);
                    // Retries after a timeout too: the store may answer for this topic only.
                    let _ = tokio::time::timeout(MAX_PROBE_WAIT, store_up).await;
                }
            }
        }
    }
}

/// Returns how long a further watch of the configuration has to wait, so that it is halfway
/// between two of the first.
fn lane_delay(control: &Control, lane: u32, now: BootTime) -> Duration {
    if control.revision(Topic::Config) == 0 {
        return CONFIG_WATCH_WAIT;
    }
    let elapsed = now.saturating_sub(control.config_watched_at);
    let offset = CONFIG_WATCH_WAIT * lane / CONFIG_LANES;
    let is_early = elapsed < offset;
    // The first one is sent again soon, unless it hangs.
    let is_late = elapsed > offset + CONFIG_WATCH_WAIT / 4 && elapsed < 2 * CONFIG_WATCH_WAIT;
    if is_early {
        offset.saturating_sub(elapsed)
    } else if is_late {
        LANE_CHECK_PERIOD
    } else {
        Duration::ZERO
    }
}

/// Applies an answer of the store to a read sent at `sent`. Returns whether it held changes.
fn apply(
    control: &RefCell<Control>,
    update: Update,
    sent: BootTime,
    to_forward: &mpsc::UnboundedSender<Update>,
) -> Result<bool, ReadError> {
    let known = control.borrow().revision(update.topic);
    let update = check_era(update, known)?;
    let has_changes = !update.changes.is_empty();
    let forwarded = control.borrow_mut().apply_read(update, sent);
    if let Some(forwarded) = forwarded {
        // Without a receiver, other daemons get the change by a query.
        let _ = to_forward.send(forwarded);
    }
    Ok(has_changes)
}

/// Reads the configuration whenever what this daemon has of it gets too old, whether or not others
/// read for it; never returns. If that succeeds, this daemon reads for others for a while.
pub(crate) async fn keep_confirmed(
    store: Store,
    control: Rc<RefCell<Control>>,
    to_forward: mpsc::UnboundedSender<Update>,
) {
    let mut has_history = true;
    loop {
        let now = clock::now();
        let due = control.borrow().config_read_due(now);
        let delay = due.map_or(MAX_READ_DELAY, |due| due.saturating_sub(now));
        if !delay.is_zero() {
            tokio::time::sleep(delay.min(MAX_READ_DELAY)).await;
            continue;
        }
        let (from, timeout, probes, age) = {
            let control = control.borrow();
            let fallback = control.peers.fallback();
            let from = Some(control.revision(Topic::Config)).filter(|at| has_history && *at > 0);
            let timeout = fallback.bound().read_timeout();
            (
                from,
                timeout,
                control.peers.probes_first(),
                control.config_age(now),
            )
        };
        let read = async {
            if probes {
                (store.probe)().await?;
            }
            let sent = clock::now();
            let update = read_once(Topic::Config, &store, from, Duration::ZERO).await?;
            Ok((update, sent))
        };
        let read = with_timeout(read, timeout).await;
        let applied = read.and_then(|(update, sent)| apply(&control, update, sent, &to_forward));
        let age_ms = age.map(clock::millis);
        match applied {
            Ok(_) => {
                log::info!("event=fallback_read outcome=ok age_ms={age_ms:?} probed={probes}");
                has_history = true;
                control.borrow_mut().begin_term();
            }
            Err(ReadError::HistoryUnavailable) => has_history = false,
            Err(e) => {
                log::info!(
                    "event=fallback_read outcome=failed age_ms={age_ms:?} probed={probes} error={:?}",
                    e.to_string()
                );
                control.borrow_mut().record_config_failure();
            }
        }
        metrics::counter!("bluebell_gateway_fallback_reads").increment(1);
        // An answer that confirms nothing would be asked for again at once.
        tokio::time::sleep(RETRY_PAUSE.0).await;
    }
}

/// Rejects an answer of an era that has ended.
fn check_era(update: Update, known: Revision) -> Result<Update, ReadError> {
    let (era, known) = (era_of(update.at), era_of(known));
    if era < known {
        return Err(ReadError::Failed {
            reason: format!("step=read: answer of era {era}, after era {known}").into(),
        });
    }
    Ok(update)
}

/// Reads the changes since `from`, or the complete topic if `from` is `None`.
async fn read_once(
    topic: Topic,
    store: &Store,
    from: Option<Revision>,
    wait: Duration,
) -> Result<Update, ReadError> {
    let batch = match from {
        None => list(topic, store).await?,
        Some(from) => {
            let call = (store.read)(topic, Read::Watch { from, wait });
            let batch = with_timeout(call, wait + ANSWER_TIMEOUT).await?;
            // The changes follow another history than the one that is known up to `from`.
            if era_of(batch.at) > era_of(from) {
                return Err(ReadError::HistoryUnavailable);
            }
            batch
        }
    };
    let changes = match from {
        None => batch.changes,
        Some(_) => batch.changes.into_iter().map(mark_written).collect(),
    };
    Ok(Update {
        topic,
        from: from.unwrap_or(0),
        at: batch.at,
        is_whole: from.is_none(),
        changes,
    })
}

/// Records that a change was written in the present era, since a watch returned it.
fn mark_written(change: Change) -> Change {
    match change {
        Change::Config(revision, config) => Change::Config(mark_written_in_era(revision), config),
        other => other,
    }
}

/// Reads all pages of a list. See [`ListProgress`] for what bounds it.
async fn list(topic: Topic, store: &Store) -> Result<Batch, ReadError> {
    let page = |after| with_timeout((store.read)(topic, Read::List { after }), ANSWER_TIMEOUT);
    let first = page(None).await?;
    let mut progress = ListProgress::default();
    progress.record_page(first.changes.len(), first.next.as_deref())?;
    let mut all_changes: Vec<Change> = first.changes;
    let mut next = first.next;
    while let Some(after) = next {
        let page = page(Some(after)).await?;
        if era_of(page.at) != era_of(first.at) {
            return Err(ReadError::Failed {
                reason: "step=list: the store was restored between two pages".into(),
            });
        }
        progress.record_page(page.changes.len(), page.next.as_deref())?;
        all_changes.extend(page.changes);
        next = page.next;
    }
    // The first page's revision is the oldest; a watch from there repeats
    // changes that later pages already contain, and misses none.
    Ok(Batch {
        at: first.at,
        changes: all_changes,
        next: None,
    })
}

/// Limits the duration of a call.
pub(crate) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, ReadError>>,
    timeout: Duration,
) -> Result<T, ReadError> {
    let result = tokio::time::timeout(timeout, call).await;
    result.unwrap_or_else(|_| {
        Err(ReadError::Failed {
            reason: "step=store_call: timeout".into(),
        })
    })
}
