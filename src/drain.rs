//! The planned stop, as far as answers to callers show it.

use std::sync::atomic::Ordering;

use hyper::header::{CONNECTION, HeaderValue};
use viz::Response;

use crate::entry::Entry;

/// Asks the caller of a stopping daemon to open its next connection elsewhere,
/// so that no request meets a connection that is being closed.
pub(crate) fn mark(entry: &Entry, mut res: Response) -> Response {
    if entry.is_draining.load(Ordering::Acquire) {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}
