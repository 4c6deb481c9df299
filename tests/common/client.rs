//! Blocking HTTP clients for tests, with one connection for each request.

use std::{
    fmt::Write as _,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use super::{CUSTOMER_KEY, OPERATOR_KEY};

/// Maximum time without data on a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP response. If the connection failed, the status is 0.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    /// Returns the value of a header; the case of `name` does not matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

/// Sends a request and reads the whole response.
pub fn call(
    method: &str,
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Answer {
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let text = request_text(method, address, path, headers, &body);
    exchange(address, text.as_bytes()).unwrap_or_default()
}

/// Returns the text of an HTTP/1.1 request.
fn request_text(
    method: &str,
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
    text
}

/// Sends a request on a new connection and reads the whole response.
fn exchange(address: &str, request: &[u8]) -> std::io::Result<Answer> {
    let mut reader = open(address, request)?;
    let mut answer = read_head(&mut reader)?;
    let mut body = Vec::new();
    if is_chunked(&answer) {
        while let Some(chunk) = read_chunk(&mut reader)? {
            body.extend(chunk);
        }
    } else {
        reader.read_to_end(&mut body)?;
    }
    answer.body = String::from_utf8_lossy(&body).into_owned();
    Ok(answer)
}

/// Opens a connection and sends a request.
fn open(address: &str, request: &[u8]) -> std::io::Result<BufReader<TcpStream>> {
    let mut tcp = TcpStream::connect(address)?;
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(READ_TIMEOUT))?;
    tcp.write_all(request)?;
    Ok(BufReader::new(tcp))
}

/// Reads the status line and the headers.
fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Answer> {
    let mut answer = Answer::default();
    let mut line = String::new();
    reader.read_line(&mut line)?;
    answer.status = line
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(answer);
        }
        if let Some((name, value)) = line.trim().split_once(": ") {
            answer.headers.push((name.to_owned(), value.to_owned()));
        }
    }
}

fn is_chunked(answer: &Answer) -> bool {
    answer.header("transfer-encoding") == Some("chunked")
}

/// Reads the next chunk of a body. Returns `None` after the last one, and an error
/// if the connection ends before that.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let len = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
    let mut chunk = vec![0; len + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(len);
    Ok((len > 0).then_some(chunk))
}

/// Server-sent event.
#[derive(Clone, Debug)]
pub struct StreamEvent {
    /// Time at which the event was read.
    pub at: Instant,
    pub id: Option<String>,
    /// Name of the event. `None` for a token and for the last event of a stream.
    pub name: Option<String>,
    pub data: String,
}

impl StreamEvent {
    /// Returns the text of a token; empty if the event is not a token.
    pub fn text(&self) -> String {
        let data: Value = serde_json::from_str(&self.data).unwrap_or(Value::Null);
        data["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// Stream of server-sent events. It ends with the body or with the connection, and
/// leaves heartbeats out.
pub struct EventStream {
    /// Status and headers of the response.
    pub answer: Answer,
    reader: BufReader<TcpStream>,
    /// Text that is read but not yet returned as an event.
    buf: String,
}

impl Iterator for EventStream {
    type Item = StreamEvent;

    fn next(&mut self) -> Option<StreamEvent> {
        loop {
            if let Some(end) = self.buf.find("\n\n") {
                let event: String = self.buf.drain(..end + 2).collect();
                if event.starts_with(':') {
                    continue;
                }
                let field = |name: &str| {
                    let prefix = format!("{name}: ");
                    let mut lines = event.lines();
                    lines.find_map(|l| l.strip_prefix(&prefix).map(str::to_owned))
                };
                return Some(StreamEvent {
                    at: Instant::now(),
                    id: field("id"),
                    name: field("event"),
                    data: field("data").unwrap_or_default(),
                });
            }
            let chunk = read_chunk(&mut self.reader).ok()??;
            self.buf.push_str(&String::from_utf8_lossy(&chunk));
        }
    }
}

/// Result of a generation, as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct Generated {
    pub status: u16,
    /// Value of the header `x-bluebell-request`; empty if there is none.
    pub request: String,
    /// Value of the header `x-bluebell-ran`. `None` if there is none.
    pub ran: Option<String>,
    /// Texts of the tokens.
    pub token_texts: Vec<String>,
    /// Event ids of the tokens.
    pub event_ids: Vec<String>,
    /// Whether the stream ended with `[DONE]`.
    pub is_whole: bool,
    /// Error that the stream contained. `None` if there was none.
    pub error: Option<Value>,
}

/// Caller with the API key of a customer.
#[derive(Clone)]
pub struct Caller {
    address: String,
    authorization: String,
}

impl Caller {
    /// Creates a caller that calls `address` with the tests' customer key.
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            authorization: format!("Bearer {CUSTOMER_KEY}"),
        }
    }

