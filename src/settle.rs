//! The ledger at the platform: claims, outcomes and releases, written until
//! they certainly stand or are given up.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use serde_json::Value;
use tokio::sync::Semaphore;

use crate::{
    clock,
    ledger::{LedgerEntry, State, Step},
    platform::{Condition, Platform, PlatformError, Put, Revision},
};

/// Most writes of one claim before it is given up.
const CLAIM_TRIES: usize = 3;
/// First and longest pause between reads of somebody else's claim.
const WAIT_PAUSE: (Duration, Duration) = (Duration::from_millis(25), Duration::from_millis(500));
/// First and longest pause between tries to end a claim.
const END_PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// How long the end of a claim is tried; then its key is left `unknown`.
const END_PATIENCE: Duration = Duration::from_secs(120);
/// Most claims that are being ended at once, so that a platform that comes
/// back is not flooded.
const MAX_ENDING: usize = 512;

static ENDING: Semaphore = Semaphore::const_new(MAX_ENDING);
/// Claims whose end is not written yet.
static PENDING: AtomicUsize = AtomicUsize::new(0);

/// Counts one claim as pending until dropped.
struct Pending;

impl Pending {
    fn new() -> Self {
        PENDING.fetch_add(1, Ordering::AcqRel);
        Self
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        PENDING.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits until no claim is being ended any more, at the latest after
/// [`END_PATIENCE`]: a stopping daemon leaves no outcome behind.
pub(crate) async fn all_ended() {
    let deadline = clock::now() + END_PATIENCE;
    while PENDING.load(Ordering::Acquire) > 0 {
        if clock::now() > deadline {
            log::warn!("event=ledger_ends_left_behind");
            return;
        }
        tokio::time::sleep(END_PAUSE.0).await;
    }
}

/// A claim under one key of the ledger.
#[derive(Clone)]
pub(crate) struct Claim {
    platform: Platform,
    key: Box<str>,
    entry: LedgerEntry,
}

impl Claim {
    /// A claim that is not written yet.
    pub fn new(platform: &Platform, key: Box<str>, payload: &str) -> Self {
        let claimant = format!("{:032x}", rand::random::<u128>());
        Self {
            platform: platform.clone(),
            key,
            entry: LedgerEntry::claimed(payload, claimant),
        }
    }

    /// Writes the claim. On an error the caller never dispatches: a claim that
    /// may stand all the same is released by a task of its own.
    ///
    /// # Errors
    /// The platform did not say whether the claim stands.
    pub async fn write(&self) -> Result<Step, PlatformError> {
        let mut condition = Condition::Absent;
        let mut may_stand = false;
        let mut tries = 0;
        loop {
            tries += 1;
            let error = match self.put(&self.entry, condition).await {
                Ok(put) => match self.entry.after_claim(&put) {
                    Step::Write(next) if tries < CLAIM_TRIES => {
                        condition = next;
                        continue;
                    }
                    step => return Ok(step),
                },
                Err(e) => e,
            };
            let had_effect = may_have_effect(&error);
            may_stand |= had_effect;
            if tries < CLAIM_TRIES && had_effect {
                continue;
            }
            if may_stand {
                // Under the same condition, so that a late claim conflicts.
                self.end(State::Released, condition);
            }
            return Err(error);
        }
    }

    /// Reads what stands under the key, and writes nothing.
    ///
    /// # Errors
    /// The platform did not answer.
    pub async fn read(&self) -> Result<Step, PlatformError> {
        let object = self.platform.get(&self.key).await?;
        let step = object.map(|object| self.entry.after_read(&object));
        Ok(step.unwrap_or(Step::Write(Condition::Absent)))
    }

    /// Waits for the outcome of somebody else's claim; after `patience` the
    /// last step is returned, whatever it is.
    pub async fn wait(&self, seen: Step, patience: Duration) -> Step {
        let deadline = clock::now() + patience;
        let mut pause = WAIT_PAUSE.0;
        let mut step = seen;
        while matches!(step, Step::Wait(..)) && clock::now() < deadline {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(WAIT_PAUSE.1);
            match self.read().await {
                Ok(read) => step = read,
                Err(e) => log::debug!("event=ledger_read_failed error={:?}", e.to_string()),
            }
        }
        step
    }

    /// Ends the claim with `state` in a task of its own, which goes on until
    /// that stands or [`END_PATIENCE`] is over.
    ///
    /// Outcomes wait for their turn: there are no more of them than runs. Of
    /// releases there may be as many as refusals, so they are given up when
    /// too many wait, which leaves their keys `unknown`.
    pub fn end(&self, state: State, condition: Condition) {
        if state == State::Released && PENDING.load(Ordering::Acquire) >= MAX_ENDING {
            metrics::counter!("bluebell_ledger_ends_dropped").increment(1);
            log::warn!("event=ledger_end_dropped key={}", self.key);
            return;
        }
        let claim = self.clone();
        let pending = Pending::new();
        tokio::spawn(async move {
            let _place = ENDING.acquire().await;
            claim.end_until_done(state, condition).await;
            drop(pending);
        });
    }

    async fn end_until_done(&self, state: State, mut condition: Condition) {
        let ended = self.entry.with_state(state);
        let deadline = clock::now() + END_PATIENCE;
        let mut pause = END_PAUSE.0;
        while clock::now() < deadline {
            match self.put(&ended, condition).await {
                Ok(put) => match self.entry.end_retry_condition(&put) {
                    Some(next) => condition = next,
                    None => return,
                },
                Err(e) => {
                    log::debug!("event=ledger_end_failed error={:?}", e.to_string());
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(END_PAUSE.1);
                }
            }
        }
        metrics::counter!("bluebell_ledger_ends_dropped").increment(1);
        log::warn!("event=ledger_end_given_up key={}", self.key);
    }

    /// Stores what a lookup told of somebody else's claim.
    pub async fn settle_other_claim(&self, held: &LedgerEntry, at: Revision, state: State) {
        let written = self.put(&held.with_state(state), Condition::At(at)).await;
        if let Err(e) = written {
            log::debug!("event=ledger_lookup_not_stored error={:?}", e.to_string());
        }
    }

    async fn put(&self, entry: &LedgerEntry, condition: Condition) -> Result<Put, PlatformError> {
        let value = serde_json::to_value(entry).unwrap_or(Value::Null);
        self.platform.put(&self.key, &value, condition).await
    }
}

/// Whether a failed write may stand. An answer from something between us and
/// the platform says nothing about the write.
fn may_have_effect(error: &PlatformError) -> bool {
    match error {
        PlatformError::Status { status, .. } => matches!(status, 500 | 502 | 504),
        other => !other.is_without_effect(),
    }
}
