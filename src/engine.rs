//! HTTP client of a model engine: starts, resumes and cancels generations, reads
//! their event streams, and fetches load reports and cache events.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use snafu::Snafu;

use crate::{
    http::{self, CallError, HttpClient},
    prefix::CacheEvent,
    wire::{BootId, GenerationId},
};

/// Maximum size of a response that is not a stream, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Maximum size of a single event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum idle time of a pooled connection that is reused. After a longer one, a
/// device on the path may have dropped the state of the connection.
const POOL_IDLE: Duration = Duration::from_secs(5);

/// A request to generate tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Id of the generation. If the engine already runs a generation with this
    /// id, the request attaches to it.
    pub generation_id: GenerationId,
    /// Start of the engine that the credit was granted for. An engine of another
    /// start declines the request; `None` lets any start run it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot_id: Option<BootId>,
    /// Text of the prompt.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate, if the caller set one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Scheduling priority; higher values are served first.
    #[serde(default)]
    pub priority: i32,
    /// Sampling parameters of the caller, passed on unchanged.
    #[serde(flatten)]
    pub parameters: Map<String, Value>,
}

/// A load report of an engine. It lags behind the actual load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Identifier of this start of the engine; every start has a new one.
    pub boot_id: BootId,
    /// Number of sequences in the batch.
    pub running: u32,
    /// Number of sequences waiting for KV memory.
    pub waiting: u32,
    /// KV memory in use, in tokens.
    pub kv_used: u64,
    /// KV memory in total, in tokens.
    pub kv_total: u64,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
    /// Number of tokens generated since the engine started.
    pub tokens: u64,
    /// Whether the engine is still warming up.
    pub is_cold: bool,
}

/// One event of a generation's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A generated token.
    Token {
        /// Position in the generation, from 0.
        index: u64,
        /// JSON text of the event.
        data: Bytes,
    },
    /// A keep-alive without data.
    Heartbeat,
    /// The generation is complete.
    End(EndOfGeneration),
}

/// Data of the event that marks a generation as complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndOfGeneration {
    /// Total number of tokens generated.
    pub tokens: u64,
    /// Why the generation ended: `stop` or `length`.
    pub finish_reason: Box<str>,
}

/// A call to an engine that failed.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The call did not reach the engine, or its response was lost.
    #[snafu(display("engine: {source}"), context(false))]
    Call {
        /// The underlying error, with the failed step and the peer.
        source: CallError,
    },
    /// The engine declined the request before admission, so it did not run.
    #[snafu(display("engine: step=admission peer={peer} status={status}"))]
    Declined {
        /// Address of the engine.
        peer: Box<str>,
        /// HTTP status.
        status: u16,
    },
    /// The engine has no such generation.
    #[snafu(display("engine: step=resume peer={peer}: no such generation"))]
    UnknownGeneration {
        /// Address of the engine.
        peer: Box<str>,
    },
    /// The credit expired before the request was sent.
    #[snafu(display("engine: step=start peer={peer}: the credit lapsed"))]
    CreditExpired {
        /// Address of the engine.
        peer: Box<str>,
    },
    /// The engine returned an error that does not show whether the request ran.
    #[snafu(display("engine: step=answer peer={peer} status={status}"))]
    Failed {
        /// Address of the engine.
        peer: Box<str>,
        /// HTTP status.
        status: u16,
    },
    /// The stream ended or failed before its end event.
    #[snafu(display("engine: step=stream peer={peer}: {reason}"))]
    Broken {
        /// Address of the engine.
        peer: Box<str>,
        /// What went wrong.
        reason: Box<str>,
    },
}

impl EngineError {
    /// Returns `true` if the engine certainly runs nothing for this request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Call { source } => source.is_unsent(),
            Self::Declined { .. } | Self::UnknownGeneration { .. } | Self::CreditExpired { .. } => {
                true
            }
            Self::Failed { .. } | Self::Broken { .. } => false,
        }
    }

    /// Returns `true` if the engine never had the generation or no longer has it, so
    /// that further connection attempts are useless.
    #[must_use]
    pub fn is_generation_lost(&self) -> bool {
        match self {
            Self::Call { source } => matches!(
                source,
                // Nothing listens at the address, so the engine has terminated.
                CallError::Connect {
                    is_refused: true,
                    ..
                }
            ),
            Self::Declined { .. } | Self::UnknownGeneration { .. } | Self::CreditExpired { .. } => {
                true
            }
            Self::Failed { .. } | Self::Broken { .. } => false,
        }
    }
}

/// HTTP client shared by the calls to all engines.
#[derive(Clone)]
pub struct EngineClient {
    pooled: HttpClient,
    /// Opens a new connection for each call, for streams, which may be resumed,
    /// and for cancellations.
    unpooled: HttpClient,
    timeout: Duration,
}

impl EngineClient {
    /// Creates a client. `timeout` limits connecting and calls without a stream.
    #[must_use]
    pub fn open(timeout: Duration) -> Self {
        Self {
            pooled: http::new_client(timeout, Some(POOL_IDLE)),
            unpooled: http::new_client(timeout, None),
            timeout,
        }
    }

