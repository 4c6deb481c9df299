//! Bodies of answers that go out as they come.

use bluebelldrift::gateway::{AnswerBody, BrokenStream, Piece};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// What a caller gets of pieces after which their task ends.
async fn collected(pieces: Vec<Result<Piece, BrokenStream>>) -> Result<Bytes, BrokenStream> {
    let (tx, rx) = mpsc::channel(8);
    for piece in pieces {
        tx.send(piece).await.expect("room");
    }
    drop(tx);
    let body = AnswerBody::streamed(rx).collect().await;
    body.map(http_body_util::Collected::to_bytes)
}

#[tokio::test]
async fn a_stream_whose_task_ends_early_does_not_look_complete() {
    let piece = || Ok(Piece::Data(Bytes::from_static(b"id: 1\n\n")));
    assert!(collected(vec![piece()]).await.is_err());
    let whole = collected(vec![piece(), Ok(Piece::End)]).await;
    assert_eq!(whole.expect("a whole answer"), "id: 1\n\n");
}
