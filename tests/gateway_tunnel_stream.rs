//! Tests of connections through another daemon, on which the end of the target's bytes is explicit.

use std::io::ErrorKind;

use bluebelldrift::gateway::{MAX_PIECE_BYTES, TunnelStream, piece_head};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    runtime::Runtime,
};

/// Room of the connections between daemons, smaller than a piece.
const ROOM_BYTES: usize = 100;

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build a runtime")
}

/// Returns pieces as they are sent.
fn encode(pieces: &[&[u8]]) -> Vec<u8> {
    let mut encoded = Vec::new();
    for piece in pieces {
        encoded.extend_from_slice(&piece_head(piece.len()));
        encoded.extend_from_slice(piece);
    }
    encoded
}

/// Returns the other end of a connection on which `sent` arrives, and then its end.
fn connection_with(sent: Vec<u8>) -> DuplexStream {
    let (ours, mut theirs) = duplex(ROOM_BYTES);
    tokio::spawn(async move {
        // Fails if the reader has left.
        let _ = theirs.write_all(&sent).await;
    });
    ours
}

/// Reads to the end, and returns what was read and the error, if there was one.
fn read_pieces(sent: Vec<u8>) -> (Vec<u8>, Option<ErrorKind>) {
    runtime().block_on(async {
        let mut tunnel = TunnelStream::in_pieces(connection_with(sent));
        let mut read = Vec::new();
        let end = tunnel.read_to_end(&mut read).await;
        (read, end.err().map(|e| e.kind()))
    })
}

#[test]
fn bytes_with_an_explicit_end_are_read_to_it() {
    let large = vec![7; MAX_PIECE_BYTES];
    let sent = encode(&[b"answer", &large, b"x", b""]);
    let (read, error) = read_pieces(sent);
    assert_eq!(error, None);
    assert_eq!(read, [b"answer", &*large, b"x"].concat());
}

#[test]
fn nothing_behind_the_end_is_read() {
    let mut sent = encode(&[b"answer", b""]);
    sent.extend(encode(&[b"more"]));
    assert_eq!(read_pieces(sent), (b"answer".to_vec(), None));
}

#[test]
fn a_piece_that_is_too_large_is_an_error() {
    let len = u16::try_from(MAX_PIECE_BYTES + 1).expect("convert a length");
    let mut sent = len.to_be_bytes().to_vec();
    sent.resize(sent.len() + MAX_PIECE_BYTES + 1, 0);
    let (read, error) = read_pieces(sent);
    assert_eq!((read.len(), error), (0, Some(ErrorKind::InvalidData)));
}

proptest! {
    /// Bytes that are cut off anywhere are never taken for whole ones, and none is lost or added.
    #[test]
    fn pieces_that_are_cut_off_fail(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..300), 0..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut sent: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
        sent.push(b"");
        let encoded = encode(&sent);
        let whole = pieces.concat();
        prop_assert_eq!(read_pieces(encoded.clone()), (whole.clone(), None));
        let (read, error) = read_pieces(encoded[..cut.index(encoded.len())].to_vec());
        prop_assert!(error.is_some());
        prop_assert!(whole.starts_with(&read));
    }
}

/// Reads an answer by HTTP; fails if its body or its head does.
async fn read_answer(tunnel: TunnelStream<DuplexStream>) -> Result<Bytes, hyper::Error> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(tunnel)).await?;
    tokio::spawn(connection);
    let request = Request::get("/").body(Empty::<Bytes>::new());
    let response: Response<Incoming> = sender
        .send_request(request.expect("build a request"))
        .await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

/// Returns a connection to a daemon that sends an answer as older ones do, and then closes it. It
/// reads the request, which hyper sends first.
fn old_daemon(answer: &'static str) -> DuplexStream {
    let (ours, mut theirs) = duplex(ROOM_BYTES);
    tokio::spawn(async move {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(theirs.read_u8().await.expect("read the request"));
        }
        theirs
            .write_all(answer.as_bytes())
            .await
            .expect("send the answer");
    });
    ours
}

fn read_from_old_daemon(answer: &'static str) -> Result<Bytes, hyper::Error> {
    runtime().block_on(async { read_answer(TunnelStream::without_end(old_daemon(answer))).await })
}

/// Daemons of an earlier version send no explicit end.
#[test]
fn answers_without_a_length_from_an_old_daemon_are_broken() {
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    for answer in [
        head,
        "HTTP/1.1 200 OK\r\n\r\nhalf",
        "HTTP/1.0 200 OK\r\n\r\nhalf",
    ] {
        assert!(read_from_old_daemon(answer).is_err(), "{answer:?}");
    }
}

#[test]
fn answers_with_a_length_or_chunks_from_an_old_daemon_are_whole() {
    for fields in ["", "connection: close\r\n"] {
        for framed in [
            "content-length: 5\r\n\r\nwhole",
            "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        ] {
            let answer = format!("HTTP/1.1 200 OK\r\n{fields}{framed}");
            let read = read_from_old_daemon(answer.leak());
            assert_eq!(read.expect("read the answer"), "whole");
        }
    }
}

#[test]
fn answers_from_an_old_daemon_that_are_cut_off_are_broken() {
    for framed in [
        "content-length: 5\r\n\r\nhalf",
        "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{framed}");
        assert!(read_from_old_daemon(answer.leak()).is_err(), "{framed:?}");
    }
}
