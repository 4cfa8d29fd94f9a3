//! Bodies of streamed answers.

use http_body_util::BodyExt;
use stallmoor_gateway::http::answer_body::AnswerBody;

/// Guards against an answer that ends as whole because the task that sends it ended, for example by a panic.
#[tokio::test]
async fn streamed_body_is_broken_off_unless_its_end_is_stated() {
    let (sender, mut body) = AnswerBody::channel();
    sender.send("event".into()).await.expect("the body is read");
    drop(sender);
    let chunk = body.frame().await.expect("a chunk was sent").expect("a chunk was sent");
    assert_eq!(chunk.into_data().ok().as_deref(), Some(&b"event"[..]));
    assert!(matches!(body.frame().await, Some(Err(_))), "the body ends as whole");
}

/// Guards against a complete answer that is broken off.
#[tokio::test]
async fn streamed_body_ends_once_its_end_is_stated() {
    let (sender, body) = AnswerBody::channel();
    sender.send("event".into()).await.expect("the body is read");
    sender.complete();
    assert_eq!(body.collect().await.expect("the body is whole").to_bytes(), "event");
}
