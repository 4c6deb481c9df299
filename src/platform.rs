//! Client of the platform's object API and instance list.

use std::{collections::BTreeMap, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use snafu::Snafu;

use crate::http::{self, CallError, HttpClient};

/// Counter of the platform's changes; the only clock of configuration.
pub type Revision = u64;

/// Largest answer read from the platform: a list of whole objects.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// One object as the platform holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Path of the object, such as `records/Service/rensmodell`.
    pub key: Box<str>,
    /// Revision of its last change.
    pub revision: Revision,
    /// `None` once deleted.
    pub value: Option<Value>,
}

/// All live objects below a prefix, as of one revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the whole store when it was read.
    pub revision: Revision,
    /// Live objects only.
    pub objects: Vec<Object>,
}

/// Whether an instance serves or is on its way out.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// It may take new work.
    Live,
    /// It finishes what runs and takes no new work.
    Leaving,
}

/// What an instance runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum InstanceRole {
    /// A bluebelldrift daemon, with the address of its peer port.
    Daemon,
    /// A target of the named service.
    Target {
        /// Service it serves.
        service: Box<str>,
    },
}

/// A line of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name.
    pub name: Box<str>,
    /// Availability zone it stands in.
    pub zone: Box<str>,
    /// `IP:port`: a target's service port, a daemon's peer port.
    pub address: Box<str>,
    /// Serving or leaving.
    pub state: InstanceState,
    /// What it runs.
    #[serde(flatten)]
    pub role: InstanceRole,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Only when no live object has this key.
    Absent,
    /// Only when the object still has this revision.
    At(Revision),
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Put {
    /// It took effect at this revision.
    Written(Revision),
    /// The condition did not hold; the object as it stands, if it is live.
    Conflict(Option<Object>),
}

/// A platform call that failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The call did not get through, or its answer was lost.
    #[snafu(display("platform: {source}"), context(false))]
    Call {
        /// The step and the peer.
        source: CallError,
    },
    /// The platform answered with an error.
    #[snafu(display("platform: step={step} status={status}"))]
    Status {
        /// Call that failed.
        step: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// The answer could not be read.
    #[snafu(display("platform: step={step}: {reason}"))]
    Garbled {
        /// Call that failed.
        step: &'static str,
        /// What was wrong with the answer.
        reason: Box<str>,
    },
}

impl PlatformError {
    /// True when the call certainly had no effect.
    #[must_use]
    pub fn is_without_effect(&self) -> bool {
        match self {
            Self::Call { source } => source.is_unsent(),
            Self::Status { .. } => true,
            Self::Garbled { .. } => false,
        }
    }
}

/// Client of one platform address.
#[derive(Clone)]
pub struct Platform {
    client: HttpClient,
    authority: Box<str>,
    timeout: Duration,
}

