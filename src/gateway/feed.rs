//! Follows the store: one list, then watches, for each topic.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::future::BoxFuture;
use strum::IntoEnumIterator;
use tokio_util::sync::CancellationToken;

use super::{
    fleet::FeedState,
    model::{Batch, Change, Fleet, Read, Topic},
    standing::Standing,
};
use crate::{
    clock::{self, BootTime},
    platform::Revision,
    supervisor::supervise,
};

/// Longest wait of a watch. Two of them and an answer's delay stay below the
/// age at which keys are no longer trusted; shorter ones cost more calls, and
/// ones below a second could fall whole into a gap of the store's watches.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Longest delay of an answer beyond the wait asked for: a slow store takes up
/// to some hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// First and longest pause after a failed read.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Period at which lapsed entries are looked at.
const EXPIRE_PERIOD: Duration = Duration::from_millis(200);

/// A read of the store that failed.
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

/// Reads the store; supplied by the adapter.
pub type ReadStore =
    Arc<dyn Fn(Topic, Read) -> BoxFuture<'static, Result<Batch, ReadError>> + Send + Sync>;

/// State of all feeds.
struct Feeds {
    fleet: Fleet,
    states: HashMap<Topic, FeedState>,
    read_once: HashSet<Topic>,
}

/// Follows all topics until `stop`.
pub(crate) fn spawn(read: &ReadStore, standing: &Arc<Standing>, stop: &CancellationToken) {
    let feeds = Arc::new(Mutex::new(Feeds {
        fleet: Fleet::default(),
        states: HashMap::new(),
        read_once: HashSet::new(),
    }));
    for topic in Topic::iter() {
        let (read, feeds, standing) = (read.clone(), feeds.clone(), standing.clone());
        supervise("feed", stop.clone(), move || {
            follow(topic, read.clone(), feeds.clone(), standing.clone())
        });
    }
    let (feeds, standing) = (feeds.clone(), standing.clone());
    supervise("expire", stop.clone(), move || {
        expire(feeds.clone(), standing.clone())
    });
}

async fn expire(feeds: Arc<Mutex<Feeds>>, standing: Arc<Standing>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        let mut feeds = feeds.lock().unwrap_or_else(PoisonError::into_inner);
        if feeds.fleet.expire(clock::now()) {
            standing.publish(feeds.fleet.clone());
        }
    }
}

async fn follow(topic: Topic, read: ReadStore, feeds: Arc<Mutex<Feeds>>, standing: Arc<Standing>) {
    let mut from: Option<Revision> = None;
    let mut pause = RETRY_PAUSE.0;
    loop {
        let sent = clock::now();
        let done = match from {
            None => list(topic, &read).await.map(|batch| (batch, true)),
            Some(from) => watch(topic, &read, from).await.map(|batch| (batch, false)),
        };
        from = {
            let mut feeds = feeds.lock().unwrap_or_else(PoisonError::into_inner);
            match done {
                Ok((batch, is_whole)) => {
                    feeds.take(topic, &batch, is_whole, sent, &standing);
                    Some(batch.at)
                }
                Err(e) => {
                    feeds.note_failure(topic, &e);
                    None
                }
            }
        };
        if from.is_some() {
            pause = RETRY_PAUSE.0;
        } else {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSE.1);
        }
    }
}

impl Feeds {
    fn take(
        &mut self,
        topic: Topic,
        batch: &Batch,
        is_whole: bool,
        sent: BootTime,
        standing: &Standing,
    ) {
        let now = clock::now();
        let state = self.states.entry(topic).or_default();
        if state.away_since.is_some() {
            log::info!("event=store_back topic={topic} revision={}", batch.at);
        }
        state.succeeded(sent, now);
        if is_whole {
            self.fleet.replace(topic, batch, state, now);
            self.read_once.insert(topic);
            self.fleet.is_complete = Topic::iter().all(|t| self.read_once.contains(&t));
        } else {
            self.fleet.apply(batch, state, now);
        }
        if is_whole || !batch.changes.is_empty() {
            standing.publish(self.fleet.clone());
        }
        if topic == Topic::Config {
            standing.prove_config(sent);
        }
    }

    fn note_failure(&mut self, topic: Topic, error: &ReadError) {
        if matches!(error, ReadError::HistoryGone) {
            log::info!("event=history_gone topic={topic}");
            return;
        }
        let state = self.states.entry(topic).or_default();
        if state.away_since.is_none() {
            log::warn!(
                "event=store_lost topic={topic} error={:?}",
                error.to_string()
            );
        }
        state.failed(clock::now());
    }
}

async fn watch(topic: Topic, read: &ReadStore, from: Revision) -> Result<Batch, ReadError> {
    let wait = WATCH_WAIT;
    timed(
        read(topic, Read::Watch { from, wait }),
        wait + ANSWER_TIMEOUT,
    )
    .await
}

/// Reads all pages of a list.
async fn list(topic: Topic, read: &ReadStore) -> Result<Batch, ReadError> {
    let first = timed(read(topic, Read::List { after: None }), ANSWER_TIMEOUT).await?;
    let mut whole: Vec<Change> = first.changes;
    let mut next = first.next;
    while let Some(after) = next {
        let after = Some(after);
        let page = timed(read(topic, Read::List { after }), ANSWER_TIMEOUT).await?;
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

async fn timed(
    call: BoxFuture<'static, Result<Batch, ReadError>>,
    timeout: Duration,
) -> Result<Batch, ReadError> {
    let done = tokio::time::timeout(timeout, call).await;
    done.unwrap_or_else(|_| {
        Err(ReadError::Failed {
            reason: "step=read_store: timeout".into(),
        })
    })
}
