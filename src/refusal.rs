//! Refusals: why a request was not served, and whether it ran.

use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use serde::{Deserialize, Serialize};
use viz::{Response, StatusCode};

use crate::http;

/// Header that says whether a request ran.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("x-bluebell-ran");
/// Header that carries the request's id.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-bluebell-request");

/// Whether a refused request ran.
///
/// It speaks of this attempt: an earlier attempt with the same idempotency key
/// was told its own.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Ran {
    /// No byte reached any target, or each that got one declined it before
    /// admission.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, but the answer is not whole.
    Ran,
}

/// Why a request was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalKind {
    /// The request itself is wrong.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No valid key.
    Unauthorized,
    /// No such service.
    NoService,
    /// No target has room.
    NoRoom,
    /// The configuration is stale or not here yet.
    NotReady,
    /// The platform is needed and does not answer.
    PlatformDown,
    /// The key was used with another payload.
    KeyReused,
    /// A target failed or answered badly.
    TargetFailed,
    /// The outcome of an earlier run is not known.
    OutcomeUnknown,
    /// It ran, but its answer is not kept.
    AnswerLost,
    /// The request crashed targets and is kept out for a while.
    Quarantined,
    /// The deadline of the request passed.
    DeadlinePassed,
}

impl Ran {
    /// What holds of a request of which two parts may have run.
    pub(crate) fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

impl RefusalKind {
    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NoService => StatusCode::NOT_FOUND,
            Self::NoRoom => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady | Self::PlatformDown => StatusCode::SERVICE_UNAVAILABLE,
            Self::KeyReused | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TargetFailed => StatusCode::BAD_GATEWAY,
            Self::OutcomeUnknown | Self::AnswerLost => StatusCode::CONFLICT,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may try again, if that can help.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRoom | Self::NotReady | Self::OutcomeUnknown => Some(Duration::from_secs(1)),
            Self::PlatformDown => Some(Duration::from_secs(5)),
            _ => None,
        }
    }
}

/// A request that was not served, or not to the end.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether it ran.
    pub ran: Ran,
    /// For the caller's eyes.
    pub message: Box<str>,
}

/// The JSON body of a refusal, as OpenAI-style clients expect it.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    #[serde(rename = "type")]
    kind: RefusalKind,
    message: &'a str,
    ran: Ran,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    tokens_delivered: Option<u64>,
}

impl Refusal {
    pub fn not_run(kind: RefusalKind, message: impl Into<Box<str>>) -> Self {
        Self::new(kind, Ran::NotRun, message)
    }

    pub fn new(kind: RefusalKind, ran: Ran, message: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            ran,
            message: message.into(),
        }
    }

    /// The JSON text of the error, with the tokens delivered if any were.
    pub fn to_json(&self, request: &str, tokens_delivered: Option<u64>) -> Vec<u8> {
        let error = ErrorDetail {
            kind: self.kind,
            message: &self.message,
            ran: self.ran,
            request,
            tokens_delivered,
        };
        serde_json::to_vec(&ErrorBody { error }).unwrap_or_default()
    }

    /// The HTTP answer, counted and logged.
    pub fn into_response(self, request: &str) -> Response {
        self.record(request);
        let body = self.to_json(request, None);
        let mut res = http::with_body(self.kind.status(), "application/json", body);
        let headers = res.headers_mut();
        let ran: &'static str = self.ran.into();
        headers.insert(RAN_HEADER, HeaderValue::from_static(ran));
        if let Ok(request) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_HEADER, request);
        }
        if let Some(after) = self.kind.retry_after() {
            headers.insert(RETRY_AFTER, after.as_secs().into());
        }
        res
    }

    /// Counts and logs the refusal.
    pub fn record(&self, request: &str) {
        let kind: &'static str = self.kind.into();
        metrics::counter!("bluebell_refusals", "kind" => kind).increment(1);
        log::info!(
            "event=refused request={request} kind={kind} ran={} message={:?}",
            self.ran,
            self.message
        );
    }
}
