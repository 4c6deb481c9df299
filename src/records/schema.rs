//! Schema versions of records and conversion between them and the internal
//! form.

use std::time::Duration;

use schemars::{JsonSchema, schema_for};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::{Map, Value};

use super::{
    AvailabilityZone, Capacity, Customer, Delivery, Fault, Kind, Model, Operation, Record,
    RoutingIntent, Service, ServiceType, check_against_schema,
};

/// First schema version; available for every kind.
pub const SCHEMA_V1: &str = "bluebelldrift/v1";
/// Second schema version; available for services only. It groups the capacity
/// fields in an object of their own.
pub const SCHEMA_V2: &str = "bluebelldrift/v2";

/// A record as clients write it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Schema version of `spec`.
    pub schema: Box<str>,
    /// Kind of the record.
    pub kind: Kind,
    /// Name, unique within its kind: letters, digits, `-`, `_` and `.`.
    #[schemars(regex(pattern = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"))]
    pub name: Box<str>,
    /// What it declares; its form depends on schema and kind.
    pub spec: Value,
    /// Id of the write that stored it; set by the daemon that wrote it, so that
    /// a write whose answer was lost is known again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Box<str>>,
}

/// A service as schema v1 has it: limits stand beside the other fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceV1 {
    #[serde(rename = "type")]
    kind: ServiceType,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    model: Option<Box<str>>,
    #[schemars(range(min = 1))]
    limit: u32,
    #[schemars(range(min = 1))]
    cold_limit: u32,
    #[serde(default)]
    delivery: Delivery,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    idempotent: Vec<Operation>,
    #[serde(with = "humantime_serde", default = "super::default_retention")]
    #[schemars(with = "String")]
    retention: Duration,
}

impl From<ServiceV1> for Service {
    fn from(old: ServiceV1) -> Self {
        Self {
            kind: old.kind,
            model: old.model,
            capacity: Capacity {
                limit: old.limit,
                cold_limit: old.cold_limit,
                ramp_window: super::default_ramp_window(),
                kv_tokens: 0,
            },
            delivery: old.delivery,
            idempotent: old.idempotent,
            lookup: None,
            retention: old.retention,
            checks_fencing: false,
        }
    }
}

impl From<Service> for ServiceV1 {
    fn from(new: Service) -> Self {
        Self {
            kind: new.kind,
            model: new.model,
            limit: new.capacity.limit,
            cold_limit: new.capacity.cold_limit,
            delivery: new.delivery,
            idempotent: new.idempotent,
            retention: new.retention,
        }
    }
}

/// Decodes an envelope of any known schema version into the internal form.
///
/// # Errors
/// Returns one fault for each invalid field, with its path.
pub fn decode(envelope: &Envelope) -> Result<Record, Vec<Fault>> {
    let spec = &envelope.spec;
    match (&*envelope.schema, envelope.kind) {
        (SCHEMA_V1, Kind::Model) => parse_spec(spec).map(Record::Model),
        (SCHEMA_V1, Kind::Service) => {
            parse_spec::<ServiceV1>(spec).map(|s| Record::Service(s.into()))
        }
        (SCHEMA_V2, Kind::Service) => parse_spec(spec).map(Record::Service),
        (SCHEMA_V1, Kind::Customer) => parse_spec(spec).map(Record::Customer),
        (SCHEMA_V1, Kind::AvailabilityZone) => parse_spec(spec).map(Record::AvailabilityZone),
        (SCHEMA_V1, Kind::RoutingIntent) => parse_spec(spec).map(Record::RoutingIntent),
        (unknown, kind) => Err(vec![Fault {
            path: "/schema".into(),
            reason: format!("unknown schema version {unknown:?} for kind {kind}").into(),
        }]),
    }
}

fn parse_spec<T: DeserializeOwned + JsonSchema>(spec: &Value) -> Result<T, Vec<Fault>> {
    check_against_schema::<T>(spec, "/spec")?;
    serde_json::from_value(spec.clone()).map_err(|e| {
        vec![Fault {
            path: "/spec".into(),
            reason: e.to_string().into(),
        }]
    })
}

/// Converts a record to the schema version `schema`, for clients that support
/// only that version. Returns `None` if the record is invalid or its kind has no
/// such version. A record that already has that version is returned unchecked.
#[must_use]
pub fn convert_schema(envelope: &Envelope, schema: &str) -> Option<Envelope> {
    if &*envelope.schema == schema {
        return Some(envelope.clone());
    }
    let Ok(Record::Service(service)) = decode(envelope) else {
        return None;
    };
    let spec = match schema {
        SCHEMA_V1 => serde_json::to_value(ServiceV1::from(service)).ok()?,
        SCHEMA_V2 => serde_json::to_value(service).ok()?,
        _ => return None,
    };
    Some(Envelope {
        schema: schema.into(),
        spec,
        ..envelope.clone()
    })
}

/// Merges a write in an older schema version into the stored newer record, so
/// that fields that exist only in the newer version keep their values. Returns
/// any other write unchanged.
#[must_use]
pub fn merge_older_write(stored: &Envelope, write: &Envelope) -> Envelope {
    let is_older = &*stored.schema == SCHEMA_V2 && &*write.schema == SCHEMA_V1;
    if !is_older || stored.kind != Kind::Service {
        return write.clone();
    }
    let Some(upgraded) = convert_schema(write, SCHEMA_V2) else {
        return write.clone();
    };
    let (Value::Object(old), Value::Object(mut new)) = (&stored.spec, upgraded.spec) else {
        return write.clone();
    };
    copy_field(old, &mut new, "lookup");
    copy_field(old, &mut new, "checks_fencing");
    if let (Some(Value::Object(old)), Some(Value::Object(new))) =
        (old.get("capacity"), new.get_mut("capacity"))
    {
        copy_field(old, new, "ramp_window");
        copy_field(old, new, "kv_tokens");
    }
    Envelope {
        schema: SCHEMA_V2.into(),
        spec: Value::Object(new),
        ..write.clone()
    }
}

/// Converts the path of a field in the internal form to its path in the schema
/// version that the client used.
#[must_use]
pub fn client_path(envelope: &Envelope, path: &str) -> String {
    if envelope.kind == Kind::Service && &*envelope.schema == SCHEMA_V1 {
        return path.replacen("/spec/capacity/", "/spec/", 1);
    }
    path.to_owned()
}

fn copy_field(old: &Map<String, Value>, new: &mut Map<String, Value>, field: &str) {
    if let Some(value) = old.get(field) {
        new.insert(field.to_owned(), value.clone());
    }
}

/// Returns the JSON Schemas of the envelope and the specs, each with its file
/// name.
#[must_use]
pub fn json_schemas() -> Vec<(&'static str, Value)> {
    vec![
        ("record.json", schema_for!(Envelope).into()),
        ("model-v1.json", schema_for!(Model).into()),
        ("service-v1.json", schema_for!(ServiceV1).into()),
        ("service-v2.json", schema_for!(Service).into()),
        ("customer-v1.json", schema_for!(Customer).into()),
        (
            "availability-zone-v1.json",
            schema_for!(AvailabilityZone).into(),
        ),
        ("routing-intent-v1.json", schema_for!(RoutingIntent).into()),
    ]
}
