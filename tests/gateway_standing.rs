//! Tests the notification of changes of the state shared by the control thread.

use std::time::Duration;

use bluebelldrift::gateway::{Fleet, Standing};

#[tokio::test]
async fn change_between_subscribing_and_awaiting_is_not_missed() {
    let standing = Standing::default();
    let changed = standing.changed();
    // The control thread publishes before the other thread polls the future.
    standing.publish(Fleet::default());
    let notified = tokio::time::timeout(Duration::from_secs(1), changed).await;
    assert!(notified.is_ok());
}
