//! Reads the settings of a daemon from one JSON file and checks all of them
//! before any is used, so that a daemon never starts with invalid settings.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, time::Duration};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use crate::{
    http::PortLimits,
    records::{Fault, check_against_schema},
};

/// Minimum length of a shared secret, in characters.
const MIN_KEY_CHARS: usize = 16;

/// How requests are spread over targets.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Baseline: the target with the fewest requests in flight, under its limit
    /// divided by the number of live daemons.
    LeastInFlight,
    /// Credits in requests, handed out by each target's owner.
    #[default]
    Credits,
    /// Credits in tokens of engine memory, by expected remaining length.
    TokenCredits,
}

/// What a daemon does when its whole cell is cut off from platform and peers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CutOff {
    /// Refuse new work as not run after `stale_after`.
    #[default]
    Refuse,
    /// Serve on with the last configuration.
    Serve,
}

/// Settings of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique among daemons.
    #[schemars(length(min = 1))]
    pub name: Box<str>,
    /// Availability zone it stands in.
    #[schemars(length(min = 1))]
    pub zone: Box<str>,
    /// Region of that zone.
    #[schemars(length(min = 1))]
    pub region: Box<str>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Where the platform answers.
    pub platform: PlatformSettings,
    /// Peer ports of the other daemons of the cell, `IP:port`. A daemon that
    /// starts while the platform is down asks a majority of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<Box<str>>,
    /// Shared secrets.
    pub keys: Keys,
    /// Caps towards callers and operators.
    #[serde(default)]
    pub limits: Limits,
    /// Periods and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// How requests are spread over targets.
    #[serde(default)]
    pub policy: Policy,
    /// What to do when cut off from platform and all peers.
    #[serde(default)]
    pub cut_off: CutOff,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses of the three ports; port 0 lets the system choose.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP port.
    pub caller: Box<str>,
    /// Operators' HTTP port.
    pub operator: Box<str>,
    /// UDP and TCP port for other daemons.
    pub peer: Box<str>,
}

/// The platform's address.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// `IP:port` of the object API.
    pub address: Box<str>,
    /// Longest wait for one answer.
    #[serde(with = "humantime_serde", default = "default_platform_timeout")]
    #[schemars(with = "String")]
    pub timeout: Duration,
}

fn default_platform_timeout() -> Duration {
    Duration::from_secs(2)
}

/// Shared secrets, each at least sixteen characters.
#[derive(Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Authenticates what daemons send one another.
    #[schemars(length(min = 16))]
    pub peer: Box<str>,
    /// Operators send it as a bearer token.
    #[schemars(length(min = 16))]
    pub operator: Box<str>,
    /// Signs resume tokens; the same for all daemons.
    #[schemars(length(min = 16))]
    pub resume: Box<str>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keys(..)")
    }
}

/// Caps towards callers and operators.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of one request head.
    #[schemars(range(min = 8192))]
    pub max_header_bytes: usize,
    /// Bytes of one request body.
    #[schemars(range(min = 1))]
    pub max_body_bytes: usize,
    /// Open connections from one IP address.
    #[schemars(range(min = 1))]
    pub max_connections_per_peer: u32,
    /// Bytes of all request bodies of more than 8 KiB that are read or held at the same time; at
    /// least one of the largest size fits.
    #[schemars(range(min = 1024))]
    pub max_bodies_bytes: usize,
    /// Bytes buffered for one slow caller, or for one whole delivery.
    #[schemars(range(min = 1024))]
    pub max_buffer_bytes: usize,
    /// Longest wait for a request's head or body, and on an idle connection.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub request_timeout: Duration,
    /// Longest wait for the answer of a plain service.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub service_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            max_connections_per_peer: 4096,
            max_bodies_bytes: 256 * 1024 * 1024,
            max_buffer_bytes: 4 * 1024 * 1024,
            request_timeout: Duration::from_secs(30),
            service_timeout: Duration::from_secs(30),
        }
    }
}

impl Limits {
    /// Returns the limits of the caller port and the operator port.
    pub(crate) fn port_limits(&self) -> PortLimits {
        PortLimits {
            max_header_bytes: self.max_header_bytes,
            max_connections_per_peer: self.max_connections_per_peer,
            header_timeout: self.request_timeout,
        }
    }
}

/// Periods and timeouts.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Period of heartbeats and digests inside a cell.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub heartbeat: Duration,
    /// Silence after which a daemon is suspect; dead after twice as long.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub suspect_after: Duration,
    /// Life of a credit.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub credit_life: Duration,
    /// Period of revision reads at the platform.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub platform_poll: Duration,
    /// Age of the last confirmation above which the configuration is stale.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub stale_after: Duration,
    /// Silence of an engine after which a stream is resumed elsewhere.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub silence_after: Duration,
    /// First-token time after which a hedge may start.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub hedge_after: Duration,
    /// Longest wait of a request for a place at a target.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub queue_timeout: Duration,
    /// Time for which a stopping daemon still accepts, for the balancer's lag.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub drain_lag: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            suspect_after: Duration::from_millis(1500),
            credit_life: Duration::from_secs(2),
            platform_poll: Duration::from_secs(2),
            stale_after: Duration::from_secs(4),
            silence_after: Duration::from_secs(2),
            hedge_after: Duration::from_secs(1),
            queue_timeout: Duration::from_secs(1),
            drain_lag: Duration::from_secs(5),
        }
    }
}

