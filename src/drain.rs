//! Response header with which a draining daemon closes the connections of its
//! callers.

use std::sync::atomic::Ordering;

use hyper::header::{CONNECTION, HeaderValue};
use viz::Response;

use crate::entry::ServerState;

/// Adds `Connection: close` to the responses of a draining daemon, so that the
/// caller opens its next connection to another daemon and sends no request on a
/// connection that is being closed.
pub(crate) fn close_when_draining(state: &ServerState, mut res: Response) -> Response {
    if state.is_draining.load(Ordering::Acquire) {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    res
}
