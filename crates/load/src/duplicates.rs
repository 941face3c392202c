//! Requests that endpoints ran twice, as the stand-in platform tells.

use {
    lynxwheel_transport::{Client, ClientRequest},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Time for the platform's answer.
const LIMIT: Duration = Duration::from_secs(10);

/// What is read of one run.
#[derive(Deserialize)]
struct Run {
    key: String,
}

/// Returns how many keys of this load ran more than once, or `None` when the platform does not
/// tell.
pub(crate) async fn count_duplicate_keys(platform: SocketAddr, prefix: &str) -> Option<u64> {
    let client = Client::new(platform, 1);
    let request = ClientRequest::new(http::Method::GET, "/runs");
    let answer = client.call(&request, LIMIT).await.ok()?;
    let runs: Vec<Run> = serde_json::from_slice(&answer.body).ok()?;
    let mut keys: Vec<String> = runs.into_iter().map(|run| run.key).collect();
    keys.retain(|key| key.starts_with(prefix));
    keys.sort();
    let duplicates = keys.chunk_by(|a, b| a == b).filter(|runs| runs.len() > 1);
    Some(duplicates.count() as u64)
}