impl Timing {
    /// Returns the faults of periods that are zero or too short for one another.
    fn faults(&self) -> Vec<Fault> {
        let periods = [
            ("/timing/heartbeat", self.heartbeat),
            ("/timing/credit_life", self.credit_life),
            ("/timing/platform_poll", self.platform_poll),
            ("/timing/silence_after", self.silence_after),
        ];
        let zero = periods.into_iter().filter(|(_, period)| period.is_zero());
        let mut faults: Vec<Fault> = zero
            .map(|(path, _)| fault(path, "must be longer than 0s"))
            .collect();
        if self.suspect_after < self.heartbeat * 2 {
            let reason = "must be at least two heartbeats";
            faults.push(fault("/timing/suspect_after", reason));
        }
        if self.credit_life < self.heartbeat * 2 {
            let reason = "must be at least two heartbeats";
            faults.push(fault("/timing/credit_life", reason));
        }
        if self.stale_after <= self.platform_poll {
            let reason = "must be longer than platform_poll";
            faults.push(fault("/timing/stale_after", reason));
        }
        faults
    }
}

/// Logging.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// File to append to; standard output when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<Box<str>>,
    /// Level for all modules: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub level: Option<Box<str>>,
    /// Levels of single modules, such as `bluebelldrift::spread`.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub modules: BTreeMap<Box<str>, Box<str>>,
}

impl LogSettings {
    /// Returns one fault for each unknown level.
    fn faults(&self) -> Vec<Fault> {
        let level = self
            .level
            .iter()
            .map(|level| ("/log/level".to_owned(), level));
        let modules = self
            .modules
            .iter()
            .map(|(module, level)| (format!("/log/modules/{module}"), level));
        let invalid = level
            .chain(modules)
            .filter(|(_, level)| level.parse::<log::LevelFilter>().is_err());
        let faults = invalid.map(|(path, level)| fault(&path, format!("unknown level {level:?}")));
        faults.collect()
    }
}

/// Returns a fault of the value at `path`.
pub(crate) fn fault(path: &str, reason: impl Into<Box<str>>) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

/// Error of reading or checking settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("step=read_settings file={file}: {source}"))]
    Read {
        /// Path of the file.
        file: Box<str>,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[snafu(display("step=parse_settings file={file}: {source}"))]
    Parse {
        /// Path of the file.
        file: Box<str>,
        /// Error of the parser, with its position in the file.
        source: serde_json::Error,
    },
    /// The settings have faults.
    #[snafu(display("{}", join_lines(faults)))]
    Invalid {
        /// Faults found, each with the path of its field.
        faults: Vec<Fault>,
    },
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not JSON, or has faults;
    /// see [`Settings::from_value`].
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let file: Box<str> = path.display().to_string().into();
        let text = fs::read(path).context(ReadSnafu { file: file.clone() })?;
        let value = serde_json::from_slice(&text).context(ParseSnafu { file })?;
        Self::from_value(value)
    }

    /// Checks a settings document.
    ///
    /// # Errors
    /// Returns all faults that the JSON Schema finds or, if there are none, all
    /// other faults, each with the path of its field.
    pub fn from_value(value: Value) -> Result<Self, SettingsError> {
        check_against_schema::<Self>(&value, "")
            .map_err(|faults| SettingsError::Invalid { faults })?;
        let settings: Self = serde_json::from_value(value).map_err(|e| SettingsError::Invalid {
            faults: vec![Fault {
                path: "/".into(),
                reason: e.to_string().into(),
            }],
        })?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError::Invalid { faults })
        }
    }

    /// Returns the faults that the JSON Schema does not express: invalid addresses,
    /// unknown log levels, and the faults of [`Timing`].
    fn faults(&self) -> Vec<Fault> {
        let mut faults = self.address_faults();
        faults.extend(self.timing.faults());
        faults.extend(self.log.faults());
        faults
    }

    /// Returns one fault for each address that is not `IP:port`.
    fn address_faults(&self) -> Vec<Fault> {
        let addresses = [
            ("/listen/caller", &self.listen.caller),
            ("/listen/operator", &self.listen.operator),
            ("/listen/peer", &self.listen.peer),
            ("/platform/address", &self.platform.address),
        ];
        let single = addresses.map(|(path, address)| (path.to_owned(), address));
        let peers = self.peers.iter().enumerate();
        let peers = peers.map(|(i, address)| (format!("/peers/{i}"), address));
        let invalid = single
            .into_iter()
            .chain(peers)
            .filter(|(_, address)| address.parse::<SocketAddr>().is_err());
        let faults =
            invalid.map(|(path, address)| fault(&path, format!("{address:?} is not IP:port")));
        faults.collect()
    }

    /// Returns example settings, as a starting point for a settings file.
    #[must_use]
    pub fn example() -> Self {
        let any_local_port: Box<str> = "127.0.0.1:0".into();
        let key = "change-me-".repeat(MIN_KEY_CHARS / 8);
        Self {
            name: "entry-1".into(),
            zone: "vest-bergen".into(),
            region: "vest".into(),
            listen: Listen {
                caller: any_local_port.clone(),
                operator: any_local_port.clone(),
                peer: any_local_port,
            },
            platform: PlatformSettings {
                address: "127.0.0.1:7000".into(),
                timeout: default_platform_timeout(),
            },
            peers: Vec::new(),
            keys: Keys {
                peer: key.as_str().into(),
                operator: key.as_str().into(),
                resume: key.as_str().into(),
            },
            limits: Limits::default(),
            timing: Timing::default(),
            policy: Policy::default(),
            cut_off: CutOff::default(),
            log: LogSettings::default(),
        }
    }
}

/// Returns the JSON Schemas of settings and records, with their file names.
#[must_use]
pub fn settings_schemas() -> Vec<(&'static str, Value)> {
    let mut schemas = crate::records::json_schemas();
    schemas.push(("settings.json", schemars::schema_for!(Settings).into()));
    schemas
}
