//! Follows the store while this daemon reads for itself or others: one list,
//! then watches, for each topic.
//!
//! Load pattern: a store that comes back, or a reader that takes over, finds
//! all daemons asking at once. Reading goes on from the revision that is known,
//! so that the answer holds only what changed, and fits into datagrams for the
//! others; the whole topic is read only where the history is gone.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tokio::sync::mpsc;

use super::{
    control::Control,
    model::{Batch, Change, Read, Topic},
    peer_wire::Update,
    peers::{DaemonName, Listed},
};
use crate::{clock, platform::Revision};

/// Longest wait of a watch. Two of them and an answer's delay stay below the
/// age at which keys are no longer trusted; shorter ones cost more calls, and
/// ones below a second could fall whole into a gap of the store's watches.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Longest delay of an answer beyond the wait asked for: a slow store takes up
/// to some hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after changes, so that those which follow come in one answer.
const GATHER: Duration = Duration::from_millis(100);
/// First and longest pause after a failed read.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// Longest time that other topics wait for the configuration to be read again:
/// calls that fail are paid too, so that one topic probes for all.
const OTHERS_WAIT: Duration = Duration::from_secs(2);

/// A call to the store that failed.
#[derive(Debug, snafu::Snafu)]
pub enum ReadError {
    /// The history that a watch asked for is gone.
    #[snafu(display("step=watch: history is gone"))]
    HistoryGone,
    /// The call failed.
    #[snafu(display("{reason}"))]
    Failed {
        /// Step, peer and reason.
        reason: Box<str>,
    },
}

/// Daemons by name.
pub type DaemonList = Vec<(DaemonName, Listed)>;

type Call<T> = BoxFuture<'static, Result<T, ReadError>>;

/// Calls to the store; supplied by the adapter.
#[derive(Clone)]
pub struct Store {
    /// Reads a topic.
    pub read: Arc<dyn Fn(Topic, Read) -> Call<Batch> + Send + Sync>,
    /// Enters this daemon into the list of daemons.
    pub register: Arc<dyn Fn(DaemonName, Listed) -> Call<()> + Send + Sync>,
    /// Reads the list of daemons, which may be some seconds old.
    pub daemons: Arc<dyn Fn() -> Call<DaemonList> + Send + Sync>,
}

/// Follows a topic for good. Changes for followers go to `news`.
pub(crate) async fn follow(
    topic: Topic,
    store: Store,
    control: Rc<std::cell::RefCell<Control>>,
    news: mpsc::UnboundedSender<Update>,
) {
    let mut reads = control.borrow().reads();
    let mut is_up = control.borrow().is_up();
    let mut pause = RETRY_PAUSE.0;
    let mut has_history = true;
    let mut wait = WATCH_WAIT;
    loop {
        // The sender lives as long as `control`, which this task holds.
        let _ = reads.wait_for(|reads| *reads).await;
        let from = Some(control.borrow().at(topic)).filter(|at| has_history && *at > 0);
        let sent = clock::now();
        let read = read_once(topic, &store, from, wait);
        let done = tokio::select! {
            done = read => done,
            _ = reads.wait_for(|reads| !*reads) => continue,
        };
        match done {
            Ok(update) => {
                has_history = true;
                wait = WATCH_WAIT;
                pause = RETRY_PAUSE.0;
                let is_changed = !update.changes.is_empty();
                let lacking = control.borrow_mut().take_read(update, sent);
                if let Some(lacking) = lacking {
                    // Without a receiver, followers learn by asking.
                    let _ = news.send(lacking);
                }
                if is_changed {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(e) => {
                if matches!(e, ReadError::HistoryGone) {
                    log::info!("event=history_gone topic={topic}");
                    has_history = false;
                } else {
                    control.borrow_mut().note_failure(topic, &e);
                    // A store that is back answers this at once.
                    wait = Duration::ZERO;
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_PAUSE.1);
                if topic != Topic::Config {
                    let back = is_up.wait_for(|is_up| *is_up);
                    // Over either way: the store may answer for this topic only.
                    let _ = tokio::time::timeout(OTHERS_WAIT, back).await;
                }
            }
        }
    }
}

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
            timed(call, wait + ANSWER_TIMEOUT).await?
        }
    };
    Ok(Update {
        topic,
        from: from.unwrap_or(0),
        at: batch.at,
        is_whole: from.is_none(),
        changes: batch.changes,
    })
}

/// Reads all pages of a list.
async fn list(topic: Topic, store: &Store) -> Result<Batch, ReadError> {
    let page = |after| timed((store.read)(topic, Read::List { after }), ANSWER_TIMEOUT);
    let first = page(None).await?;
    let mut whole: Vec<Change> = first.changes;
    let mut next = first.next;
    while let Some(after) = next {
        let page = page(Some(after)).await?;
        whole.extend(page.changes);
        next = page.next;
    }
    // The first page's revision is the oldest; the watch from there repeats
    // what later pages already showed.
    Ok(Batch {
        at: first.at,
        changes: whole,
        next: None,
    })
}

/// Bounds a call.
pub(crate) async fn timed<T>(call: Call<T>, timeout: Duration) -> Result<T, ReadError> {
    let done = tokio::time::timeout(timeout, call).await;
    done.unwrap_or_else(|_| {
        Err(ReadError::Failed {
            reason: "step=store_call: timeout".into(),
        })
    })
}
