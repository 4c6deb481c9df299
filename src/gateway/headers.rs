//! Header names of the callers' and targets' interface, and what they mean.

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};

use super::model::Tokens;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Names that callers and targets use, supplied by the adapter.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the sender still waits.
    pub deadline_ms: HeaderName,
    /// A customer's key.
    pub key: HeaderName,
    /// Customer's name, towards targets.
    pub customer: HeaderName,
    /// Id of the only target that may run the request.
    pub expect_target: HeaderName,
    /// Seal of a target's answer.
    pub seal: HeaderName,
    /// A target's word that it did not run the request.
    pub not_run: HeaderName,
    /// Tokens of the prompt and most tokens of the output.
    pub token_count: HeaderName,
    /// Caller's estimate of the tokens of the output.
    pub length_hint: HeaderName,
    /// Engine that a run is copied to as it grows.
    pub backup: HeaderName,
    /// Copy that a run goes on from.
    pub copy_from: HeaderName,
    /// Last event that the caller has.
    pub last_event: HeaderName,
    /// Set by the system only; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
}

/// What the head of a request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stated {
    /// Id of this attempt.
    pub request_id: Box<str>,
    /// Milliseconds that the caller waits, if it says so.
    pub deadline_ms: Option<u64>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the output.
    pub most_output: Tokens,
    /// Caller's estimate of the output.
    pub hint: Option<Tokens>,
}

impl Stated {
    /// Tokens that the output is expected to have.
    #[must_use]
    pub fn output(&self) -> Tokens {
        let hint = self.hint.unwrap_or(self.most_output);
        hint.min(self.most_output.max(1))
    }
}

impl HeaderNames {
    /// Reads what a request's head says; `None` without a usable id.
    #[must_use]
    pub fn stated(&self, headers: &HeaderMap) -> Option<Stated> {
        let text = |name| {
            headers
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let request_id = text(&self.request_id).filter(|id| !id.is_empty())?;
        let counts = text(&self.token_count).and_then(|t| t.split_once(','));
        let number = |t: &str| t.trim().parse().ok();
        let prompt = counts.and_then(|(prompt, _)| number(prompt));
        let most_output = counts.and_then(|(_, output)| number(output));
        Some(Stated {
            request_id: request_id.into(),
            deadline_ms: text(&self.deadline_ms).and_then(number),
            prompt: prompt.unwrap_or(0),
            most_output: most_output.unwrap_or(0),
            hint: text(&self.length_hint).and_then(number),
        })
    }

    /// Headers of a request as a target gets them, before the system's own.
    #[must_use]
    pub fn for_target(&self, headers: &HeaderMap) -> HeaderMap {
        let mut kept = end_to_end(headers);
        for name in &self.reserved {
            kept.remove(name);
        }
        kept.remove(&self.key);
        kept.remove(&self.deadline_ms);
        kept.remove(header::CONTENT_LENGTH);
        kept
    }
}

/// Headers without those that concern one connection only.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        let names = value.to_str().unwrap_or_default().split(',');
        for name in names.filter_map(|n| n.trim().parse::<HeaderName>().ok()) {
            kept.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        kept.remove(name);
    }
    kept
}
