//! One caller: sends a request and checks what comes back.

use std::{sync::Arc, time::Duration};

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use super::traffic::{Planned, Sort};
use crate::{
    clock::{self, BootTime},
    http::{self, HttpClient},
    refusal::RAN_HEADER,
    standin::fleet::authorize,
};

/// Largest answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Longest wait for the answer of a plain service.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// What all callers of a run share.
pub(crate) struct Callers {
    pub client: HttpClient,
    /// Daemons, used in turn.
    pub addresses: Vec<Box<str>>,
    /// Keys by customer.
    pub keys: Vec<Box<str>>,
    pub generation: Box<str>,
    pub plain: Box<str>,
    /// When the run began.
    pub began: BootTime,
    /// Tokens after this moment do not count towards throughput.
    pub until: BootTime,
    /// Tells the bookings of this run from those of others.
    pub run: Box<str>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// All of the answer arrived.
    Whole,
    /// Refused, with kind and whether it ran.
    Refused(Box<str>),
    /// The stream ended with an error that says so.
    Cut,
    /// It ended without a word, or no answer came.
    Lost,
    /// Something arrived twice, out of order, or was another's.
    Wrong,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub sort: Sort,
    pub customer: usize,
    /// When it was due, from the start of the run.
    pub at: Duration,
    pub ending: Ending,
    /// From when the request was due to its first token.
    pub first_token: Option<Duration>,
    /// Gaps between tokens.
    pub gaps: Vec<Duration>,
    /// Moments of tokens, in whole seconds from the start, with their number.
    pub tokens: Vec<(u64, u64)>,
    /// Tokens that arrived while requests still arrived.
    pub tokens_in_time: u64,
}

impl Outcome {
    pub fn new(planned: &Planned) -> Self {
        Self {
            sort: planned.sort,
            customer: planned.customer,
            at: planned.at,
            ending: Ending::Lost,
            first_token: None,
            gaps: Vec::new(),
            tokens: Vec::new(),
            tokens_in_time: 0,
        }
    }
}

impl Callers {
    fn address(&self, turn: usize) -> &str {
        &self.addresses[turn % self.addresses.len()]
    }
}

/// Sends one request and follows its answer to the end.
pub(crate) async fn call(callers: Arc<Callers>, planned: Planned) -> Outcome {
    let mut outcome = Outcome::new(&planned);
    outcome.ending = match planned.sort {
        Sort::Long | Sort::Short => generate(&callers, &planned, &mut outcome).await,
        Sort::Booking => book(&callers, &planned).await,
        Sort::Status => look_up(&callers, &planned).await,
    };
    outcome
}

async fn generate(callers: &Callers, planned: &Planned, outcome: &mut Outcome) -> Ending {
    let mut body = json!({"model": callers.generation, "prompt": planned.prompt, "stream": true});
    if let Some(most) = planned.max_tokens {
        body["max_tokens"] = most.into();
    }
    let address = callers.address(planned.number);
    let mut req = http::request(&Method::POST, address, "/v1/completions", body.to_string());
    authorize(&mut req, &callers.keys[planned.customer]);
    let Ok(res) = http::send(&callers.client, req).await else {
        return Ending::Lost;
    };
    if res.status() != StatusCode::OK {
        let ran = ran_of(res.headers());
        let body = res.into_body().collect().await;
        let body = body.map(http_body_util::Collected::to_bytes);
        return refused(&body.unwrap_or_default(), &ran);
    }
    let mut body = res.into_body();
    let mut buf = BytesMut::new();
    let mut reading = Reading::new(callers, planned);
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buf.extend_from_slice(&data);
        while let Some(end) = memchr::memmem::find(&buf, b"\n\n") {
            let event = buf.split_to(end);
            buf.advance(2);
            if let Some(ending) = reading.take(&event, outcome) {
                return ending;
            }
        }
    }
    Ending::Lost
}

