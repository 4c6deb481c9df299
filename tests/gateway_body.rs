//! Bodies of streamed responses.

use bluebelldrift::gateway::{AnswerBody, BrokenStream, Piece};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Returns the body that a caller receives if the sending task ends after
/// `pieces`.
async fn collect_body(pieces: Vec<Result<Piece, BrokenStream>>) -> Result<Bytes, BrokenStream> {
    let (tx, rx) = mpsc::channel(8);
    for piece in pieces {
        tx.send(piece).await.expect("a free place in the channel");
    }
    drop(tx);
    let body = AnswerBody::streamed(rx).collect().await;
    body.map(http_body_util::Collected::to_bytes)
}

#[tokio::test]
async fn a_stream_whose_sending_task_ends_early_does_not_look_complete() {
    let piece = || Ok(Piece::Data(Bytes::from_static(b"id: 1\n\n")));
    assert!(collect_body(vec![piece()]).await.is_err());
    let complete = collect_body(vec![piece(), Ok(Piece::End)]).await;
    assert_eq!(complete.expect("a complete body"), "id: 1\n\n");
}
