//! The record set that a daemon replicates from the platform, and the snapshot
//! built from it.
//!
//! Changes arrive from watches, listings, local writes and other daemons, in any
//! order. Each is applied only if it is newer than the stored state of its
//! record, so that all daemons converge to the platform's state.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{
    AvailabilityZone, ByName, Customer, Envelope, Fault, Kind, Model, RECORD_PREFIX, Record,
    RoutingIntent, Service, decode,
};
use crate::platform::{Listing, Object, Revision};

/// Unique key of a record: its kind and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: Kind,
    /// Name within the kind.
    pub name: Box<str>,
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{RECORD_PREFIX}{}/{}", self.kind, self.name)
    }
}

impl FromStr for RecordKey {
    type Err = ();

    /// Parses a platform key such as `records/Service/rensmodell`.
    fn from_str(key: &str) -> Result<Self, ()> {
        let path = key.strip_prefix(RECORD_PREFIX).ok_or(())?;
        let (kind, name) = path.split_once('/').ok_or(())?;
        Ok(Self {
            kind: kind.parse().map_err(|_| ())?,
            name: name.into(),
        })
    }
}

/// Replicated state of a record: its newest change and the version in effect.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordState {
    /// Revision of the newest change received.
    pub revision: Revision,
    /// Document of that change; `None` for a tombstone.
    pub document: Option<Value>,
    /// Last valid version, which stays in effect while a newer one is invalid;
    /// `None` if the record was withdrawn or never valid.
    pub in_force: Option<Record>,
    /// Revision of the version in effect, or of the last withdrawal if none is in
    /// effect; 0 if the record was never valid or withdrawn.
    pub in_force_revision: Revision,
    /// Document of the version in effect if the newest change is invalid, to be
    /// sent to other daemons; `None` if the newest change is valid, or if no
    /// version is in effect.
    pub valid_document: Option<Value>,
    /// Validation errors of the newest change; empty if it is valid.
    pub faults: Vec<Fault>,
}

/// All records by key, tombstones included.
///
/// Invariants: `revision` and `tombstone_floor` never decrease, and
/// `tombstone_floor` never exceeds `revision`; `RecordState::revision` and
/// `RecordState::in_force_revision` of a record never decrease. A record's
/// revision may exceed `revision` if it arrived before changes with lower
/// revisions.
#[derive(Clone, Debug, Default)]
pub struct RecordSet {
    /// Revision up to which the set includes every change.
    pub revision: Revision,
    /// Revision above which the set has the tombstone of every withdrawal. A
    /// daemon with a lower revision needs all records, because tombstones that it
    /// lacks may be missing here.
    pub tombstone_floor: Revision,
    /// States of live and withdrawn records by key.
    pub records: BTreeMap<RecordKey, RecordState>,
}

impl RecordSet {
    /// Applies one change without advancing `revision`; changes may arrive in any
    /// order. Returns false if the change is already included: at or below
    /// `revision` (a later change may have replaced it), or not newer than the
    /// stored state of its record. Also returns false for an invalid key.
    pub fn apply(&mut self, object: &Object) -> bool {
        object.revision > self.revision && self.apply_if_newer(object)
    }

    /// Applies a change if it is newer than the stored state of its record.
    fn apply_if_newer(&mut self, object: &Object) -> bool {
        let Ok(key) = object.key.parse::<RecordKey>() else {
            return false;
        };
        let stored = self.records.get(&key);
        if stored.is_some_and(|stored| stored.revision >= object.revision) {
            return false;
        }
        let next = next_state(stored, &key, object);
        self.records.insert(key, next);
        true
    }

    /// Applies the last valid version of a record whose newest change, at
    /// `revision`, is invalid. Does nothing and returns false unless that change
    /// is the newest here too and `valid` is newer than the version in effect.
    pub fn apply_last_valid(&mut self, revision: Revision, valid: &Object) -> bool {
        let Ok(key) = valid.key.parse::<RecordKey>() else {
            return false;
        };
        let Some(stored) = self.records.get_mut(&key) else {
            return false;
        };
        let is_applicable = stored.revision == revision
            && !stored.faults.is_empty()
            && stored.in_force_revision < valid.revision;
        let document = valid.value.as_ref().filter(|_| is_applicable);
        let decoded = document.and_then(|d| decode_document(&key, d).ok());
        if let Some(record) = decoded {
            stored.in_force = Some(record);
            stored.in_force_revision = valid.revision;
            stored.valid_document.clone_from(&valid.value);
            return true;
        }
        false
    }

    /// Marks every change up to `revision` as included.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a complete listing and returns whether a record changed. A
    /// record that the listing lacks is marked as withdrawn, unless its newest
    /// change is newer than the listing. A listing older than the set is
    /// ignored.
    pub fn apply_listing(&mut self, listing: &Listing) -> bool {
        if listing.revision < self.revision {
            return false;
        }
        let mut changed = false;
        for object in &listing.objects {
            changed |= self.apply_if_newer(object);
        }
        let listed = listing.objects.iter().map(|o| &*o.key).collect();
        changed | self.withdraw_unlisted(listing.revision, &listed)
    }

