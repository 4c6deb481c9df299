//! Client of a model engine: generations, their streams, and load reports.

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

/// Largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Largest single event of a stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Pooled connections that idled longer than this are not used again, since
/// something in between may have forgotten them.
const POOL_IDLE: Duration = Duration::from_secs(5);

/// What an engine is asked to generate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GenerationRequest {
    /// Id of the run; the engine attaches to a run it already has.
    pub generation_id: GenerationId,
    /// Prompt.
    pub prompt: Box<str>,
    /// Most tokens to generate, if the caller set any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Higher goes first.
    #[serde(default)]
    pub priority: i32,
    /// Sampling parameters of the caller, passed on as they are.
    #[serde(flatten)]
    pub parameters: Map<String, Value>,
}

/// What an engine reports of itself; it lags.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes with each start of the engine.
    pub boot_id: BootId,
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait for memory.
    pub waiting: u32,
    /// Tokens in memory.
    pub kv_used: u64,
    /// Tokens that fit in memory.
    pub kv_total: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Tokens generated since the start.
    pub tokens: u64,
    /// The engine is still warming up.
    pub is_cold: bool,
}

/// One event of a generation's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A token: its index in the generation, and the JSON text of its event.
    Token {
        /// Position in the generation, from 0.
        index: u64,
        /// JSON text.
        data: Bytes,
    },
    /// A sign of life.
    Heartbeat,
    /// The generation is whole.
    End(EndOfGeneration),
}

/// The mark that a generation is whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndOfGeneration {
    /// Tokens generated in all.
    pub tokens: u64,
    /// `stop` or `length`.
    pub finish_reason: Box<str>,
}

/// A call to an engine that failed.
#[derive(Debug, Snafu)]
pub enum EngineError {
    /// The call did not get through, or its answer was lost.
    #[snafu(display("engine: {source}"), context(false))]
    Call {
        /// The step and the peer.
        source: CallError,
    },
    /// The engine declined before admission: it did not run.
    #[snafu(display("engine: step=admission peer={peer} status={status}"))]
    Declined {
        /// Address of the engine.
        peer: Box<str>,
        /// HTTP status.
        status: u16,
    },
    /// The engine does not have that generation.
    #[snafu(display("engine: step=resume peer={peer}: no such generation"))]
    Gone {
        /// Address of the engine.
        peer: Box<str>,
    },
    /// The credit lapsed before the request left.
    #[snafu(display("engine: step=start peer={peer}: the credit lapsed"))]
    Lapsed {
        /// Address of the engine.
        peer: Box<str>,
    },
    /// The engine answered with an error that leaves the outcome open.
    #[snafu(display("engine: step=answer peer={peer} status={status}"))]
    Failed {
        /// Address of the engine.
        peer: Box<str>,
        /// HTTP status.
        status: u16,
    },
    /// The stream ended or broke before the mark of its end.
    #[snafu(display("engine: step=stream peer={peer}: {reason}"))]
    Broken {
        /// Address of the engine.
        peer: Box<str>,
        /// What went wrong.
        reason: Box<str>,
    },
}

impl EngineError {
    /// True when the engine certainly runs nothing for this request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Call { source } => source.is_unsent(),
            Self::Declined { .. } | Self::Gone { .. } | Self::Lapsed { .. } => true,
            Self::Failed { .. } | Self::Broken { .. } => false,
        }
    }

    /// True when the engine has nothing of the run any more, so that further
    /// connections are of no use.
    #[must_use]
    pub fn is_over(&self) -> bool {
        match self {
            Self::Call { source } => matches!(
                source,
                CallError::Connect {
                    is_refused: true,
                    ..
                }
            ),
            Self::Declined { .. } | Self::Gone { .. } | Self::Lapsed { .. } => true,
            Self::Failed { .. } | Self::Broken { .. } => false,
        }
    }
}

