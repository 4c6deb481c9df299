//! Responses to requests that were not served: the reason, and whether the
//! request ran.

use std::time::Duration;

use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use serde::{Deserialize, Serialize};
use viz::{Response, StatusCode};

use crate::http;

/// Response header that states whether a request ran.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("x-bluebell-ran");
/// Response header that carries the request id.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-bluebell-request");

/// Whether a refused request ran.
///
/// [`Ran::NotRun`] applies to this attempt only: an earlier attempt with the same
/// idempotency key may have run, and had a response of its own. The other values may
/// come from an earlier attempt, as the ledger records it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Ran {
    /// The request did not run: no byte of it reached a target, or every target
    /// that received one declined it before admission.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, but its response is incomplete or lost.
    Ran,
}

/// Why a request was refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalKind {
    /// The request is invalid.
    BadRequest,
    /// The request body is larger than allowed.
    TooLarge,
    /// The request body did not arrive in time.
    TooSlow,
    /// The request carries no valid customer key, or a resume token that was not
    /// issued to the customer.
    Unauthorized,
    /// The service does not exist.
    NoService,
    /// No target has capacity for the request.
    NoRoom,
    /// The configuration is stale or has not been received yet.
    NotReady,
    /// The request needs the platform, which does not respond.
    PlatformDown,
    /// The idempotency key was used with another payload.
    KeyReused,
    /// A target failed or sent an invalid response.
    TargetFailed,
    /// The outcome of an earlier run is unknown.
    OutcomeUnknown,
    /// The request ran, but its response was not stored.
    AnswerLost,
    /// The request crashed targets and is temporarily rejected.
    Quarantined,
    /// The deadline of the request passed.
    DeadlinePassed,
}

impl Ran {
    /// Combines the values of two runs of one request: [`Ran::Ran`] takes
    /// precedence over [`Ran::Unknown`], and that over [`Ran::NotRun`].
    pub(crate) fn combine(self, other: Self) -> Self {
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

    /// Returns the time after which the caller may retry, or `None` if the response
    /// suggests no retry.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoRoom | Self::NotReady | Self::OutcomeUnknown => Some(Duration::from_secs(1)),
            Self::PlatformDown => Some(Duration::from_secs(5)),
            _ => None,
        }
    }
}

/// The reason why a request was not served, or not completely.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Category of the refusal.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub ran: Ran,
    /// Explanation for the caller.
    pub message: Box<str>,
}

/// The JSON body of a refusal, in the form that OpenAI-style clients expect.
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

    /// Returns the JSON text of the error, with the number of tokens delivered if
    /// it is given.
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

    /// Counts and logs the refusal, and returns it as an HTTP response.
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
