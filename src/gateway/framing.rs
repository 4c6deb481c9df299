//! Framing of the bodies of answers: what marks their end.

use hyper::{
    HeaderMap, Response,
    body::Body,
    header::{self, HeaderName, HeaderValue},
};
use memchr::memmem;

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// A length, or a status or method that allows no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which is the same for a whole body and for a part of it.
    Close,
}

impl Framing {
    /// Returns what marks the end of a response's body, which has not been read yet.
    pub fn of(res: &Response<impl Body>) -> Self {
        if res.body().size_hint().exact().is_some() {
            Self::Length
        } else if is_chunked(res.headers()) {
            Self::Chunks
        } else {
            Self::Close
        }
    }
}

/// Returns whether bytes of a body hold the head of another answer of a target, by its status line
/// and its `seal`. A target that writes two answers to one request, the first without a length or
/// chunks, marks the end of the first one in no other way.
pub(super) fn holds_answer_head(body: &[u8], seal: &HeaderName) -> bool {
    let mut is_in_head = false;
    for line in body.split(|b| *b == b'\n') {
        let line = line.trim_ascii_end();
        if ends_with_status_line(line) {
            is_in_head = true;
        } else if line.is_empty() {
            is_in_head = false;
        } else if is_in_head {
            let name = line.split(|b| *b == b':').next().unwrap_or_default();
            if name.eq_ignore_ascii_case(seal.as_str().as_bytes()) {
                return true;
            }
        }
    }
    false
}

/// Returns whether a line is a status line, with or without the end of a body before it.
fn ends_with_status_line(line: &[u8]) -> bool {
    let Some(at) = memmem::rfind(line, b"HTTP/1.") else {
        return false;
    };
    // The minor version, a space and the status.
    match &line[at + b"HTTP/1.".len()..] {
        [version, b' ', status @ ..] if version.is_ascii_digit() => {
            status.len() >= 3 && status[..3].iter().all(u8::is_ascii_digit)
        }
        _ => false,
    }
}

/// Returns whether a body has a transfer coding that is not undone when it is read, such as
/// `gzip`. Its caller does not get the coding's name.
pub(super) fn is_transfer_encoded(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|b| *b == b','));
    codings.any(|coding| {
        let coding = coding.trim_ascii();
        let known = [&b""[..], b"chunked", b"identity"];
        !known.iter().any(|known| coding.eq_ignore_ascii_case(known))
    })
}

/// Returns whether the last transfer coding is `chunked`; others do not mark an end.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    let last = codings.next_back().map(HeaderValue::as_bytes);
    let last = last.and_then(|value| value.rsplit(|b| *b == b',').next());
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
