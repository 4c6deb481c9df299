//! Names of the headers that are exchanged with callers and targets, and the
//! values read from a request's headers.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{self, HeaderName, HeaderValue},
};

use super::{
    events::EventId,
    model::Tokens,
    peer_wire::{SubjectKey, target_key},
    resumption::{InvalidEventId, parse_event_id},
    target_speed::StatedLoad,
};

/// Maximum number of parts of a prompt that are read.
const MAX_PARTS: usize = 64;

/// Hop-by-hop headers, which are valid for one connection and not forwarded.
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

/// Header names that callers and targets use, supplied by the adapter.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller's request.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will still wait for the response.
    pub deadline_ms: HeaderName,
    /// API key of a customer.
    pub key: HeaderName,
    /// Name of the customer, on requests to targets.
    pub customer: HeaderName,
    /// Id of the only target that may run the request.
    pub expect_target: HeaderName,
    /// Set by a target on its own responses; a response without this header is not
    /// trusted. Only its presence is checked.
    pub seal: HeaderName,
    /// Set by a target that did not run the request.
    pub not_run: HeaderName,
    /// Set by a target that takes no more than this number of requests per second from all
    /// daemons together, for as long as its answers say so.
    pub limit: HeaderName,
    /// Number of requests that run at a target, of those that wait and of its slots, and how long
    /// work takes there now, where 100 is usual, separated by commas; the last one may be missing.
    pub load: HeaderName,
    /// Set to 1 by a target that leaves and is to get no new work.
    pub leaving: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens, separated by
    /// a comma.
    pub token_count: HeaderName,
    /// Caller's estimate of the number of output tokens.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, as `ID:TOKENS`, separated by commas.
    pub prompt_parts: HeaderName,
    /// Address of the engine that keeps a copy of the run, updated as it grows.
    pub backup: HeaderName,
    /// Name of the copy from which a run is resumed.
    pub copy_from: HeaderName,
    /// Id of the last event that the caller has received; read from callers of resumable
    /// streams only.
    pub last_event: HeaderName,
    /// Priority of a request to an engine; 0 is the most urgent one.
    pub priority: HeaderName,
    /// Headers that only the gateway may set; a caller's values are dropped.
    pub reserved: Vec<HeaderName>,
}

/// Values read from the headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of this attempt of the request.
    pub request_id: Box<str>,
    /// Milliseconds that the caller waits for the response; `None` if not given.
    pub deadline_ms: Option<u64>,
    /// Number of prompt tokens; 0 if not given.
    pub prompt_tokens: Tokens,
    /// Maximum number of output tokens; 0 if not given.
    pub max_output_tokens: Tokens,
    /// Caller's estimate of the number of output tokens; `None` if not given.
    pub output_estimate: Option<Tokens>,
    /// Parts of the prompt that other requests may share: all but the last one. None if
    /// the header is missing.
    pub parts: Box<[SubjectKey]>,
}

/// Returns the value of a header that holds exactly `text`; `None` if there is none. Recipients
/// drop blanks around a value.
#[must_use]
pub fn header_value(text: &str) -> Option<HeaderValue> {
    let is_exact =
        !text.is_empty() && !text.starts_with([' ', '\t']) && !text.ends_with([' ', '\t']);
    let value = is_exact.then(|| HeaderValue::from_bytes(text.as_bytes()));
    value?.ok()
}

impl RequestInfo {
    /// Returns the expected number of output tokens: the caller's estimate, but at
    /// most the maximum (at most 1 if no maximum is given). Without an estimate,
    /// returns the maximum.
    #[must_use]
    pub fn expected_output_tokens(&self) -> Tokens {
        let estimate = self.output_estimate.unwrap_or(self.max_output_tokens);
        estimate.min(self.max_output_tokens.max(1))
    }
}

