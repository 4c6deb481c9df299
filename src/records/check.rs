//! Validation of documents before they are used.
//!
//! A check reports all faults of a document at once, each with the path of its
//! field.

use std::fmt;

use jsonschema::{ValidationError, error::ValidationErrorKind};
use schemars::{JsonSchema, schema_for};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Record, RecordKey, Snapshot};

/// A validation error in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// JSON pointer to the invalid field.
    pub path: Box<str>,
    /// Description of the error.
    pub reason: Box<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Checks `value` against the JSON Schema of `T`. The path of each fault is
/// prefixed with `base_path`.
///
/// # Errors
/// Returns all faults. Their order follows the keywords of the schema, not the
/// document.
pub fn check_against_schema<T: JsonSchema>(
    value: &Value,
    base_path: &str,
) -> Result<(), Vec<Fault>> {
    let schema = schema_for!(T).into();
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        Err(e) => return Err(vec![fault(base_path, &e.to_string())]),
    };
    let errors = validator.iter_errors(value);
    let faults: Vec<Fault> = errors
        .flat_map(|e| faults_from_error(base_path, &e))
        .collect();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

/// Returns one fault for each field that a schema error refers to.
fn faults_from_error(base_path: &str, error: &ValidationError<'_>) -> Vec<Fault> {
    let path = format!("{base_path}{}", error.instance_path());
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => unexpected
            .iter()
            .map(|field| fault(&format!("{path}/{field}"), "unknown field"))
            .collect(),
        ValidationErrorKind::Required { property } => {
            let field = property.as_str().unwrap_or_default();
            vec![fault(&format!("{path}/{field}"), "missing")]
        }
        _ => vec![fault(&path, &error.to_string())],
    }
}

fn fault(path: &str, reason: &str) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

/// Checks that every record that `record` refers to exists in `snapshot`, and
/// that a service's cold limit does not exceed its limit.
#[must_use]
pub fn check_consistency(record: &Record, snapshot: &Snapshot) -> Vec<Fault> {
    let mut faults = Vec::new();
    match record {
        Record::Service(service) => {
            if let Some(model) = &service.model
                && !snapshot.models.contains_key(model)
            {
                faults.push(fault("/spec/model", &format!("no model named {model:?}")));
            }
            if service.capacity.cold_limit > service.capacity.limit {
                faults.push(fault("/spec/capacity/cold_limit", "larger than limit"));
            }
        }
        Record::RoutingIntent(intent) => {
            if !snapshot.services.contains_key(&intent.service) {
                let reason = format!("no service named {:?}", intent.service);
                faults.push(fault("/spec/service", &reason));
            }
            for (i, zone) in intent.prefer_zones.iter().enumerate() {
                if !snapshot.zones.contains_key(zone) {
                    let path = format!("/spec/prefer_zones/{i}");
                    let reason = format!("no availability zone named {zone:?}");
                    faults.push(fault(&path, &reason));
                }
            }
        }
        Record::Model(_) | Record::Customer(_) | Record::AvailabilityZone(_) => {}
    }
    faults
}

/// Returns the records that refer to `key`, each as `KIND/NAME`. Their references
/// would dangle if `key` were withdrawn.
#[must_use]
pub fn referrers(key: &RecordKey, snapshot: &Snapshot) -> Vec<Box<str>> {
    let services = snapshot
        .services
        .iter()
        .filter(|(_, s)| key.kind == super::Kind::Model && s.model.as_deref() == Some(&*key.name));
    let intents = snapshot.intents.iter().filter(|(_, i)| match key.kind {
        super::Kind::Service => i.service == key.name,
        super::Kind::AvailabilityZone => i.prefer_zones.contains(&key.name),
        _ => false,
    });
    let services = services.map(|(name, _)| format!("Service/{name}").into());
    let intents = intents.map(|(name, _)| format!("RoutingIntent/{name}").into());
    services.chain(intents).collect()
}
