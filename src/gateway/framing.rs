//! Tells how an answer's body says where it ends.

use hyper::{
    HeaderMap, Response,
    body::Body,
    header::{self, HeaderValue},
};

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// A length, or a status or method that allows no body.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which does not tell a whole body from one that broke off.
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