impl HeaderNames {
    /// Returns the request id; `None` if it is missing, empty or not ASCII text.
    #[must_use]
    pub fn request_id_of<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let id = headers.get(&self.request_id)?.to_str().ok()?;
        (!id.is_empty()).then_some(id)
    }

    /// Parses the headers of a request; `None` if the request id is missing,
    /// empty or not ASCII text.
    #[must_use]
    pub fn request_info(&self, headers: &HeaderMap) -> Option<RequestInfo> {
        let text = |name| {
            headers
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let request_id = self.request_id_of(headers)?;
        let token_counts = text(&self.token_count).and_then(|t| t.split_once(','));
        let number = |t: &str| t.trim().parse().ok();
        let prompt = token_counts.and_then(|(prompt, _)| number(prompt));
        let max_output = token_counts.and_then(|(_, output)| number(output));
        Some(RequestInfo {
            request_id: request_id.into(),
            deadline_ms: text(&self.deadline_ms).and_then(number),
            prompt_tokens: prompt.unwrap_or(0),
            max_output_tokens: max_output.unwrap_or(0),
            output_estimate: text(&self.length_hint).and_then(number),
            parts: text(&self.prompt_parts).map_or_else(Box::default, shared_parts),
        })
    }

    /// Returns the last event that a caller states to have; `None` if it states none.
    ///
    /// # Errors
    /// Fails if the caller's value is not one number.
    pub fn last_event_id(&self, headers: &HeaderMap) -> Result<Option<EventId>, InvalidEventId> {
        let values = headers.get_all(&self.last_event);
        parse_event_id(values.iter().map(HeaderValue::as_bytes))
    }

    /// Returns whether an answer carries the id of another request than `id`.
    #[must_use]
    pub fn is_of_other_request(&self, headers: &HeaderMap, id: &str) -> bool {
        let echoed = headers.get(&self.request_id);
        echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes())
    }

    /// Returns whether a target states in an answer that it leaves.
    #[must_use]
    pub fn states_leaving(&self, headers: &HeaderMap) -> bool {
        let values = headers.get_all(&self.leaving);
        values
            .iter()
            .any(|value| value.as_bytes().trim_ascii() == b"1")
    }

    /// Returns for how long a target that declines a request wants no further ones.
    ///
    /// # Errors
    /// Returns the first value if no value is a number of seconds.
    pub fn stated_wait<'a>(
        &self,
        headers: &'a HeaderMap,
    ) -> Result<Option<Duration>, &'a HeaderValue> {
        let seconds = numbers(headers, &header::RETRY_AFTER)?;
        let longest = seconds.into_iter().max_by(f64::total_cmp);
        Ok(longest.map(|s| Duration::try_from_secs_f64(s).unwrap_or(Duration::MAX)))
    }

    /// Returns the limit that a target states in an answer, in requests per second: the
    /// lowest one if there are several.
    ///
    /// # Errors
    /// Returns the first value if no value is a rate.
    pub fn stated_limit<'a>(&self, headers: &'a HeaderMap) -> Result<Option<f64>, &'a HeaderValue> {
        let rates = numbers(headers, &self.limit)?;
        Ok(rates.into_iter().min_by(f64::total_cmp))
    }

    /// Returns the load that a target states in an answer: the first readable one if there are
    /// several.
    ///
    /// # Errors
    /// Returns the first value if none is readable.
    pub fn stated_load<'a>(
        &self,
        headers: &'a HeaderMap,
    ) -> Result<Option<StatedLoad>, &'a HeaderValue> {
        let values = headers.get_all(&self.load);
        let Some(first) = values.iter().next() else {
            return Ok(None);
        };
        let mut loads = values
            .iter()
            .filter_map(|value| StatedLoad::parse(value.to_str().ok()?));
        loads.next().map(Some).ok_or(first)
    }

    /// Returns the headers of a request that are forwarded to a target, without
    /// those that the gateway adds to each send.
    #[must_use]
    pub fn for_target(&self, headers: HeaderMap) -> HeaderMap {
        let mut forwarded = end_to_end(headers);
        for name in &self.reserved {
            forwarded.remove(name);
        }
        forwarded.remove(&self.key);
        forwarded.remove(&self.deadline_ms);
        forwarded.remove(header::CONTENT_LENGTH);
        forwarded
    }
}

/// Returns the values of a header that are numbers and not negative. Fails with the first
/// value if none is.
fn numbers<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Vec<f64>, &'a HeaderValue> {
    let values = headers.get_all(name);
    let Some(first) = values.iter().next() else {
        return Ok(Vec::new());
    };
    let numbers = values.iter().filter_map(|value| {
        let number: f64 = value.to_str().ok()?.trim().parse().ok()?;
        (number.is_finite() && number >= 0.0).then_some(number)
    });
    let numbers: Vec<_> = numbers.collect();
    if numbers.is_empty() {
        return Err(first);
    }
    Ok(numbers)
}

/// Parses the parts of a prompt and returns the keys of all but the last one. Entries
/// that lack an id are skipped, so that one malformed entry does not hide the others.
fn shared_parts(text: &str) -> Box<[SubjectKey]> {
    let ids = text
        .split(',')
        .filter_map(|entry| entry.trim().split(':').next());
    let mut keys: Vec<SubjectKey> = ids.filter(|id| !id.is_empty()).map(target_key).collect();
    keys.pop();
    keys.truncate(MAX_PARTS);
    keys.into()
}

/// Returns the headers without hop-by-hop ones, including those that the
/// `connection` header names.
#[must_use]
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let connection = headers.get_all(header::CONNECTION).iter();
    let options = connection.flat_map(|value| value.to_str().unwrap_or_default().split(','));
    let names: Vec<HeaderName> = options.filter_map(|o| o.trim().parse().ok()).collect();
    for name in names.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers
}
