//! Holds this daemon's replica of the records, and builds and applies the pages
//! of changes that daemons exchange to keep their replicas equal.
//!
//! Changes arrive from the watch, from listings, from writes through this
//! daemon and from peers, in any order and more than once.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    clock::BootTime,
    platform::{Listing, Object, Revision},
    records::{RecordKey, RecordSet, RecordState, Snapshot},
    wire::{LastValidVersion, RecordChange, RecordsPage},
};

/// This daemon's replica of the records, and how current it is.
///
/// Invariant: the revision of the records in effect never decreases.
#[derive(Debug, Default)]
pub struct RecordReplica {
    records: Arc<RecordSet>,
    snapshot: Arc<Snapshot>,
    hash: u64,
    newest_revision: Revision,
    has_full_set: bool,
    confirmed_at: Option<BootTime>,
    /// Revisions of the invalid changes that are logged already.
    logged_invalid: BTreeSet<Revision>,
}

impl RecordReplica {
    /// Returns the records, including tombstones and invalid changes.
    #[must_use]
    pub fn records(&self) -> &Arc<RecordSet> {
        &self.records
    }

    /// Returns the records in effect.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the revision up to which every change is included.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.records.revision
    }

    /// Returns the revision of the newest change held, even if earlier changes
    /// are missing.
    #[must_use]
    pub fn newest_revision(&self) -> Revision {
        self.newest_revision
    }

    /// Returns the hash of the live records' keys, revisions and revisions in
    /// effect.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns whether the replica ever received all records of some revision,
    /// rather than single changes only.
    #[must_use]
    pub fn has_full_set(&self) -> bool {
        self.has_full_set
    }

    /// Returns the latest time at which the platform is known to have had no
    /// newer records than these.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmed_at
    }

    /// Applies the next change from the watch. The watch is taken to skip no
    /// change, so once the replica has a full set, every change up to this one is
    /// included.
    pub fn on_watched(&mut self, object: &Object) {
        let is_contiguous = self.has_full_set;
        self.update("watch", |records| {
            let changed = records.apply(object);
            if is_contiguous {
                records.advance(object.revision);
            }
            changed
        });
    }

    /// Applies a change written through this daemon; earlier changes may be
    /// missing.
    pub fn on_written(&mut self, object: &Object) {
        self.update("write", |records| records.apply(object));
    }

    /// Applies a complete listing from the platform.
    pub fn on_listing(&mut self, listing: &Listing) {
        self.has_full_set = true;
        self.update("listing", |records| records.apply_listing(listing));
    }

    /// Records that the platform, asked at `asked_at`, reported `revision` as
    /// the newest revision of any record.
    pub fn on_confirmed(&mut self, revision: Revision, asked_at: BootTime) {
        if self.has_full_set && revision <= self.records.revision {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Applies a page of changes from another daemon.
    pub fn on_page(&mut self, page: &RecordsPage) {
        let is_contiguous = self.has_full_set
            && page
                .after
                .is_some_and(|after| after <= self.records.revision);
        let is_first = !self.has_full_set;
        let replaces_all =
            page.has_all_live_records && (is_first || page.revision > self.records.revision);
        self.has_full_set |= page.has_all_live_records;
        self.update("peer", |records| {
            let changed = apply_changes(records, &page.changes);
            if replaces_all {
                let listed: BTreeSet<&str> = page.changes.iter().map(|c| &*c.key).collect();
                return changed | records.withdraw_unlisted(page.revision, &listed);
            }
            if is_contiguous {
                records.advance(page.revision);
            }
            changed
        });
    }

    /// Returns the changes above `after`, for another daemon.
    ///
    /// If tombstones above `after` may be missing here, or `after` is 0, a replica
    /// with a full set instead returns a whole page: all live records, and the
    /// tombstones above [`RecordReplica::revision`].
    #[must_use]
    pub fn page_after(&self, after: Revision) -> RecordsPage {
        let set = &self.records;
        let sends_all = self.has_full_set && (after < set.tombstone_floor || after == 0);
        let is_included = |state: &RecordState| {
            let is_live = sends_all && state.document.is_some();
            is_live || state.revision > after.max(if sends_all { set.revision } else { 0 })
        };
        let included = set.records.iter().filter(|(_, state)| is_included(state));
        RecordsPage {
            after: self.has_full_set.then_some(after),
            revision: set.revision,
            has_all_live_records: sends_all,
            changes: included.map(|(key, state)| change_of(key, state)).collect(),
        }
    }

    fn update(&mut self, source: &str, change: impl FnOnce(&mut RecordSet) -> bool) {
        let before = self.records.revision;
        let changed = change(Arc::make_mut(&mut self.records));
        let after = self.records.revision;
        if changed || after > before {
            self.snapshot = Arc::new(self.records.snapshot());
            self.hash = self.records.hash();
            self.newest_revision = self.records.newest_revision();
            let newest = self.newest_revision;
            metrics::gauge!("bluebell_records_revision").set(to_float(after));
            self.log_invalid();
            log::info!(
                "event=records_adopted source={source} from={before} revision={after} newest={newest}"
            );
        }
    }

    fn log_invalid(&mut self) {
        let records = self.records.records.iter();
        let invalid: Vec<_> = records
            .filter(|(_, state)| !state.faults.is_empty())
            .collect();
        metrics::gauge!("bluebell_records_invalid").set(to_float(invalid.len() as u64));
        for (key, state) in &invalid {
            if !self.logged_invalid.contains(&state.revision) {
                let reasons: Vec<String> = state.faults.iter().map(ToString::to_string).collect();
                log::warn!(
                    "event=record_invalid record={key} revision={} in_force_revision={} faults={:?}",
                    state.revision,
                    state.in_force_revision,
                    reasons.join("; ")
                );
            }
        }
        self.logged_invalid = invalid.iter().map(|(_, state)| state.revision).collect();
    }
}

/// Returns a page with the single change `object`, to push a write to peers.
#[must_use]
pub fn single_change_page(object: &Object) -> RecordsPage {
    let change = RecordChange {
        key: object.key.clone(),
        revision: object.revision,
        document: object.value.as_ref().map(|v| v.to_string().into()),
        last_valid: None,
    };
    RecordsPage {
        after: None,
        revision: 0,
        has_all_live_records: false,
        changes: vec![change],
    }
}

#[expect(clippy::cast_precision_loss, reason = "gauges are floats")]
fn to_float(revision: Revision) -> f64 {
    revision as f64
}

fn apply_changes(records: &mut RecordSet, changes: &[RecordChange]) -> bool {
    let mut any_applied = false;
    for change in changes {
        let document = change.document.as_deref();
        // `None` stands for a withdrawal, so a document that fails to parse
        // must not become `None`.
        let Ok(value) = document.map(serde_json::from_str).transpose() else {
            continue;
        };
        any_applied |= records.apply(&Object {
            key: change.key.clone(),
            revision: change.revision,
            value,
        });
        if let Some(last_valid) = &change.last_valid {
            let object = Object {
                key: change.key.clone(),
                revision: last_valid.revision,
                value: serde_json::from_str(&last_valid.document).ok(),
            };
            any_applied |= records.apply_last_valid(change.revision, &object);
        }
    }
    any_applied
}

fn change_of(key: &RecordKey, state: &RecordState) -> RecordChange {
    let valid = state.valid_document.as_ref();
    RecordChange {
        key: key.to_string().into(),
        revision: state.revision,
        document: state.document.as_ref().map(|d| d.to_string().into()),
        last_valid: valid.map(|document| LastValidVersion {
            revision: state.in_force_revision,
            document: document.to_string().into(),
        }),
    }
}
