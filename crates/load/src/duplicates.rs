//! Detection of requests that ran more than once, by the records of the stand-in platform.

use {
    lynxwheel_transport::{Client, ClientRequest},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout for the platform's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A run of a request, as listed by the platform.
#[derive(Deserialize)]
struct Run {
    key: String,
}

/// Returns how many keys with `prefix` ran more than once, or `None` if the platform does not list
/// its runs.
pub(crate) async fn count_duplicate_keys(platform: SocketAddr, prefix: &str) -> Option<u64> {
    let client = Client::new(platform, 1);
    let request = ClientRequest::new(http::Method::GET, "/runs");
    let response = client.call(&request, RESPONSE_TIMEOUT).await.ok()?;
    let runs: Vec<Run> = serde_json::from_slice(&response.body).ok()?;
    let mut keys: Vec<String> = runs.into_iter().map(|run| run.key).collect();
    keys.retain(|key| key.starts_with(prefix));
    keys.sort();
    let duplicates = keys
        .chunk_by(|a, b| a == b)
        .filter(|same_keys| same_keys.len() > 1);
    Some(duplicates.count() as u64)
}
