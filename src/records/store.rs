//! The set of records a daemon holds, and the snapshot made from it.

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

/// Kind and name of a record.
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

    /// Reads a platform key such as `records/Service/rensmodell`.
    fn from_str(key: &str) -> Result<Self, ()> {
        let path = key.strip_prefix(RECORD_PREFIX).ok_or(())?;
        let (kind, name) = path.split_once('/').ok_or(())?;
        Ok(Self {
            kind: kind.parse().map_err(|_| ())?,
            name: name.into(),
        })
    }
}

/// A record as held: its last change, and the form in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Revision of the last change that was heard of.
    pub revision: Revision,
    /// Document of that change; `None` for a tombstone.
    pub document: Option<Value>,
    /// Last valid form, which stays in force while a newer one is invalid.
    pub in_force: Option<Record>,
    /// Revision of the form in force.
    pub in_force_revision: Revision,
    /// Document of the form in force, kept only while it is not the last change.
    pub valid_document: Option<Value>,
    /// What is wrong with the last change; empty when it is in force.
    pub faults: Vec<Fault>,
}

/// All records by key, tombstones included.
///
/// Invariants: `revision` and `floor` never fall, and `floor` is never above
/// `revision`; a record's revision and its revision in force never fall. A
/// record may be above `revision`: it came ahead of changes before it.
#[derive(Clone, Debug, Default)]
pub struct RecordSet {
    /// Revision up to which every change is included.
    pub revision: Revision,
    /// Revision above which each withdrawal has its tombstone here.
    pub floor: Revision,
    /// Records and tombstones.
    pub records: BTreeMap<RecordKey, Held>,
}

impl RecordSet {
    /// Takes one change, in whatever order it comes; `revision` stays. Returns
    /// false when it is not newer than what is known here: every change up to
    /// `revision` is, be it that a later one took its place.
    pub fn apply(&mut self, object: &Object) -> bool {
        object.revision > self.revision && self.take(object)
    }

    /// Takes a change if it is newer than the one held for its record.
    fn take(&mut self, object: &Object) -> bool {
        let Ok(key) = object.key.parse::<RecordKey>() else {
            return false;
        };
        let held = self.records.get(&key);
        if held.is_some_and(|held| held.revision >= object.revision) {
            return false;
        }
        let next = next_held(held, &key, object);
        self.records.insert(key, next);
        true
    }

    /// Takes the last valid form of a record whose last change, at `revision`,
    /// is invalid. Returns false when nothing newer came of it.
    pub fn apply_valid(&mut self, revision: Revision, valid: &Object) -> bool {
        let Ok(key) = valid.key.parse::<RecordKey>() else {
            return false;
        };
        let Some(held) = self.records.get_mut(&key) else {
            return false;
        };
        let is_wanted = held.revision == revision
            && !held.faults.is_empty()
            && held.in_force_revision < valid.revision;
        let document = valid.value.as_ref().filter(|_| is_wanted);
        let decoded = document.and_then(|d| decode_document(&key, d).ok());
        if let Some(record) = decoded {
            held.in_force = Some(record);
            held.in_force_revision = valid.revision;
            held.valid_document.clone_from(&valid.value);
            return true;
        }
        false
    }

    /// Every change up to `revision` is included from now on.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Takes a whole listing: what it lacks was withdrawn, if last heard of
    /// before it. A listing older than what is held changes nothing.
    pub fn apply_listing(&mut self, listing: &Listing) -> bool {
        if listing.revision < self.revision {
            return false;
        }
        let mut changed = false;
        for object in &listing.objects {
            changed |= self.take(object);
        }
        let listed = listing.objects.iter().map(|o| &*o.key).collect();
        changed | self.adopt_whole(listing.revision, &listed)
    }

    /// Ends the adoption of all records as of `revision`, which are `listed`
    /// and not below what is held.
    pub(crate) fn adopt_whole(&mut self, revision: Revision, listed: &BTreeSet<&str>) -> bool {
        if revision > self.revision {
            // Records that came and went in between have no tombstone here.
            self.floor = revision;
        }
        self.revision = revision;
        let mut changed = false;
        for (key, held) in &mut self.records {
            let is_older = held.document.is_some() && held.revision <= revision;
            if is_older && !listed.contains(&*key.to_string()) {
                *held = tombstone(revision);
                changed = true;
            }
        }
        changed
    }

    /// Revision of the newest change held, ahead of others or not.
    #[must_use]
    pub fn newest(&self) -> Revision {
        let held = self.records.values().map(|held| held.revision);
        held.max().unwrap_or(0).max(self.revision)
    }

    /// Hash of the live records and what of them is in force.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let live = self.records.iter().filter(|(_, h)| h.document.is_some());
        for (key, held) in live {
            hasher.update(key.to_string().as_bytes());
            hasher.update(&held.revision.to_be_bytes());
            hasher.update(&held.in_force_revision.to_be_bytes());
        }
        let mut start = [0; 8];
        start.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_be_bytes(start)
    }

    /// Builds the immutable snapshot of all that is in force.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot {
            revision: self.revision,
            ..Snapshot::default()
        };
        for (key, held) in &self.records {
            let name = key.name.clone();
            match held.in_force.clone() {
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

fn next_held(held: Option<&Held>, key: &RecordKey, object: &Object) -> Held {
    let Some(document) = object.value.clone() else {
        return tombstone(object.revision);
    };
    match decode_document(key, &document) {
        Ok(record) => Held {
            revision: object.revision,
            document: Some(document),
            in_force: Some(record),
            in_force_revision: object.revision,
            valid_document: None,
            faults: Vec::new(),
        },
        Err(faults) => Held {
            revision: object.revision,
            document: Some(document),
            in_force: held.and_then(|held| held.in_force.clone()),
            in_force_revision: held.map_or(0, |held| held.in_force_revision),
            valid_document: held.and_then(valid_document),
            faults,
        },
    }
}

fn tombstone(revision: Revision) -> Held {
    Held {
        revision,
        document: None,
        in_force: None,
        in_force_revision: revision,
        valid_document: None,
        faults: Vec::new(),
    }
}

fn valid_document(held: &Held) -> Option<Value> {
    if held.faults.is_empty() {
        held.document.clone()
    } else {
        held.valid_document.clone()
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

/// All records in force at one revision; immutable once published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision of the newest change that is included.
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
    /// The intent that routes `service`, if there is one.
    #[must_use]
    pub fn intent_of(&self, service: &str) -> Option<&RoutingIntent> {
        self.intents.values().find(|i| &*i.service == service)
    }
}
