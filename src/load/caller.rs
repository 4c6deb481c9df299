//! Client side of a load run: sends one planned request, checks its response and
//! records when its tokens arrived.

use std::{sync::Arc, time::Duration};

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use super::traffic::{PlannedRequest, RequestKind};
use crate::{
    clock::{self, BootTime},
    http::{self, HttpClient},
    refusal::RAN_HEADER,
    standin::fleet::authorize,
};

/// Maximum size of a response body that is not streamed.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Timeout of a request to the plain service.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Client, addresses and times shared by all requests of a run.
pub(crate) struct RunContext {
    pub client: HttpClient,
    /// Addresses of the daemons, used round-robin.
    pub addresses: Vec<Box<str>>,
    /// API keys, indexed by customer.
    pub keys: Vec<Box<str>>,
    /// Name of the service that generates.
    pub generation_service: Box<str>,
    /// Name of the plain service.
    pub plain_service: Box<str>,
    /// Start of the run; due times are relative to it.
    pub started_at: BootTime,
    /// End of the arrivals; later tokens do not count towards throughput.
    pub arrivals_end: BootTime,
    /// Prefix of the idempotency keys, so that the bookings of one run do not
    /// match those of another.
    pub run_id: Box<str>,
}

/// Result of a request. The variants match the counters in [`super::Endings`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// The complete response arrived.
    Whole,
    /// The request was refused; holds the error type and the value of the
    /// `x-bluebell-ran` header, as `TYPE/RAN`.
    Refused(Box<str>),
    /// The stream ended with an error event.
    Cut,
    /// The stream ended without a final event, or no response arrived.
    Lost,
    /// A token was duplicated, missing, out of order or from another request, or
    /// a booking was not executed exactly once.
    Wrong,
}

/// Ending and token times of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the customer that sent it.
    pub customer: usize,
    /// Time from the start of the run at which the request was due.
    pub due_at: Duration,
    /// How the request ended.
    pub ending: Ending,
    /// Time from when the request was due until its first token; `None` if none
    /// arrived.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Pairs of a second since the start of the run and the number of tokens
    /// received in it.
    pub tokens: Vec<(u64, u64)>,
    /// Number of tokens received before the arrivals ended.
    pub tokens_in_time: u64,
}

impl Outcome {
    pub fn new(planned: &PlannedRequest) -> Self {
        Self {
            kind: planned.kind,
            customer: planned.customer,
            due_at: planned.due_at,
            ending: Ending::Lost,
            first_token: None,
            gaps: Vec::new(),
            tokens: Vec::new(),
            tokens_in_time: 0,
        }
    }
}

impl RunContext {
    fn address(&self, index: usize) -> &str {
        &self.addresses[index % self.addresses.len()]
    }
}

/// Sends one request and reads its response to the end.
pub(crate) async fn call(context: Arc<RunContext>, planned: PlannedRequest) -> Outcome {
    let mut outcome = Outcome::new(&planned);
    outcome.ending = match planned.kind {
        RequestKind::Long | RequestKind::Short => {
            stream_generation(&context, &planned, &mut outcome).await
        }
        RequestKind::Booking => send_booking(&context, &planned).await,
        RequestKind::Status => send_status_lookup(&context, &planned).await,
    };
    outcome
}

async fn stream_generation(
    context: &RunContext,
    planned: &PlannedRequest,
    outcome: &mut Outcome,
) -> Ending {
    let mut body =
        json!({"model": context.generation_service, "prompt": planned.prompt, "stream": true});
    if let Some(max_tokens) = planned.max_tokens {
        body["max_tokens"] = max_tokens.into();
    }
    let address = context.address(planned.number);
    let Ok(mut req) =
        http::json_request(&Method::POST, address, "/v1/completions", body.to_string())
    else {
        return Ending::Lost;
    };
    authorize(&mut req, &context.keys[planned.customer]);
    let Ok(res) = http::send(&context.client, req).await else {
        return Ending::Lost;
    };
    if res.status() != StatusCode::OK {
        let ran = ran_header(res.headers());
        let body = res.into_body().collect().await;
        let body = body.map(http_body_util::Collected::to_bytes);
        return refusal(&body.unwrap_or_default(), &ran);
    }
    let mut body = res.into_body();
    let mut buf = BytesMut::new();
    let mut checker = TokenChecker::new(context, planned);
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buf.extend_from_slice(&data);
        while let Some(end) = memchr::memmem::find(&buf, b"\n\n") {
            let event = buf.split_to(end);
            buf.advance(2);
            if let Some(ending) = checker.check_event(&event, outcome) {
                return ending;
            }
        }
    }
    Ending::Lost
}