/// Where a caller is in its answer.
struct Reading<'a> {
    callers: &'a Callers,
    planned: &'a Planned,
    /// Text that its next token begins with.
    mark: String,
    next: u64,
    last: Option<BootTime>,
}

impl<'a> Reading<'a> {
    fn new(callers: &'a Callers, planned: &'a Planned) -> Self {
        Self {
            callers,
            planned,
            mark: planned.mark(),
            next: 0,
            last: None,
        }
    }

    /// Takes one event; returns the ending if it is the last.
    fn take(&mut self, event: &[u8], outcome: &mut Outcome) -> Option<Ending> {
        let has = |text: &[u8]| memchr::memmem::find(event, text).is_some();
        if has(b"data: [DONE]") {
            let is_whole = self.next == self.planned.length;
            return Some(if is_whole {
                Ending::Whole
            } else {
                Ending::Wrong
            });
        }
        if event.starts_with(b"event: error") {
            return Some(Ending::Cut);
        }
        if event.starts_with(b":") || has(b"\"text\":\"\"") {
            return None;
        }
        let expected = format!("\"text\":\"{}{} \"", self.mark, self.next);
        if !has(expected.as_bytes()) {
            return Some(Ending::Wrong);
        }
        self.next += 1;
        self.note(outcome);
        None
    }

    fn note(&mut self, outcome: &mut Outcome) {
        let now = clock::now();
        if let Some(last) = self.last.replace(now) {
            outcome.gaps.push(now.saturating_sub(last));
        } else {
            let due = self.callers.began + self.planned.at;
            outcome.first_token = Some(now.saturating_sub(due));
        }
        let second = now.saturating_sub(self.callers.began).as_secs();
        match outcome.tokens.last_mut() {
            Some((at, count)) if *at == second => *count += 1,
            _ => outcome.tokens.push((second, 1)),
        }
        outcome.tokens_in_time += u64::from(now < self.callers.until);
    }
}

async fn book(callers: &Callers, planned: &Planned) -> Ending {
    let path = format!("/services/{}/bookings", callers.plain);
    let body = json!({"truck": planned.number}).to_string();
    let key = format!("{}-{}", callers.run, planned.number);
    for turn in 0..=usize::from(planned.is_repeated) {
        let address = callers.address(planned.number + turn);
        let mut req = http::request(&Method::POST, address, &path, body.clone());
        if let Ok(key) = key.parse() {
            req.headers_mut().insert("idempotency-key", key);
        }
        match plain(callers, planned, req).await {
            Ok(answer) if answer["executed"] == json!(1) => {}
            Ok(_) => return Ending::Wrong,
            Err(ending) => return ending,
        }
    }
    Ending::Whole
}

async fn look_up(callers: &Callers, planned: &Planned) -> Ending {
    let path = format!("/services/{}/status", callers.plain);
    let address = callers.address(planned.number);
    let req = http::request(&Method::GET, address, &path, bytes::Bytes::new());
    match plain(callers, planned, req).await {
        Ok(_) => Ending::Whole,
        Err(ending) => ending,
    }
}

async fn plain(
    callers: &Callers,
    planned: &Planned,
    mut req: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Result<Value, Ending> {
    authorize(&mut req, &callers.keys[planned.customer]);
    let sent = http::call(&callers.client, req, PLAIN_TIMEOUT, MAX_ANSWER_BYTES).await;
    let res = sent.map_err(|_| Ending::Lost)?;
    if !res.status().is_success() {
        return Err(refused(res.body(), &ran_of(res.headers())));
    }
    Ok(serde_json::from_slice(res.body()).unwrap_or(Value::Null))
}

fn ran_of(headers: &hyper::HeaderMap) -> Box<str> {
    let ran = headers.get(RAN_HEADER).and_then(|v| v.to_str().ok());
    ran.unwrap_or("unsaid").into()
}

fn refused(body: &[u8], ran: &str) -> Ending {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let kind = body["error"]["type"].as_str().unwrap_or("other");
    Ending::Refused(format!("{kind}/{ran}").into())
}
