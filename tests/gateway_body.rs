//! Tests that a caller can tell a streamed response that ended early from a complete
//! one.

use bluebelldrift::gateway::{Chunk, ResponseBody, StreamError};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Returns the body that a caller receives if the sending task ends after
/// `chunks`.
async fn collect_body(chunks: Vec<Result<Chunk, StreamError>>) -> Result<Bytes, StreamError> {
    let (tx, rx) = mpsc::channel(8);
    for chunk in chunks {
        tx.send(chunk)
            .await
            .expect("the channel has room for the chunk");
    }
    drop(tx);
    let body = ResponseBody::streamed(rx).collect().await;
    body.map(http_body_util::Collected::to_bytes)
}

#[tokio::test]
async fn a_stream_whose_sending_task_ends_early_does_not_look_complete() {
    let chunk = || Ok(Chunk::Data(Bytes::from_static(b"id: 1\n\n")));
    assert!(collect_body(vec![chunk()]).await.is_err());
    let complete = collect_body(vec![chunk(), Ok(Chunk::End)]).await;
    assert_eq!(complete.expect("a complete body"), "id: 1\n\n");
}