impl Platform {
    /// Opens a client; nothing is sent yet. `timeout` bounds each call but a
    /// watch.
    #[must_use]
    pub fn open(authority: impl Into<Box<str>>, timeout: Duration) -> Self {
        Self {
            client: http::client(timeout, Some(Duration::from_secs(5))),
            authority: authority.into(),
            timeout,
        }
    }

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    /// The call failed or was answered with an error.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = format!("/v1/objects/{key}");
        let res = self.call(&Method::GET, &path, Bytes::new()).await?;
        match res.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => parse("get", res.body()).map(Some),
            status => Err(bad_status("get", status)),
        }
    }

    /// Reads all live objects whose keys start with `prefix`.
    ///
    /// # Errors
    /// The call failed or was answered with an error.
    pub async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/v1/list?prefix={prefix}");
        self.read("list", &path).await
    }

    /// Reads the revision of the last change below `prefix`: a cheap sign that
    /// the platform is reachable and that nothing was missed.
    ///
    /// # Errors
    /// The call failed or was answered with an error.
    pub async fn revision(&self, prefix: &str) -> Result<Revision, PlatformError> {
        let path = format!("/v1/revision?prefix={prefix}");
        self.read("revision", &path).await
    }

    /// Reads the instance list, which lags.
    ///
    /// # Errors
    /// The call failed or was answered with an error.
    pub async fn instances(&self) -> Result<Vec<Instance>, PlatformError> {
        self.read("instances", "/v1/instances").await
    }

    /// Writes `value` if `condition` holds.
    ///
    /// # Errors
    /// The call failed; unless [`PlatformError::is_without_effect`], the write
    /// may have taken effect all the same.
    pub async fn put(
        &self,
        key: &str,
        value: &Value,
        condition: Condition,
    ) -> Result<Put, PlatformError> {
        let path = write_path(key, condition);
        let body = serde_json::to_vec(value).unwrap_or_default();
        let res = self.call(&Method::PUT, &path, body.into()).await?;
        written("put", &res)
    }

    /// Deletes an object if `condition` holds.
    ///
    /// # Errors
    /// As for [`Platform::put`].
    pub async fn delete(&self, key: &str, condition: Condition) -> Result<Put, PlatformError> {
        let path = write_path(key, condition);
        let res = self.call(&Method::DELETE, &path, Bytes::new()).await?;
        written("delete", &res)
    }

    /// Watches changes below `prefix` after revision `after`, oldest first.
    /// The stream ends when the connection does.
    ///
    /// # Errors
    /// The watch could not be opened.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<impl Stream<Item = Result<Object, PlatformError>> + use<>, PlatformError> {
        let path = format!("/v1/watch?prefix={prefix}&after={after}");
        let req = http::request(&Method::GET, &self.authority, &path, Bytes::new());
        let opening = http::send(&self.client, req);
        let res = tokio::time::timeout(self.timeout, opening)
            .await
            .map_err(|_| bad_status("watch", StatusCode::REQUEST_TIMEOUT))??;
        if res.status() != StatusCode::OK {
            return Err(bad_status("watch", res.status()));
        }
        Ok(stream::try_unfold(
            (res.into_body(), BytesMut::new()),
            |(mut body, mut buf)| async move {
                while !buf.contains(&b'\n') {
                    match body.frame().await {
                        None => return Ok(None),
                        Some(Ok(frame)) => {
                            buf.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                        }
                        Some(Err(e)) => {
                            return Err(PlatformError::Garbled {
                                step: "watch",
                                reason: e.to_string().into(),
                            });
                        }
                    }
                }
                let end = buf.iter().position(|b| *b == b'\n').unwrap_or(0);
                let line = buf.split_to(end + 1);
                let object = parse("watch", &line)?;
                Ok(Some((object, (body, buf))))
            },
        ))
    }

    async fn read<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Result<T, PlatformError> {
        let res = self.call(&Method::GET, path, Bytes::new()).await?;
        match res.status() {
            StatusCode::OK => parse(step, res.body()),
            status => Err(bad_status(step, status)),
        }
    }

    async fn call(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<hyper::Response<Bytes>, CallError> {
        metrics::counter!("bluebell_platform_calls").increment(1);
        let req = http::request(method, &self.authority, path, body);
        http::call(&self.client, req, self.timeout, MAX_ANSWER_BYTES).await
    }
}

fn write_path(key: &str, condition: Condition) -> String {
    let revision = match condition {
        Condition::Absent => 0,
        Condition::At(revision) => revision,
    };
    format!("/v1/objects/{key}?if_revision={revision}")
}

fn written(step: &'static str, res: &hyper::Response<Bytes>) -> Result<Put, PlatformError> {
    match res.status() {
        StatusCode::OK => parse(step, res.body()).map(Put::Written),
        StatusCode::CONFLICT => parse(step, res.body()).map(Put::Conflict),
        status => Err(bad_status(step, status)),
    }
}

fn bad_status(step: &'static str, status: StatusCode) -> PlatformError {
    PlatformError::Status {
        step,
        status: status.as_u16(),
    }
}

fn parse<T: DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|e| PlatformError::Garbled {
        step,
        reason: e.to_string().into(),
    })
}

/// Instances by name.
pub type Instances = BTreeMap<Box<str>, Instance>;
