//! Requests of the HTTP client that all calls share.

use bluebelldrift::{CallError, json_request};
use hyper::Method;

/// A request whose path is not valid went to `/`, without an authority.
#[test]
fn a_request_that_cannot_be_built_is_replaced_by_another() {
    let long = format!("/{}", "a".repeat(70_000));
    let paths = [
        "",
        "no-slash",
        "/a b",
        "/a?b=\"c",
        "/a<b",
        "/a\nb",
        "/a\0b",
        "/a\u{7f}b",
        "/a#b",
        "/a?b=c d",
        "/a?b=c#d",
        &long,
    ];
    for path in paths {
        let built = json_request(&Method::GET, "127.0.0.1:1", path, "");
        let error = built.expect_err(path);
        assert!(
            matches!(error, CallError::Build { .. }),
            "{path:?}: {error:?}"
        );
        assert!(error.is_unsent(), "{path:?}");
    }
    for authority in ["", "a b", "host:port:x", "\n"] {
        let built = json_request(&Method::GET, authority, "/", "");
        assert!(built.is_err(), "{authority:?}: {built:?}");
    }
}

#[test]
fn a_request_has_the_path_that_it_was_built_with() {
    for path in [
        "/",
        "/a/../b/./c",
        "/a/b",
        "/a%20b?c=%26%2B&d=e",
        "/a?b=c+d",
        "/*",
        "//a",
    ] {
        let req = json_request(&Method::PUT, "127.0.0.1:1", path, "{}").expect(path);
        assert_eq!(req.method(), Method::PUT);
        assert_eq!(req.uri().to_string(), format!("http://127.0.0.1:1{path}"));
        assert_eq!(req.headers()["content-type"], "application/json");
    }
}