    /// Requests a streamed completion, with `fields` merged into the body and with
    /// more headers. Returns once the head of the response is read.
    pub fn open_stream(
        &self,
        prompt: &str,
        fields: &Value,
        headers: &[(&str, &str)],
    ) -> std::io::Result<EventStream> {
        let mut body = json!({"model": "drafting-desk", "prompt": prompt, "stream": true});
        super::merge(&mut body, fields);
        let mut all = vec![("authorization", self.authorization.as_str())];
        all.extend(headers);
        let body = body.to_string();
        let text = request_text("POST", &self.address, "/v1/completions", &all, &body);
        let mut reader = open(&self.address, text.as_bytes())?;
        let answer = read_head(&mut reader)?;
        Ok(EventStream {
            answer,
            reader,
            buf: String::new(),
        })
    }

    /// Requests a streamed completion and reads the stream to its end. The status is
    /// 0 if the connection failed before the head of the response was read.
    pub fn generate(&self, prompt: &str, fields: &Value, headers: &[(&str, &str)]) -> Generated {
        match self.open_stream(prompt, fields, headers) {
            Ok(stream) => collect(stream),
            Err(_) => Generated::default(),
        }
    }

    /// Requests a completion that is not streamed.
    pub fn complete(&self, prompt: &str) -> Answer {
        let headers = [("authorization", self.authorization.as_str())];
        let body = json!({"model": "drafting-desk", "prompt": prompt});
        call("POST", &self.address, "/v1/completions", &headers, &body)
    }

    /// Calls the plain service, with an idempotency key if `key` is given.
    pub fn call_service(
        &self,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Answer {
        let path = format!("/services/post-ledger{path}");
        let mut headers = vec![("authorization", self.authorization.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        call(method, &self.address, &path, &headers, body)
    }
}

/// Reads a stream to its end.
pub fn collect(stream: EventStream) -> Generated {
    let header = |name: &str| stream.answer.header(name).map(str::to_owned);
    let mut generated = Generated {
        status: stream.answer.status,
        request: header("x-bluebell-request").unwrap_or_default(),
        ran: header("x-bluebell-ran"),
        ..Generated::default()
    };
    if generated.status != 200 {
        return generated;
    }
    for event in stream {
        if event.data == "[DONE]" {
            generated.is_whole = true;
        } else if event.name.as_deref() == Some("error") {
            generated.error = serde_json::from_str(&event.data).ok();
        } else if let Some(id) = event.id.clone() {
            generated.event_ids.push(id);
            generated.token_texts.push(event.text());
        }
    }
    generated
}

/// Operator with the tests' API key.
#[derive(Clone)]
pub struct Operator {
    address: String,
    authorization: String,
}

impl Operator {
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            authorization: format!("Bearer {OPERATOR_KEY}"),
        }
    }

    pub fn call(&self, method: &str, path: &str, body: &Value) -> Answer {
        let headers = [("authorization", self.authorization.as_str())];
        call(method, &self.address, path, &headers, body)
    }

    pub fn put_records(&self, records: &Value) -> Answer {
        self.call("PUT", "/v1/records", records)
    }

    pub fn status(&self) -> Value {
        self.call("GET", "/v1/status", &Value::Null).json()
    }
}

/// Creates a caller with the API key of another customer.
pub fn caller_with_key(address: &str, key: &str) -> Caller {
    Caller {
        address: address.to_owned(),
        authorization: format!("Bearer {key}"),
    }
}
