//! Calls the platform: its object store and its instance list.

use std::{collections::BTreeMap, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{Stream, stream};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use snafu::Snafu;

use crate::{
    http::{self, CallError, HttpClient, escaped},
    log::shown,
};

/// Number of a change in the platform's object store, which counts all changes.
/// It alone orders the versions of the configuration.
pub type Revision = u64;

/// Largest answer accepted from the platform. The largest are listings, which
/// hold whole objects.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// State of an object in the platform's store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Key of the object, such as `records/Service/rensmodell`.
    pub key: Box<str>,
    /// Revision of its last change.
    pub revision: Revision,
    /// JSON value; `None` if the object was deleted.
    pub value: Option<Value>,
}

/// All live objects whose keys start with a prefix, at one revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the whole store at which the listing was made.
    pub revision: Revision,
    /// The objects, without deleted ones.
    pub objects: Vec<Object>,
}

/// Whether an instance may accept new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// The instance may accept new work.
    Live,
    /// The instance finishes its running work and accepts no new work.
    Leaving,
}

/// Program that an instance runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum InstanceRole {
    /// A bluebelldrift daemon; the address of the instance is its peer port.
    Daemon,
    /// A target of the named service.
    Target {
        /// Name of the service.
        service: Box<str>,
    },
}

/// An entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub name: Box<str>,
    /// Availability zone of the instance.
    pub zone: Box<str>,
    /// `IP:port`: a target's service port, a daemon's peer port.
    pub address: Box<str>,
    /// Whether the instance may accept new work.
    pub state: InstanceState,
    /// Program that the instance runs.
    #[serde(flatten)]
    pub role: InstanceRole,
}

/// Condition of a write or delete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// No live object has the key.
    Absent,
    /// The object is live and its last change has this revision.
    AtRevision(Revision),
}

/// Result of a conditional write or delete.
#[derive(Clone, Debug, PartialEq)]
pub enum PutResult {
    /// The write took effect and has this revision.
    Written(Revision),
    /// The condition did not hold. Holds the current object; `None` if there is
    /// no live one.
    Conflict(Option<Object>),
}

/// Error of a call to the platform.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The request could not be sent, or its answer was lost.
    #[snafu(display("platform: {source}"), context(false))]
    Call {
        /// Cause, with the failed step and the peer.
        source: CallError,
    },
    /// The platform answered with an unexpected status.
    #[snafu(display("platform: step={step} status={status}"))]
    Status {
        /// Name of the failed call.
        step: &'static str,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The body of the answer could not be decoded, or a watch was cut off.
    #[snafu(display("platform: step={step}: {reason}"))]
    UnreadableAnswer {
        /// Name of the failed call.
        step: &'static str,
        /// Description of the decoding or connection error.
        reason: Box<str>,
    },
}

impl PlatformError {
    /// Returns whether the call is taken to have had no effect: the request was
    /// not sent, or the platform answered with an unexpected status.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::Call { source } => source.is_unsent(),
            Self::Status { .. } => true,
            Self::UnreadableAnswer { .. } => false,
        }
    }
}

/// Client for the platform at one address.
#[derive(Clone)]
pub struct Platform {
    client: HttpClient,
    authority: Box<str>,
    timeout: Duration,
}

impl Platform {
    /// Creates a client without connecting. `timeout` bounds each call, and the
    /// opening of a watch but not the time for which it stays open.
    #[must_use]
    pub fn new(authority: impl Into<Box<str>>, timeout: Duration) -> Self {
        Self {
            client: http::new_client(timeout, Some(Duration::from_secs(5))),
            authority: authority.into(),
            timeout,
        }
    }

