//! Writes claims, outcomes and releases to the ledger at the platform. Each
//! write is retried until it has certainly taken effect or is given up.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use serde_json::Value;
use tokio::sync::Semaphore;

use crate::{
    clock,
    ledger::{LedgerEntry, State, Step},
    platform::{Platform, PlatformError, PutResult, Revision, WriteCondition},
};

/// Maximum number of writes of one claim before it is given up.
const MAX_CLAIM_ATTEMPTS: usize = 3;
/// First and maximum pause between reads of another claimant's claim.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(500));
/// First and maximum pause between attempts to end a claim.
const END_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// Time for which ending a claim is retried. After that, the claim stays stored
/// and repeats of its key are answered `unknown`.
const END_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum number of claims being ended at the same time, so that a platform
/// that recovers from an outage is not flooded.
const MAX_CONCURRENT_ENDS: usize = 512;

static END_PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_ENDS);
/// Number of claims whose end is not written yet.
static PENDING_ENDS: AtomicUsize = AtomicUsize::new(0);

/// Guard that counts one claim in [`PENDING_ENDS`] until dropped.
struct PendingEnd;

impl PendingEnd {
    fn new() -> Self {
        PENDING_ENDS.fetch_add(1, Ordering::AcqRel);
        Self
    }
}

impl Drop for PendingEnd {
    fn drop(&mut self) {
        PENDING_ENDS.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits until no claim is being ended any more, or until [`END_TIMEOUT`] has
/// passed, so that a stopping daemon loses no outcome.
pub(crate) async fn wait_until_ended() {
    let deadline = clock::now() + END_TIMEOUT;
    while PENDING_ENDS.load(Ordering::Acquire) > 0 {
        if clock::now() > deadline {
            log::warn!("event=ledger_ends_left_behind");
            return;
        }
        tokio::time::sleep(END_BACKOFF.0).await;
    }
}

/// A claim on one key of the ledger. Once it is stored, its claimant may run the
/// request.
#[derive(Clone)]
pub(crate) struct Claim {
    platform: Platform,
    key: Box<str>,
    entry: LedgerEntry,
}

impl Claim {
    /// Creates a claim that is not written yet.
    pub fn new(platform: &Platform, key: Box<str>, payload: &str) -> Self {
        let claimant = format!("{:032x}", rand::random::<u128>());
        Self {
            platform: platform.clone(),
            key,
            entry: LedgerEntry::claimed(payload, claimant),
        }
    }

    /// Writes the claim. After an error the caller must not dispatch; a claim
    /// that may nevertheless be stored is released by a background task.
    ///
    /// # Errors
    /// The platform did not confirm that the claim is stored.
    pub async fn write(&self) -> Result<Step, PlatformError> {
        let mut condition = WriteCondition::Absent;
        let mut may_be_stored = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let error = match self.put(&self.entry, condition).await {
                Ok(result) => match self.entry.after_claim(&result) {
                    Step::Write(next) if attempts < MAX_CLAIM_ATTEMPTS => {
                        condition = next;
                        continue;
                    }
                    step => return Ok(step),
                },
                Err(e) => e,
            };
            let is_uncertain = may_have_effect(&error);
            may_be_stored |= is_uncertain;
            if attempts < MAX_CLAIM_ATTEMPTS && is_uncertain {
                continue;
            }
            if may_be_stored {
                // The release uses the condition of the claim, so that a claim
                // which arrives after it conflicts.
                self.end(State::Released, condition);
            }
            return Err(error);
        }
    }

    /// Reads the entry stored under the key, without writing.
    ///
    /// # Errors
    /// The platform did not answer.
    pub async fn read(&self) -> Result<Step, PlatformError> {
        let object = self.platform.get(&self.key).await?;
        let step = object.map(|object| self.entry.after_read(&object));
        Ok(step.unwrap_or(Step::Write(WriteCondition::Absent)))
    }

    /// Waits for the outcome of another claimant's claim. After `timeout` it
    /// returns the last step read, whatever that is.
    pub async fn wait(&self, first: Step, timeout: Duration) -> Step {
        let deadline = clock::now() + timeout;
        let mut pause = READ_BACKOFF.0;
        let mut step = first;
        while matches!(step, Step::Wait(..)) && clock::now() < deadline {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(READ_BACKOFF.1);
            match self.read().await {
                Ok(read) => step = read,
                Err(e) => log::debug!("event=ledger_read_failed error={:?}", e.to_string()),
            }
        }
        step
    }

    /// Ends the claim with `state` in a background task, which retries until
    /// the state is stored or [`END_TIMEOUT`] has passed.
    ///
    /// Outcomes are queued without a limit, since there are no more of them than
    /// runs. There can be as many releases as refusals, so a release is dropped
    /// when too many ends are pending, which leaves its key `unknown`.
    pub fn end(&self, state: State, condition: WriteCondition) {
        if state == State::Released && PENDING_ENDS.load(Ordering::Acquire) >= MAX_CONCURRENT_ENDS {
            metrics::counter!("bluebell_ledger_ends_dropped").increment(1);
            log::warn!("event=ledger_end_dropped key={}", self.key);
            return;
        }
        let claim = self.clone();
        let pending = PendingEnd::new();
        tokio::spawn(async move {
            let _permit = END_PERMITS.acquire().await;
            claim.retry_end(state, condition).await;
            drop(pending);
        });
    }

    async fn retry_end(&self, state: State, mut condition: WriteCondition) {
        let ended = self.entry.with_state(state);
        let deadline = clock::now() + END_TIMEOUT;
        let mut pause = END_BACKOFF.0;
        while clock::now() < deadline {
            match self.put(&ended, condition).await {
                Ok(result) => match self.entry.end_retry_condition(&result) {
                    Some(next) => condition = next,
                    None => return,
                },
                Err(e) => {
                    log::debug!("event=ledger_end_failed error={:?}", e.to_string());
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(END_BACKOFF.1);
                }
            }
        }
        metrics::counter!("bluebell_ledger_ends_dropped").increment(1);
        log::warn!("event=ledger_end_given_up key={}", self.key);
    }

    /// Stores the outcome that a lookup returned for another claimant's claim.
    pub async fn settle_other_claim(&self, other: &LedgerEntry, revision: Revision, state: State) {
        let written = self
            .put(
                &other.with_state(state),
                WriteCondition::AtRevision(revision),
            )
            .await;
        if let Err(e) = written {
            log::debug!("event=ledger_lookup_not_stored error={:?}", e.to_string());
        }
    }

    async fn put(
        &self,
        entry: &LedgerEntry,
        condition: WriteCondition,
    ) -> Result<PutResult, PlatformError> {
        let value = serde_json::to_value(entry).unwrap_or(Value::Null);
        self.platform.put(&self.key, &value, condition).await
    }
}

/// Returns whether a failed write may have taken effect. A response with one of
/// the statuses below may come from an intermediary between the daemon and the
/// platform, and then says nothing about the write.
fn may_have_effect(error: &PlatformError) -> bool {
    match error {
        PlatformError::Status { status, .. } => matches!(status, 500 | 502 | 504),
        other => !other.had_no_effect(),
    }
}
