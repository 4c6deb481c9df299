//! Answers that the gateway gives itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

use super::{body::AnswerBody, routing::Denied};

/// Why the gateway answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No configuration has been read yet.
    NoConfig,
    /// The newest sure read of the configuration is too old to trust a key.
    StaleKeys,
    /// The request has no id.
    NoId,
    /// No route or customer fits.
    Denied(Denied),
    /// The body is larger than the limit.
    TooLarge,
    /// The body did not arrive whole.
    BodyCut,
    /// The process stops before the request could end.
    Stopping,
    /// No target may take it now; it has not run.
    NoTarget,
    /// Every target that was asked declined; it has not run.
    Declined,
    /// It may have run, and its answer was lost.
    Lost,
    /// It may have run, and did not end in time.
    TimedOut,
    /// Its time was over before it was sent.
    Expired,
}

/// First pause before a return; a target that left is replaced in about this.
const RETRY_SOON: Duration = Duration::from_millis(250);
/// Pause before a return where the daemon itself cannot serve.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(100);

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::StaleKeys
            | Self::Stopping
            | Self::NoTarget
            | Self::Declined
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoId | Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::Denied(Denied::NoRoute) => StatusCode::NOT_FOUND,
            Self::Denied(Denied::UnknownKey) => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When to come back; `spread` from 0 to 1 keeps callers apart.
    fn retry_after(self, spread: f64) -> Option<Duration> {
        match self {
            Self::NoTarget | Self::Declined => Some(RETRY_SOON.mul_f64(1.0 + spread)),
            Self::NoConfig | Self::StaleKeys | Self::Stopping => {
                Some(RETRY_ELSEWHERE.mul_f64(1.0 + spread))
            }
            _ => None,
        }
    }

    /// The answer; `spread` from 0 to 1 keeps callers' returns apart.
    #[must_use]
    pub fn answer(self, spread: f64) -> Response<AnswerBody> {
        let text = format!("{self}\n");
        let mut res = Response::new(AnswerBody::whole(Bytes::from(text)));
        *res.status_mut() = self.status();
        if let Some(pause) = self.retry_after(spread) {
            let seconds = format!("{:.3}", pause.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                res.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        res
    }
}
