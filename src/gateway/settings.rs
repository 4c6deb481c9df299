//! Settings of the gateway, read from one JSON file.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::extra_sends::SendBudget;
use crate::{
    records::Fault,
    settings::{SettingsError, fault},
};

/// Settings of one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub name: Box<str>,
    /// IP address of the instance.
    pub ip: Box<str>,
    /// Availability zone it stands in.
    pub zone: Box<str>,
    /// Region of each availability zone.
    pub zones: BTreeMap<Box<str>, Box<str>>,
    /// Control addresses of some instances; may be out of date.
    #[serde(default)]
    pub seeds: Vec<Box<str>>,
    /// First and last port for daemons among themselves.
    pub peer_ports: (u16, u16),
    /// Addresses to listen on.
    pub listen: GatewayListen,
    /// Where the store answers.
    pub store: StoreSettings,
    /// Memory of the process, in MB.
    pub memory_mb: u64,
    /// Promised bounds.
    pub bounds: Bounds,
}

/// Addresses of the ports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct GatewayListen {
    /// Callers' HTTP port.
    pub callers: SocketAddr,
    /// Port that tells whether the daemon takes callers.
    pub readiness: SocketAddr,
    /// Port for metrics.
    pub metrics: SocketAddr,
}

/// The store's address and pace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StoreSettings {
    /// `IP:port`.
    pub address: SocketAddr,
    /// Reads per second that all daemons together may make.
    pub reads_per_second: u32,
    /// Period at which targets renew their entries, in milliseconds.
    pub heartbeat_ms: u64,
}

/// Bounds that operators promise; each in the unit that its name ends with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub stop_grace_s: f64,
    /// Time after which a leaving target gets nothing new.
    pub drain_ms: u64,
    /// Time after which a configuration is in force.
    pub config_ms: u64,
    /// Time after which a removed key is refused, whatever is cut off.
    pub key_removal_ms: u64,
    /// Time after which a zone that is taken out gets nothing new.
    pub evacuation_ms: u64,
    /// A cold target bears its rate times this…
    pub cold_factor: f64,
    /// …and so many requests more, in a second.
    pub cold_extra: f64,
    /// Extra sends that all daemons may make per request…
    pub retry_share: f64,
    /// …and so many more in a window…
    pub retry_extra: f64,
    /// …of this length.
    pub retry_window_s: f64,
}

impl GatewaySettings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// The file cannot be read, or is not of the expected form.
    pub fn open(file: &Path) -> Result<Self, SettingsError> {
        let name: Box<str> = file.display().to_string().into();
        let text = fs::read_to_string(file).map_err(|source| SettingsError::Read {
            file: name.clone(),
            source,
        })?;
        let parsed = serde_json::from_str(&text);
        let settings: Self =
            parsed.map_err(|source| SettingsError::Parse { file: name, source })?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid { faults })
        }
    }

    /// Settings to start from.
    #[must_use]
    pub fn example() -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: "entry-1".into(),
            ip: "127.0.0.1".into(),
            zone: "vest-bergen".into(),
            zones: BTreeMap::from([("vest-bergen".into(), "vest".into())]),
            seeds: Vec::new(),
            peer_ports: (7200, 7215),
            listen: GatewayListen {
                callers: address(8740),
                readiness: address(8749),
                metrics: address(9464),
            },
            store: StoreSettings {
                address: address(8742),
                reads_per_second: 2_000,
                heartbeat_ms: 1_200,
            },
            memory_mb: 110,
            bounds: Bounds {
                stop_grace_s: 8.0,
                drain_ms: 3_000,
                config_ms: 3_000,
                key_removal_ms: 5_000,
                evacuation_ms: 5_000,
                cold_factor: 1.5,
                cold_extra: 5.0,
                retry_share: 0.2,
                retry_extra: 58.0,
                retry_window_s: 10.0,
            },
        }
    }

    /// Values of the right form that cannot be worked with.
    fn faults(&self) -> Vec<Fault> {
        let bounds = &self.bounds;
        let spans = [
            ("/bounds/stop_grace_s", bounds.stop_grace_s),
            ("/bounds/retry_window_s", bounds.retry_window_s),
        ];
        let parts = [
            ("/bounds/cold_factor", bounds.cold_factor),
            ("/bounds/cold_extra", bounds.cold_extra),
            ("/bounds/retry_share", bounds.retry_share),
            ("/bounds/retry_extra", bounds.retry_extra),
        ];
        let is_span = |value: f64| Duration::try_from_secs_f64(value).is_ok() && value > 0.0;
        let spans = spans.iter().filter(|(_, value)| !is_span(*value));
        let parts = parts
            .iter()
            .filter(|(_, value)| !value.is_finite() || *value < 0.0);
        let odd = spans.map(|(path, _)| fault(path, "not a time above zero"));
        let negative = parts.map(|(path, _)| fault(path, "not zero or above"));
        let mut faults: Vec<Fault> = odd.chain(negative).collect();
        if self.ip.parse::<std::net::IpAddr>().is_err() {
            faults.push(fault("/ip", "not an IP address"));
        }
        if bounds.key_removal_ms == 0 {
            faults.push(fault("/bounds/key_removal_ms", "not above zero"));
        }
        faults
    }

    /// Budget of all daemons for repeated sends.
    #[must_use]
    pub fn send_budget(&self) -> SendBudget {
        SendBudget {
            share: self.bounds.retry_share,
            extra: self.bounds.retry_extra,
            window: Duration::from_secs_f64(self.bounds.retry_window_s),
        }
    }

    /// Region of a zone; the zone's own name where it is not listed.
    #[must_use]
    pub fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zones.get(zone).map_or(zone, |region| region)
    }

    /// Region of this instance.
    #[must_use]
    pub fn region(&self) -> &str {
        self.region_of(&self.zone)
    }

    /// Longest age of the newest sure read of the configuration at which keys
    /// are still taken: the promised bound less the time for one request to
    /// leave and for timers that fire late.
    #[must_use]
    pub fn key_proof_age(&self) -> Duration {
        Duration::from_millis(self.bounds.key_removal_ms * 9 / 10)
    }
}