/// Checker of the tokens of one stream: each must carry the prefix of its request
/// and the next index.
struct TokenChecker<'a> {
    context: &'a RunContext,
    planned: &'a PlannedRequest,
    /// Prefix of every token of the request.
    token_prefix: String,
    /// Index of the token expected next.
    next_token: u64,
    /// Time of the latest token.
    last_token_at: Option<BootTime>,
}

impl<'a> TokenChecker<'a> {
    fn new(context: &'a RunContext, planned: &'a PlannedRequest) -> Self {
        Self {
            context,
            planned,
            token_prefix: planned.token_prefix(),
            next_token: 0,
            last_token_at: None,
        }
    }

    /// Checks one event and returns the ending of the request if the event decides it.
    fn check_event(&mut self, event: &[u8], outcome: &mut Outcome) -> Option<Ending> {
        let has = |text: &[u8]| memchr::memmem::find(event, text).is_some();
        if has(b"data: [DONE]") {
            let is_complete = self.next_token == self.planned.length;
            return Some(if is_complete {
                Ending::Whole
            } else {
                Ending::Wrong
            });
        }
        if event.starts_with(b"event: error") {
            return Some(Ending::Cut);
        }
        // Progress comments and events without text carry no token.
        if event.starts_with(b":") || has(b"\"text\":\"\"") {
            return None;
        }
        let expected = format!("\"text\":\"{}{} \"", self.token_prefix, self.next_token);
        if !has(expected.as_bytes()) {
            return Some(Ending::Wrong);
        }
        self.next_token += 1;
        self.record_token(outcome);
        None
    }

    fn record_token(&mut self, outcome: &mut Outcome) {
        let now = clock::now();
        if let Some(last) = self.last_token_at.replace(now) {
            outcome.gaps.push(now.saturating_sub(last));
        } else {
            let due = self.context.started_at + self.planned.due_at;
            outcome.first_token = Some(now.saturating_sub(due));
        }
        let second = now.saturating_sub(self.context.started_at).as_secs();
        match outcome.tokens.last_mut() {
            Some((at, count)) if *at == second => *count += 1,
            _ => outcome.tokens.push((second, 1)),
        }
        outcome.tokens_in_time += u64::from(now < self.context.arrivals_end);
    }
}

async fn send_booking(context: &RunContext, planned: &PlannedRequest) -> Ending {
    let path = format!("/services/{}/bookings", context.plain_service);
    let body = json!({"truck": planned.number}).to_string();
    let key = format!("{}-{}", context.run_id, planned.number);
    for attempt in 0..=usize::from(planned.is_repeated) {
        let address = context.address(planned.number + attempt);
        let Ok(mut req) = http::json_request(&Method::POST, address, &path, body.clone()) else {
            return Ending::Lost;
        };
        if let Ok(key) = key.parse() {
            req.headers_mut().insert("idempotency-key", key);
        }
        match call_plain_service(context, planned, req).await {
            Ok(answer) if answer["executed"] == json!(1) => {}
            Ok(_) => return Ending::Wrong,
            Err(ending) => return ending,
        }
    }
    Ending::Whole
}

async fn send_status_lookup(context: &RunContext, planned: &PlannedRequest) -> Ending {
    let path = format!("/services/{}/status", context.plain_service);
    let address = context.address(planned.number);
    let Ok(req) = http::json_request(&Method::GET, address, &path, bytes::Bytes::new()) else {
        return Ending::Lost;
    };
    match call_plain_service(context, planned, req).await {
        Ok(_) => Ending::Whole,
        Err(ending) => ending,
    }
}

async fn call_plain_service(
    context: &RunContext,
    planned: &PlannedRequest,
    mut req: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Result<Value, Ending> {
    authorize(&mut req, &context.keys[planned.customer]);
    let sent = http::send_request(&context.client, req, PLAIN_TIMEOUT, MAX_BODY_BYTES).await;
    let res = sent.map_err(|_| Ending::Lost)?;
    if !res.status().is_success() {
        return Err(refusal(res.body(), &ran_header(res.headers())));
    }
    Ok(serde_json::from_slice(res.body()).unwrap_or(Value::Null))
}

/// Returns the value of the `x-bluebell-ran` header, or `unsaid` if it is missing.
fn ran_header(headers: &hyper::HeaderMap) -> Box<str> {
    let ran = headers.get(RAN_HEADER).and_then(|v| v.to_str().ok());
    ran.unwrap_or("unsaid").into()
}

fn refusal(body: &[u8], ran: &str) -> Ending {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let kind = body["error"]["type"].as_str().unwrap_or("other");
    Ending::Refused(format!("{kind}/{ran}").into())
}
