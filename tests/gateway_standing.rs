//! What traffic is told of the control thread's state.

use std::time::Duration;

use bluebelldrift::gateway::{Fleet, Standing};

#[tokio::test]
async fn a_change_between_asking_and_waiting_is_not_missed() {
    let standing = Standing::default();
    let changed = standing.changed();
    // The control thread publishes before the other waits.
    standing.publish(Fleet::default());
    let told = tokio::time::timeout(Duration::from_secs(1), changed).await;
    assert!(told.is_ok());
}
