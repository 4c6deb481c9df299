//! The records in force on this daemon, and what is needed to spread them.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    clock::BootTime,
    platform::{Listing, Object, Revision},
    records::{Held, RecordKey, RecordSet, Snapshot},
    wire::{RecordChange, RecordsPage, ValidForm},
};

/// Records as held, and how fresh they are.
///
/// Invariant: the revision of the records in force never falls.
#[derive(Debug, Default)]
pub struct Spread {
    records: Arc<RecordSet>,
    snapshot: Arc<Snapshot>,
    hash: u64,
    newest: Revision,
    has_whole_set: bool,
    confirmed_at: Option<BootTime>,
    /// Revisions of the invalid changes that were logged.
    invalid: BTreeSet<Revision>,
}

impl Spread {
    /// Records as held.
    #[must_use]
    pub fn records(&self) -> &Arc<RecordSet> {
        &self.records
    }

    /// Records in force.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Revision up to which every change is in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.records.revision
    }

    /// Revision of the newest change held, ahead of others or not.
    #[must_use]
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// Hash of the records in force.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether all records of some revision were read, not just changes.
    #[must_use]
    pub fn has_whole_set(&self) -> bool {
        self.has_whole_set
    }

    /// When the records were last known to be the newest at the platform.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmed_at
    }

    /// Takes the next change that the watch brought: none is missing before it.
    pub fn on_watched(&mut self, object: &Object) {
        let is_contiguous = self.has_whole_set;
        self.change("watch", |records| {
            let changed = records.apply(object);
            if is_contiguous {
                records.advance(object.revision);
            }
            changed
        });
    }

    /// Takes a change written through this daemon; others may be missing
    /// before it.
    pub fn on_written(&mut self, object: &Object) {
        self.change("write", |records| records.apply(object));
    }

    /// Takes all records as the platform lists them.
    pub fn on_listing(&mut self, listing: &Listing) {
        self.has_whole_set = true;
        self.change("listing", |records| records.apply_listing(listing));
    }

    /// The platform, asked at `asked_at`, says that `revision` is the newest of
    /// any record.
    pub fn on_confirmed(&mut self, revision: Revision, asked_at: BootTime) {
        if self.has_whole_set && revision <= self.records.revision {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Takes the changes that another daemon sent.
    pub fn on_page(&mut self, page: &RecordsPage) {
        let is_contiguous = self.has_whole_set
            && page
                .after
                .is_some_and(|after| after <= self.records.revision);
        let is_first = !self.has_whole_set;
        let adopts = page.is_whole && (is_first || page.revision > self.records.revision);
        self.has_whole_set |= page.is_whole;
        self.change("peer", |records| {
            let changed = apply_changes(records, &page.changes);
            if adopts {
                let listed: BTreeSet<&str> = page.changes.iter().map(|c| &*c.key).collect();
                return changed | records.adopt_whole(page.revision, &listed);
            }
            if is_contiguous {
                records.advance(page.revision);
            }
            changed
        });
    }

    /// All changes above `after`, for another daemon; all live records when
    /// some withdrawals above `after` are not known here.
    #[must_use]
    pub fn page_after(&self, after: Revision) -> RecordsPage {
        let set = &self.records;
        let is_whole = self.has_whole_set && (after < set.floor || after == 0);
        let wanted = |held: &Held| {
            let is_live = is_whole && held.document.is_some();
            is_live || held.revision > after.max(if is_whole { set.revision } else { 0 })
        };
        let chosen = set.records.iter().filter(|(_, held)| wanted(held));
        RecordsPage {
            after: self.has_whole_set.then_some(after),
            revision: set.revision,
            is_whole,
            changes: chosen.map(|(key, held)| change_of(key, held)).collect(),
        }
    }

    fn change(&mut self, source: &str, change: impl FnOnce(&mut RecordSet) -> bool) {
        let before = self.records.revision;
        let changed = change(Arc::make_mut(&mut self.records));
        let after = self.records.revision;
        if changed || after > before {
            self.snapshot = Arc::new(self.records.snapshot());
            self.hash = self.records.hash();
            self.newest = self.records.newest();
            let newest = self.newest;
            metrics::gauge!("bluebell_records_revision").set(to_float(after));
            self.log_invalid();
            log::info!(
                "event=records_adopted source={source} from={before} revision={after} newest={newest}"
            );
        }
    }

    fn log_invalid(&mut self) {
        let records = self.records.records.iter();
        let invalid: Vec<_> = records.filter(|(_, h)| !h.faults.is_empty()).collect();
        metrics::gauge!("bluebell_records_invalid").set(to_float(invalid.len() as u64));
        for (key, held) in &invalid {
            if !self.invalid.contains(&held.revision) {
                let reasons: Vec<String> = held.faults.iter().map(ToString::to_string).collect();
                log::warn!(
                    "event=record_invalid record={key} revision={} in_force_revision={} faults={:?}",
                    held.revision,
                    held.in_force_revision,
                    reasons.join("; ")
                );
            }
        }
        self.invalid = invalid.iter().map(|(_, held)| held.revision).collect();
    }
}

/// A page of one change that was just written.
#[must_use]
pub fn page_of(object: &Object) -> RecordsPage {
    let change = RecordChange {
        key: object.key.clone(),
        revision: object.revision,
        document: object.value.as_ref().map(|v| v.to_string().into()),
        valid: None,
    };
    RecordsPage {
        after: None,
        revision: 0,
        is_whole: false,
        changes: vec![change],
    }
}

#[expect(clippy::cast_precision_loss, reason = "gauges are floats")]
fn to_float(revision: Revision) -> f64 {
    revision as f64
}

fn apply_changes(records: &mut RecordSet, changes: &[RecordChange]) -> bool {
    let mut is_news = false;
    for change in changes {
        let document = change.document.as_deref();
        // A document that cannot be read must not pass for a withdrawal.
        let Ok(value) = document.map(serde_json::from_str).transpose() else {
            continue;
        };
        is_news |= records.apply(&Object {
            key: change.key.clone(),
            revision: change.revision,
            value,
        });
        if let Some(valid) = &change.valid {
            let form = Object {
                key: change.key.clone(),
                revision: valid.revision,
                value: serde_json::from_str(&valid.document).ok(),
            };
            is_news |= records.apply_valid(change.revision, &form);
        }
    }
    is_news
}

fn change_of(key: &RecordKey, held: &Held) -> RecordChange {
    let valid = held.valid_document.as_ref();
    RecordChange {
        key: key.to_string().into(),
        revision: held.revision,
        document: held.document.as_ref().map(|d| d.to_string().into()),
        valid: valid.map(|document| ValidForm {
            revision: held.in_force_revision,
            document: document.to_string().into(),
        }),
    }
}
