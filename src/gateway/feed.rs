//! Reads the store while this daemon has to, for itself or for other daemons:
//! for each topic, one list followed by watches.
//!
//! Load pattern: when the store recovers or another daemon begins to read it, all
//! daemons send queries at once. Reading therefore resumes from the known revision, so
//! that the answer holds only the changes and fits into datagrams to the other
//! daemons. The complete topic is read only if the store no longer holds the
//! history since that revision.

use std::{rc::Rc, sync::Arc, time::Duration};

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
use crate::{clock, platform::Revision};

/// Longest wait of a watch. Two waits and the delay of an answer stay below the
/// age at which keys are no longer trusted. Shorter waits cost more calls, and a
/// wait below a second could lie entirely within a gap of the store's watches.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Longest delay of an answer beyond the requested wait; a slow store takes up to
/// a few hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
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

/// Reads a topic whenever this daemon has to read the store; never returns. Changes to
/// forward to other daemons go to `to_forward`.
pub(crate) async fn follow(
    topic: Topic,
    store: Store,
    control: Rc<std::cell::RefCell<Control>>,
    to_forward: mpsc::UnboundedSender<Update>,
) {
    let mut is_reader = control.borrow().subscribe_is_reader();
    let mut is_store_up = control.borrow().subscribe_is_store_up();
    let mut pause = RETRY_PAUSE.0;
    let mut has_history = true;
    let mut wait = WATCH_WAIT;
    loop {
        // Cannot fail: `control`, which this task holds, owns the sender.
        let _ = is_reader.wait_for(|is_reader| *is_reader).await;
        let from = Some(control.borrow().revision(topic)).filter(|at| has_history && *at > 0);
        let sent = clock::now();
        let read = read_once(topic, &store, from, wait);
        let result = tokio::select! {
            result = read => result,
            _ = is_reader.wait_for(|is_reader| !*is_reader) => continue,
        };
        let result = result.and_then(|update| {
            let known = control.borrow().revision(topic);
            check_era(update, known)
        });
        match result {
            Ok(update) => {
                has_history = true;
                wait = WATCH_WAIT;
                pause = RETRY_PAUSE.0;
                let is_changed = !update.changes.is_empty();
                let forwarded = control.borrow_mut().apply_read(update, sent);
                if let Some(forwarded) = forwarded {
                    // Without a receiver, other daemons get the change by a query.
                    let _ = to_forward.send(forwarded);
                }
                if is_changed {
                    tokio::time::sleep(COALESCE_PAUSE).await;
                }
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
                if topic != Topic::Config {
                    let store_up = is_store_up.wait_for(|is_store_up| *is_store_up);
                    // Retries after a timeout too: the store may answer for this topic only.
                    let _ = tokio::time::timeout(MAX_PROBE_WAIT, store_up).await;
                }
            }
        }
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
pub(crate) async fn with_timeout<T>(call: Call<T>, timeout: Duration) -> Result<T, ReadError> {
    let result = tokio::time::timeout(timeout, call).await;
    result.unwrap_or_else(|_| {
        Err(ReadError::Failed {
            reason: "step=store_call: timeout".into(),
        })
    })
}