/// Client of all engines.
#[derive(Clone)]
pub struct EngineClient {
    client: HttpClient,
    /// Opens a connection for each call, for streams that are resumed.
    fresh: HttpClient,
    timeout: Duration,
}

impl EngineClient {
    /// Opens a client. `timeout` bounds connecting and short calls.
    #[must_use]
    pub fn open(timeout: Duration) -> Self {
        Self {
            client: http::client(timeout, Some(POOL_IDLE)),
            fresh: http::client(timeout, None),
            timeout,
        }
    }

    /// Starts a generation, or attaches to it where it already runs.
    ///
    /// # Errors
    /// See [`EngineError`]; [`EngineError::is_not_run`] tells whether it runs.
    pub async fn start(
        &self,
        address: &str,
        generation: &GenerationRequest,
    ) -> Result<EngineStream, EngineError> {
        let body = serde_json::to_vec(generation).unwrap_or_default();
        let req = http::request(&Method::POST, address, "/v1/completions", body);
        // A stream holds its connection for long, so that reuse would save
        // little and could meet one that went silent while it was idle.
        let res = http::send(&self.fresh, req).await?;
        stream_of(address, res)
    }

    /// Goes on with a generation from token `from`.
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
        let req = http::request(&Method::GET, address, &path, Bytes::new());
        let sending = http::send(&self.fresh, req);
        let sent = tokio::time::timeout(self.timeout, sending).await;
        let res = sent.unwrap_or_else(|_| {
            Err(CallError::Lost {
                step: "resume",
                peer: address.into(),
                reason: "timeout".into(),
            })
        })?;
        stream_of(address, res)
    }

    /// Cancels a generation. Idempotent.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn cancel(&self, address: &str, generation: &str) -> Result<(), EngineError> {
        let path = format!("/v1/generations/{generation}");
        let req = http::request(&Method::DELETE, address, &path, Bytes::new());
        http::call(&self.fresh, req, self.timeout, MAX_ANSWER_BYTES).await?;
        Ok(())
    }

    /// Cancels a generation unless somebody reads it. Idempotent.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn cancel_unread(&self, address: &str, generation: &str) -> Result<(), EngineError> {
        self.cancel(address, &format!("{generation}?unread")).await
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        let req = http::request(&Method::GET, address, "/v1/load", Bytes::new());
        let res = http::call(&self.client, req, self.timeout, MAX_ANSWER_BYTES).await?;
        serde_json::from_slice(res.body()).map_err(|_| EngineError::Failed {
            peer: address.into(),
            status: res.status().as_u16(),
        })
    }

    /// Reads the engine's cache events after a sequence number.
    ///
    /// # Errors
    /// See [`EngineError`].
    pub async fn cache_events(
        &self,
        address: &str,
        after: u64,
    ) -> Result<Vec<CacheEvent>, EngineError> {
        let path = format!("/v1/cache_events?after={after}");
        let req = http::request(&Method::GET, address, &path, Bytes::new());
        let res = http::call(&self.client, req, self.timeout, MAX_ANSWER_BYTES).await?;
        serde_json::from_slice(res.body()).map_err(|_| EngineError::Failed {
            peer: address.into(),
            status: res.status().as_u16(),
        })
    }
}

fn stream_of(address: &str, res: hyper::Response<Incoming>) -> Result<EngineStream, EngineError> {
    let peer = address.into();
    match res.status() {
        StatusCode::OK => Ok(EngineStream {
            peer,
            body: res.into_body(),
            buf: BytesMut::new(),
        }),
        StatusCode::NOT_FOUND => Err(EngineError::Gone { peer }),
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

/// The events of one generation, as one connection brings them.
pub struct EngineStream {
    peer: Box<str>,
    body: Incoming,
    buf: BytesMut,
}

impl EngineStream {
    /// The next event. Cancel-safe.
    ///
    /// # Errors
    /// The connection broke, or ended without the mark of the end.
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

/// Reads one server-sent event; `None` for one that is not understood.
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