    /// Reads one object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the call fails or is answered with an error status.
    pub async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = object_path(key);
        let res = self.call(&Method::GET, &path, Bytes::new()).await?;
        match res.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => parse("get", res.body()).map(Some),
            status => Err(status_error("get", status)),
        }
    }

    /// Reads all live objects whose keys start with `prefix`.
    ///
    /// # Errors
    /// Returns an error if the call fails or is answered with an error status.
    pub async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/v1/list?prefix={}", escaped(prefix));
        self.read_json("list", &path).await
    }

    /// Reads the revision of the last change to keys that start with `prefix`.
    /// This is a cheap check that the platform is reachable and that no change
    /// was missed.
    ///
    /// # Errors
    /// Returns an error if the call fails or is answered with an error status.
    pub async fn revision(&self, prefix: &str) -> Result<Revision, PlatformError> {
        let path = format!("/v1/revision?prefix={}", escaped(prefix));
        self.read_json("revision", &path).await
    }

    /// Reads the instance list, which lags behind the actual instances. Entries that cannot be
    /// decoded are left out.
    ///
    /// # Errors
    /// Returns an error if the call fails or is answered with an error status.
    pub async fn instances(&self) -> Result<Vec<Instance>, PlatformError> {
        let entries: Vec<Value> = self.read_json("instances", "/v1/instances").await?;
        let decoded = entries.into_iter().map(Instance::deserialize);
        let (instances, errors): (Vec<_>, Vec<_>) = decoded.partition(Result::is_ok);
        if let Some(Err(first)) = errors.first() {
            let (count, first) = (errors.len(), first.to_string());
            log::warn!(
                "event=instances_unreadable count={count} first={}",
                shown(first)
            );
        }
        Ok(instances.into_iter().flatten().collect())
    }

    /// Writes `value` if `condition` holds.
    ///
    /// # Errors
    /// Returns an error if the call fails. The write may still have taken effect
    /// unless [`PlatformError::had_no_effect`] returns true.
    pub async fn put(
        &self,
        key: &str,
        value: &Value,
        condition: WriteCondition,
    ) -> Result<PutResult, PlatformError> {
        let path = write_path(key, condition);
        let body = serde_json::to_vec(value).unwrap_or_default();
        let res = self.call(&Method::PUT, &path, body.into()).await?;
        parse_write_result("put", &res)
    }

    /// Deletes an object if `condition` holds.
    ///
    /// # Errors
    /// The same as those of [`Platform::put`].
    pub async fn delete(
        &self,
        key: &str,
        condition: WriteCondition,
    ) -> Result<PutResult, PlatformError> {
        let path = write_path(key, condition);
        let res = self.call(&Method::DELETE, &path, Bytes::new()).await?;
        parse_write_result("delete", &res)
    }

    /// Watches keys that start with `prefix` for changes after revision `after`.
    /// Returns a stream of the changes, oldest first, that ends when the
    /// connection closes.
    ///
    /// # Errors
    /// Returns an error if the watch cannot be opened.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<impl Stream<Item = Result<Object, PlatformError>> + use<>, PlatformError> {
        let path = format!("/v1/watch?prefix={}&after={after}", escaped(prefix));
        let req = http::json_request(&Method::GET, &self.authority, &path, Bytes::new())?;
        let opening = http::send(&self.client, req);
        let res = tokio::time::timeout(self.timeout, opening)
            .await
            .map_err(|_| status_error("watch", StatusCode::REQUEST_TIMEOUT))??;
        if res.status() != StatusCode::OK {
            return Err(status_error("watch", res.status()));
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
                            return Err(PlatformError::UnreadableAnswer {
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

    async fn read_json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Result<T, PlatformError> {
        let res = self.call(&Method::GET, path, Bytes::new()).await?;
        match res.status() {
            StatusCode::OK => parse(step, res.body()),
            status => Err(status_error(step, status)),
        }
    }

    async fn call(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<hyper::Response<Bytes>, CallError> {
        metrics::counter!("bluebell_platform_calls").increment(1);
        let req = http::json_request(method, &self.authority, path, body)?;
        http::send_request(&self.client, req, self.timeout, MAX_ANSWER_BYTES).await
    }
}

/// Returns the path of an object. The slashes of its key separate segments.
fn object_path(key: &str) -> String {
    let segments = key.split('/').map(|s| escaped(s).to_string());
    let segments: Vec<_> = segments.collect();
    format!("/v1/objects/{}", segments.join("/"))
}

fn write_path(key: &str, condition: WriteCondition) -> String {
    let revision = match condition {
        WriteCondition::Absent => 0,
        WriteCondition::AtRevision(revision) => revision,
    };
    format!("{}?if_revision={revision}", object_path(key))
}

fn parse_write_result(
    step: &'static str,
    res: &hyper::Response<Bytes>,
) -> Result<PutResult, PlatformError> {
    match res.status() {
        StatusCode::OK => parse(step, res.body()).map(PutResult::Written),
        StatusCode::CONFLICT => parse(step, res.body()).map(PutResult::Conflict),
        status => Err(status_error(step, status)),
    }
}

fn status_error(step: &'static str, status: StatusCode) -> PlatformError {
    PlatformError::Status {
        step,
        status: status.as_u16(),
    }
}

fn parse<T: DeserializeOwned>(step: &'static str, bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|e| PlatformError::UnreadableAnswer {
        step,
        reason: e.to_string().into(),
    })
}

/// Instances of the platform's instance list, by name.
pub type Instances = BTreeMap<Box<str>, Instance>;
