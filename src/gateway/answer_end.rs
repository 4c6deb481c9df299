//! Records how answers of targets end.

use super::{Gateway, exchange::AnswerSource, job::Job, model::Target, whole_body::BodyError};
use crate::log::shown;

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum BodyEnd {
    /// Where its framing says, or with an orderly end of the connection.
    Orderly,
    /// Before that, by a reset or an early end of the connection.
    Broken,
    /// This daemon read no further, for lack of memory or because of its size.
    NotRead,
}

impl BodyEnd {
    /// Returns the end of a body that was read whole.
    pub fn of<B>(read: &Result<B, BodyError>) -> Self {
        match read {
            Ok(_) => Self::Orderly,
            Err(BodyError::Broken { .. }) => Self::Broken,
            Err(BodyError::TooLarge { .. } | BodyError::NoMemory) => Self::NotRead,
        }
    }
}

impl Gateway {
    /// Logs how an answer of a target ended, and by what its end is known.
    pub(super) fn record_body_end(
        &self,
        job: &Job,
        target: &Target,
        source: AnswerSource,
        end: BodyEnd,
    ) {
        let AnswerSource { framing, way } = source;
        let is_leaving = self.shared.fleet().is_leaving(target);
        metrics::counter!(
            "bluebell_gateway_body_ends",
            "framing" => <&str>::from(framing), "end" => <&str>::from(end)
        )
        .increment(1);
        log::info!(
            "event=body_end request={} target={} framing={framing} end={end} way={way} leaving={is_leaving}",
            shown(&job.info.request_id),
            shown(&target.id)
        );
    }
}
