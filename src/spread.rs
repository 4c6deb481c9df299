//! The records in force on this daemon, and what is needed to spread them.

use std::sync::Arc;

use crate::{
    clock::BootTime,
    platform::{Listing, Object, Revision},
    records::{RecordSet, Snapshot},
    wire::{RecordChange, RecordsPage},
};

/// Records as held, and how fresh they are.
///
/// Invariant: the revision of the records in force never falls.
#[derive(Debug, Default)]
pub struct Spread {
    records: Arc<RecordSet>,
    snapshot: Arc<Snapshot>,
    has_whole_set: bool,
    confirmed_at: Option<BootTime>,
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

    /// Revision of the records in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.records.revision
    }

    /// Whether all records of some revision were read, not just changes.
    #[must_use]
    pub fn has_whole_set(&self) -> bool {
        self.has_whole_set
    }

    /// When the records were last known to be the newest.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmed_at
    }

    /// Takes one changed object of the platform.
    pub fn on_object(&mut self, object: &Object) {
        self.change(|records| records.apply(object));
    }

    /// Takes all records as the platform lists them.
    pub fn on_listing(&mut self, listing: &Listing) {
        self.has_whole_set = true;
        self.change(|records| records.apply_listing(listing));
    }

    /// The platform says that `revision` is the newest of any record.
    pub fn on_confirmed(&mut self, revision: Revision, now: BootTime) {
        if self.has_whole_set && revision <= self.records.revision {
            self.confirmed_at = Some(now);
        }
    }

    /// Takes the changes that another daemon sent.
    pub fn on_page(&mut self, page: &RecordsPage) {
        self.change(|records| {
            let mut changed = false;
            for change in &page.changes {
                changed |= records.apply(&object_of(change));
            }
            records.revision = records.revision.max(page.revision);
            changed
        });
    }

    /// All changes above `after`, for another daemon.
    #[must_use]
    pub fn page_after(&self, after: Revision) -> RecordsPage {
        let records = self.records.records.iter();
        let newer = records.filter(|(_, held)| held.revision > after);
        let changes = newer.map(|(key, held)| RecordChange {
            key: key.to_string().into(),
            revision: held.revision,
            document: held.document.as_ref().map(|d| d.to_string().into()),
        });
        RecordsPage {
            revision: self.records.revision,
            changes: changes.collect(),
        }
    }

    fn change(&mut self, change: impl FnOnce(&mut RecordSet) -> bool) {
        let before = self.records.revision;
        let changed = change(Arc::make_mut(&mut self.records));
        let after = self.records.revision;
        if changed || after > before {
            self.snapshot = Arc::new(self.records.snapshot());
            log::info!("event=records_adopted from={before} revision={after}");
        }
    }
}

fn object_of(change: &RecordChange) -> Object {
    let document = change.document.as_ref();
    Object {
        key: change.key.clone(),
        revision: change.revision,
        value: document.and_then(|text| serde_json::from_str(text).ok()),
    }
}
