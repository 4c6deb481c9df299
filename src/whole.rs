//! Whole answers: one JSON body at the end.

use serde_json::{Value, json};
use viz::{Response, StatusCode};

use crate::{
    http,
    parts::{Part, Parts},
    refusal::Refusal,
};

/// Collects an answer into one JSON body.
pub(crate) async fn collect(mut parts: Parts) -> Result<Response, Option<Refusal>> {
    let mut text = String::new();
    while let Some(buffered) = parts.recv().await {
        match buffered.part {
            Part::Token { data, .. } => text.push_str(&text_of(&data)),
            Part::Progress(_) => {}
            Part::End(generation, end) => {
                let body = json!({
                    "id": generation,
                    "object": "text_completion",
                    "choices": [{"index": 0, "text": text, "finish_reason": end.finish_reason}],
                    "usage": {"completion_tokens": end.tokens},
                });
                return Ok(http::json(StatusCode::OK, &body));
            }
            Part::Failed(refusal, _) => return Err(Some(refusal)),
        }
    }
    Err(None)
}

fn text_of(data: &[u8]) -> String {
    let data: Value = serde_json::from_slice(data).unwrap_or_default();
    let text = data["choices"][0]["text"].as_str();
    text.unwrap_or_default().to_owned()
}