    /// Marks records that are not in `listed` as withdrawn, unless their newest
    /// change is above `revision`, and advances the set to `revision`. `listed`
    /// holds the keys of all live records as of `revision`, which must have been
    /// applied before. `revision` must not be below that of the set. Returns
    /// whether a record was marked.
    pub(crate) fn withdraw_unlisted(
        &mut self,
        revision: Revision,
        listed: &BTreeSet<&str>,
    ) -> bool {
        if revision > self.revision {
            // Records created and withdrawn since the old revision are not
            // listed, so the set has no tombstones for them.
            self.tombstone_floor = revision;
        }
        self.revision = revision;
        let mut changed = false;
        for (key, stored) in &mut self.records {
            let is_outdated = stored.document.is_some() && stored.revision <= revision;
            if is_outdated && !listed.contains(&*key.to_string()) {
                *stored = tombstone(revision);
                changed = true;
            }
        }
        changed
    }

    /// Returns the highest revision of any change received, even if changes
    /// below it are missing.
    #[must_use]
    pub fn newest_revision(&self) -> Revision {
        let revisions = self.records.values().map(|stored| stored.revision);
        revisions.max().unwrap_or(0).max(self.revision)
    }

    /// Returns a hash of the live records' keys, revisions and revisions in
    /// effect. Daemons compare it to detect that their records differ.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let live = self.records.iter().filter(|(_, s)| s.document.is_some());
        for (key, stored) in live {
            hasher.update(key.to_string().as_bytes());
            hasher.update(&stored.revision.to_be_bytes());
            hasher.update(&stored.in_force_revision.to_be_bytes());
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_be_bytes(prefix)
    }

    /// Builds the immutable snapshot of all records in effect.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot {
            revision: self.revision,
            ..Snapshot::default()
        };
        for (key, stored) in &self.records {
            let name = key.name.clone();
            match stored.in_force.clone() {
                None => {}
                Some(Record::Model(r)) => drop(snapshot.models.insert(name, r)),
                Some(Record::Service(r)) => drop(snapshot.services.insert(name, r)),
                Some(Record::Customer(r)) => drop(snapshot.customers.insert(name, r)),
                Some(Record::AvailabilityZone(r)) => drop(snapshot.zones.insert(name, r)),
                Some(Record::RoutingIntent(r)) => drop(snapshot.intents.insert(name, r)),
            }
        }
        snapshot
    }
}

fn next_state(stored: Option<&RecordState>, key: &RecordKey, object: &Object) -> RecordState {
    let Some(document) = object.value.clone() else {
        return tombstone(object.revision);
    };
    match decode_document(key, &document) {
        Ok(record) => RecordState {
            revision: object.revision,
            document: Some(document),
            in_force: Some(record),
            in_force_revision: object.revision,
            valid_document: None,
            faults: Vec::new(),
        },
        Err(faults) => RecordState {
            revision: object.revision,
            document: Some(document),
            in_force: stored.and_then(|stored| stored.in_force.clone()),
            in_force_revision: stored.map_or(0, |stored| stored.in_force_revision),
            valid_document: stored.and_then(valid_document),
            faults,
        },
    }
}

fn tombstone(revision: Revision) -> RecordState {
    RecordState {
        revision,
        document: None,
        in_force: None,
        in_force_revision: revision,
        valid_document: None,
        faults: Vec::new(),
    }
}

fn valid_document(stored: &RecordState) -> Option<Value> {
    if stored.faults.is_empty() {
        stored.document.clone()
    } else {
        stored.valid_document.clone()
    }
}

fn decode_document(key: &RecordKey, document: &Value) -> Result<Record, Vec<Fault>> {
    let envelope: Envelope = serde_json::from_value(document.clone()).map_err(|e| {
        vec![Fault {
            path: "/".into(),
            reason: e.to_string().into(),
        }]
    })?;
    if envelope.kind != key.kind || envelope.name != key.name {
        return Err(vec![Fault {
            path: "/name".into(),
            reason: format!("stored under {key}").into(),
        }]);
    }
    decode(&envelope)
}

/// All records in effect at one time; immutable once published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision up to which every change is included; some later changes may be
    /// included too.
    pub revision: Revision,
    /// Models by name.
    pub models: ByName<Model>,
    /// Services by name.
    pub services: ByName<Service>,
    /// Customers by name.
    pub customers: ByName<Customer>,
    /// Availability zones by name.
    pub zones: ByName<AvailabilityZone>,
    /// Routing intents by name.
    pub intents: ByName<RoutingIntent>,
}

impl Snapshot {
    /// Returns the routing intent of `service`, if there is one; the first by
    /// name if there are several.
    #[must_use]
    pub fn intent_of(&self, service: &str) -> Option<&RoutingIntent> {
        self.intents.values().find(|i| &*i.service == service)
    }
}
