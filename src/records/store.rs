//! The set of records a daemon holds, and the snapshot made from it.

use std::{collections::BTreeMap, fmt, str::FromStr};

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
    /// What is wrong with the last change; empty when it is in force.
    pub faults: Vec<Fault>,
}

/// All records by key, tombstones included.
///
/// Invariants: `revision` never falls; a record's revision never falls and is
/// never above `revision`.
#[derive(Clone, Debug, Default)]
pub struct RecordSet {
    /// Revision up to which every change is included.
    pub revision: Revision,
    /// Records and tombstones.
    pub records: BTreeMap<RecordKey, Held>,
}

impl RecordSet {
    /// Takes one change. Returns false when it is not newer than what is held.
    pub fn apply(&mut self, object: &Object) -> bool {
        let Ok(key) = object.key.parse::<RecordKey>() else {
            return false;
        };
        self.revision = self.revision.max(object.revision);
        let held = self.records.get(&key);
        if held.is_some_and(|held| held.revision >= object.revision) {
            return false;
        }
        let next = next_held(held, &key, object);
        self.records.insert(key, next);
        true
    }

    /// Takes a whole listing: what it lacks was withdrawn, if last heard of
    /// before it. A listing older than what is held only adds.
    pub fn apply_listing(&mut self, listing: &Listing) -> bool {
        let mut changed = false;
        for object in &listing.objects {
            changed |= self.apply(object);
        }
        if listing.revision >= self.revision {
            changed |= self.bury_missing(listing);
            self.revision = listing.revision;
        }
        changed
    }

    fn bury_missing(&mut self, listing: &Listing) -> bool {
        let mut changed = false;
        for (key, held) in &mut self.records {
            let name = key.to_string();
            let listed = listing.objects.iter().any(|o| *o.key == *name);
            if !listed && held.document.is_some() && held.revision <= listing.revision {
                *held = tombstone(listing.revision);
                changed = true;
            }
        }
        changed
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
            faults: Vec::new(),
        },
        Err(faults) => Held {
            revision: object.revision,
            document: Some(document),
            in_force: held.and_then(|held| held.in_force.clone()),
            in_force_revision: held.map_or(0, |held| held.in_force_revision),
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
        faults: Vec::new(),
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
