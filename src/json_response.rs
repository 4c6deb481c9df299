//! Responses that are not streamed: one JSON body once the answer is whole.

use serde_json::{Value, json};
use viz::{Response, StatusCode};

use crate::{
    http,
    parts::{Part, PartReceiver},
    refusal::Refusal,
};

/// Collects the parts of an answer into one JSON response.
///
/// # Errors
/// Returns the refusal of an answer that failed, or `None` if the parts end without a
/// result.
pub(crate) async fn collect(mut parts: PartReceiver) -> Result<Response, Option<Refusal>> {
    let mut text = String::new();
    while let Some(buffered) = parts.recv().await {
        match buffered.part {
            Part::Token { data, .. } => text.push_str(&token_text(&data)),
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

/// Returns the text in a token's event, or an empty string if it has none.
fn token_text(data: &[u8]) -> String {
    let data: Value = serde_json::from_slice(data).unwrap_or_default();
    let text = data["choices"][0]["text"].as_str();
    text.unwrap_or_default().to_owned()
}
