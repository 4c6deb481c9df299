//! Quickstart: runs a small fleet in one process on loopback, sends it requests and
//! takes an availability zone out of service, to show newcomers how the system works.

use std::{net::SocketAddr, time::Duration};

use futures::StreamExt;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use super::{
    StandinError,
    fleet::{
        Fleet, FleetCustomer, FleetPlan, GENERATION_SERVICE, PLAIN_SERVICE, STEP_TIMEOUT, ZONES,
        authorize, records, unexpected,
    },
};
use crate::{clock, http};

/// Key of the quickstart's only customer.
const CUSTOMER_KEY: &str = "quickstart-customer-key";

/// Runs all steps and prints their results.
///
/// # Errors
/// A step failed; the error names it and the peer.
pub async fn run() -> Result<(), StandinError> {
    let began = clock::now();
    let plan = FleetPlan::small(FleetCustomer {
        name: "fjordrens".into(),
        key: CUSTOMER_KEY.into(),
        share_percent: 100,
    });
    let fleet = Fleet::start(&plan).await?;
    println!(
        "fleet: 1 platform, {} targets in 3 availability zones, {} daemons",
        fleet.target_count(),
        fleet.daemons.len()
    );
    let count = records(&plan).as_array().map_or(0, Vec::len);
    let operator = fleet.daemons[0].operator_address;
    println!("records: {count} written through {operator}");
    stream_one(&fleet).await?;
    book_twice(&fleet).await?;
    take_zone_out(&fleet).await?;
    fleet.stop().await;
    let took = clock::now().saturating_sub(began);
    println!("done in {:.1} s: all steps succeeded", took.as_secs_f64());
    Ok(())
}

/// Streams one generation and prints its tokens as they arrive.
async fn stream_one(fleet: &Fleet) -> Result<(), StandinError> {
    let caller = fleet.daemons[0].caller_address;
    println!("stream: POST http://{caller}/v1/completions");
    print!("  ");
    let text = stream(fleet, caller, "[mark=ash-] [n=12] Is it clean?", true).await?;
    println!("\n  {} tokens, complete", text.split_whitespace().count());
    Ok(())
}

/// Streams one generation and returns its text once it is complete. `is_shown` says
/// whether the tokens are printed.
async fn stream(
    fleet: &Fleet,
    caller: SocketAddr,
    prompt: &str,
    is_shown: bool,
) -> Result<String, StandinError> {
    let peer = caller.to_string();
    let body = json!({"model": GENERATION_SERVICE, "prompt": prompt, "stream": true});
    let mut req = http::json_request(&Method::POST, &peer, "/v1/completions", body.to_string())?;
    authorize(&mut req, CUSTOMER_KEY);
    let res = http::send(&fleet.client, req).await?;
    if res.status() != StatusCode::OK {
        let reason = format!("status {}", res.status());
        return Err(unexpected("stream", &peer, &reason));
    }
    let mut text = String::new();
    let mut buf = String::new();
    let mut chunks = res.into_body().into_data_stream();
    while let Some(Ok(chunk)) = chunks.next().await {
        buf.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buf.find("\n\n") {
            let event: String = buf.drain(..end + 2).collect();
            if event.contains("data: [DONE]") {
                return Ok(text);
            }
            let token = token_text(&event);
            if is_shown {
                print!("{token}");
                let _ = std::io::Write::flush(&mut std::io::stdout());
            }
            text.push_str(&token);
        }
    }
    Err(unexpected(
        "stream",
        &peer,
        "the stream ended without [DONE]",
    ))
}

/// Returns the text of a token; empty if the event is not a token.
fn token_text(event: &str) -> String {
    let data = event.lines().find_map(|l| l.strip_prefix("data: "));
    let data = data.and_then(|d| serde_json::from_str::<Value>(d).ok());
    let text = data.and_then(|d| d["choices"][0]["text"].as_str().map(str::to_owned));
    text.unwrap_or_default()
}

/// Sends one booking through two daemons and checks that it is executed once.
async fn book_twice(fleet: &Fleet) -> Result<(), StandinError> {
    let mut answers = Vec::new();
    for daemon in &fleet.daemons[..2] {
        let peer = daemon.caller_address.to_string();
        let path = format!("/services/{PLAIN_SERVICE}/bookings");
        let body = json!({"truck": "Mo i Rana"}).to_string();
        let mut req = http::json_request(&Method::POST, &peer, &path, body)?;
        authorize(&mut req, CUSTOMER_KEY);
        let key = hyper::header::HeaderValue::from_static("order-17");
        req.headers_mut().insert("idempotency-key", key);
        let res = http::send_request(&fleet.client, req, STEP_TIMEOUT, 1 << 20).await?;
        let answer: Value = serde_json::from_slice(res.body()).unwrap_or(Value::Null);
        if answer["executed"] != json!(1) {
            return Err(unexpected("book", &peer, &answer.to_string()));
        }
        answers.push(answer);
    }
    println!("booking: sent through two daemons with one key, executed once");
    Ok(())
}

/// Takes a zone out of service while a generation runs there, and brings it back.
/// Checks that a new generation is served meanwhile and that the running one
/// finishes.
async fn take_zone_out(fleet: &Fleet) -> Result<(), StandinError> {
    let (zone, _) = ZONES[0];
    let caller = fleet.daemons[0].caller_address;
    let running = stream(fleet, caller, "[mark=long-] [n=60] Report.", false);
    let zone_change = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        fleet.set_zone(zone, "out").await?;
        println!("zone: {zone} is out, with a request running there");
        let text = stream(fleet, caller, "[n=3] Elsewhere?", false).await?;
        fleet.set_zone(zone, "serving").await?;
        println!("zone: a new request was served elsewhere; {zone} is back");
        Ok::<String, StandinError>(text)
    };
    let (running, changed) = tokio::join!(running, zone_change);
    changed?;
    let tokens = running?.split_whitespace().count();
    if tokens != 60 {
        let reason = format!("{tokens} of 60 tokens");
        return Err(unexpected("move_zone", zone, &reason));
    }
    println!("zone: the running request finished there with all tokens");
    Ok(())
}
