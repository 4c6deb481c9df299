//! Error responses that the gateway generates itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

use super::{body::ResponseBody, routing::Denied};

/// Reason for which the gateway refuses a request or gives up on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The configuration, or another topic of the store, has not been read yet.
    NoConfig,
    /// The configuration was last confirmed too long ago to accept a key.
    StaleKeys,
    /// The configuration was last confirmed too long ago to deny the request by it, or, while the
    /// store may answer, to serve it; it has not run.
    StaleConfig,
    /// The request carries no request id.
    NoId,
    /// No route or customer matches.
    Denied(Denied),
    /// The body is larger than the limit.
    TooLarge,
    /// The body could not be read to its end.
    BodyCut,
    /// The last event that the caller states to have is not one number.
    BadEventId,
    /// The body arrives too slowly; the request has not run.
    BodySlow,
    /// Other requests take the memory of this daemon; it has not run.
    NoMemory,
    /// The process is stopping and may exit before the request's deadline; the request
    /// has not run.
    Stopping,
    /// The process is about to exit; the request may have run.
    Exiting,
    /// No target may receive the request now; it has not run.
    NoTarget,
    /// Each target that could take it has stated a limit that is used up; it has not run.
    Limited,
    /// Each target that could take it wants no requests for this time at least; it has not
    /// run.
    Waiting(Duration),
    /// No target can begin the request before its deadline; it has not run. Room is expected
    /// after the time given.
    NoRoom(Duration),
    /// The service is short of room, and the customer is beyond its share of it; it has not run.
    CustomerShare,
    /// Every target that was tried was unreachable or declined; the request has not
    /// run.
    Declined,
    /// Targets crash on the request or on a part of its prompt; it has not run.
    Suspect,
    /// The request may have run, and its answer was lost.
    Lost,
    /// The request may have run, and did not finish before its deadline.
    TimedOut,
    /// The deadline passed before the request was sent.
    Expired,
}

/// Minimum `Retry-After` when no target took the request: about the time in which a
/// target that left is replaced.
const RETRY_AFTER_NO_TARGET: Duration = Duration::from_millis(250);
/// Minimum `Retry-After` when this daemon cannot serve, but another one may.
const RETRY_OTHER_DAEMON: Duration = Duration::from_millis(100);
/// Minimum `Retry-After` when the limits of targets are used up: a part of the window over
/// which they are counted.
const RETRY_LIMITED: Duration = Duration::from_millis(500);
/// Span over which callers return to targets that wanted no requests.
const RETRY_SPREAD: Duration = Duration::from_millis(500);
/// Minimum `Retry-After` when other requests take the memory of this daemon: about the time
/// in which a large body is sent and answered.
const RETRY_NO_MEMORY: Duration = Duration::from_secs(1);
/// Minimum `Retry-After` when a customer is beyond its share: in about this time its share is
/// computed again.
const RETRY_CUSTOMER_SHARE: Duration = Duration::from_secs(1);
/// Minimum `Retry-After` when targets crash on the request.
const RETRY_SUSPECT: Duration = Duration::from_secs(2);

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::StaleKeys
            | Self::StaleConfig
            | Self::Stopping
            | Self::NoTarget
            | Self::Limited
            | Self::Waiting(_)
            | Self::NoRoom(_)
            | Self::CustomerShare
            | Self::Declined
            | Self::Suspect
            | Self::NoMemory
            | Self::Expired => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoId | Self::BodyCut | Self::BadEventId => StatusCode::BAD_REQUEST,
            Self::BodySlow => StatusCode::REQUEST_TIMEOUT,
            Self::Denied(Denied::NoRoute) => StatusCode::NOT_FOUND,
            Self::Denied(Denied::UnknownKey) => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Exiting => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the delay after which the caller may retry, if any; `jitter` from 0 to 1
    /// spreads the retries of many callers.
    fn retry_after(self, jitter: f64) -> Option<Duration> {
        match self {
            Self::NoTarget | Self::Declined => Some(RETRY_AFTER_NO_TARGET.mul_f64(1.0 + jitter)),
            Self::NoConfig | Self::StaleKeys | Self::StaleConfig | Self::Stopping => {
                Some(RETRY_OTHER_DAEMON.mul_f64(1.0 + jitter))
            }
            Self::Limited => Some(RETRY_LIMITED.mul_f64(1.0 + jitter)),
            Self::Waiting(left) => Some(left + RETRY_SPREAD.mul_f64(jitter)),
            Self::NoRoom(after) => Some(after),
            Self::NoMemory => Some(RETRY_NO_MEMORY.mul_f64(1.0 + jitter)),
            Self::CustomerShare => Some(RETRY_CUSTOMER_SHARE.mul_f64(1.0 + jitter)),
            Self::Suspect => Some(RETRY_SUSPECT.mul_f64(1.0 + jitter)),
            _ => None,
        }
    }

    /// Builds the response; `jitter` from 0 to 1 spreads the retries of many callers.
    #[must_use]
    pub fn response(self, jitter: f64) -> Response<ResponseBody> {
        let text = format!("{self}\n");
        let mut res = Response::new(ResponseBody::full(Bytes::from(text)));
        *res.status_mut() = self.status();
        if let Some(delay) = self.retry_after(jitter) {
            let seconds = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                res.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        res
    }
}