    /// Starts a generation, or attaches to it if it already runs on the engine.
    ///
    /// # Errors
    /// See [`EngineError`]; [`EngineError::is_not_run`] returns whether it
    /// certainly does not run.
    pub async fn start(
        &self,
        address: &str,
        generation: &GenerationRequest,
    ) -> Result<EngineStream, EngineError> {
        let body = serde_json::to_vec(generation).unwrap_or_default();
        let req = http::json_request(&Method::POST, address, "/v1/completions", body)?;
        // A stream occupies its connection for a long time, so reuse would save
        // little and could pick a connection that died silently while idle.
        let res = http::send(&self.unpooled, req).await?;
        stream_from(address, res)
    }

    /// Resumes the stream of a generation at token `from`.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn resume(
        &self,
        address: &str,
        generation: &str,
        from: u64,
    ) -> Result<EngineStream, EngineError> {
        let path = format!("/v1/generations/{generation}?from={from}");
        let req = http::json_request(&Method::GET, address, &path, Bytes::new())?;
        let sending = http::send(&self.unpooled, req);
        let sent = tokio::time::timeout(self.timeout, sending).await;
        let res = sent.unwrap_or_else(|_| {
            Err(CallError::NoAnswer {
                step: "resume",
                peer: address.into(),
                reason: "timeout".into(),
            })
        })?;
        stream_from(address, res)
    }

    /// Cancels a generation. Idempotent.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn cancel(&self, address: &str, generation: &str) -> Result<(), EngineError> {
        let path = format!("/v1/generations/{generation}");
        let req = http::json_request(&Method::DELETE, address, &path, Bytes::new())?;
        http::send_request(&self.unpooled, req, self.timeout, MAX_ANSWER_BYTES).await?;
        Ok(())
    }

    /// Cancels a generation unless a client is reading its stream. Idempotent.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn cancel_if_unread(
        &self,
        address: &str,
        generation: &str,
    ) -> Result<(), EngineError> {
        self.cancel(address, &format!("{generation}?unread")).await
    }

    /// Fetches the load report of an engine.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        let req = http::json_request(&Method::GET, address, "/v1/load", Bytes::new())?;
        let res = http::send_request(&self.pooled, req, self.timeout, MAX_ANSWER_BYTES).await?;
        serde_json::from_slice(res.body()).map_err(|_| EngineError::Failed {
            peer: address.into(),
            status: res.status().as_u16(),
        })
    }

    /// Fetches the cache events of an engine after the sequence number `after`.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("/v1/cache_events?after={after}");
        let req = http::json_request(&Method::GET, address, &path, Bytes::new())?;
        let res = http::send_request(&self.pooled, req, self.timeout, MAX_ANSWER_BYTES).await?;
        serde_json::from_slice(res.body()).map_err(|_| EngineError::Failed {
            peer: address.into(),
            status: res.status().as_u16(),
        })
    }
}

fn stream_from(address: &str, res: hyper::Response<Incoming>) -> Result<EngineStream, EngineError> {
    let peer = address.into();
    match res.status() {
        StatusCode::OK => Ok(EngineStream {
            peer,
            body: res.into_body(),
            buf: BytesMut::new(),
        }),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownGeneration { peer }),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(EngineError::Declined {
                peer,
                status: status.as_u16(),
            })
        }
        status => Err(EngineError::Failed {
            peer,
            status: status.as_u16(),
        }),
    }
}

/// The event stream of one generation over one connection.
pub struct EngineStream {
    peer: Box<str>,
    body: Incoming,
    buf: BytesMut,
}

impl EngineStream {
    /// Returns the next event. Cancel-safe.
    ///
    /// # Errors
    /// The connection failed, or ended without the end event.
    pub async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            while let Some(end) = memchr::memmem::find(&self.buf, b"\n\n") {
                let event = self.buf.split_to(end).freeze();
                self.buf.advance(2);
                if let Some(event) = parse_event(&event) {
                    return Ok(event);
                }
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(self.broken("event too large"));
            }
            match self.body.frame().await {
                None => return Err(self.broken("ended without a mark")),
                Some(Err(e)) => return Err(self.broken(&e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    fn broken(&self, reason: &str) -> EngineError {
        EngineError::Broken {
            peer: self.peer.clone(),
            reason: reason.into(),
        }
    }
}

/// Parses one server-sent event; returns `None` if it is not recognized.
fn parse_event(event: &Bytes) -> Option<EngineEvent> {
    if event.starts_with(b":") {
        return Some(EngineEvent::Heartbeat);
    }
    let mut index = None;
    let mut data = None;
    let mut is_end = false;
    for line in event.split(|b| *b == b'\n') {
        if let Some(id) = line.strip_prefix(b"id: ") {
            index = std::str::from_utf8(id).ok()?.parse().ok();
        } else if let Some(text) = line.strip_prefix(b"data: ") {
            data = Some(event.slice_ref(text));
        } else if line == b"event: end" {
            is_end = true;
        }
    }
    let data = data?;
    if is_end {
        return serde_json::from_slice(&data).ok().map(EngineEvent::End);
    }
    Some(EngineEvent::Token {
        index: index?,
        data,
    })
}
