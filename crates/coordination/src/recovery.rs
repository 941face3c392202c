//! Finds a state to start from: a peer's, the latest snapshot, or an empty one.

use {
    crate::{
        log_client::{LogClient, LogError},
        node::Node,
        peer_server::{HELLO_PATH, SNAPSHOT_PATH},
        snapshot_chunks::SnapshotAssembler,
    },
    log::{error, info, warn},
    lynxwheel_protocol::{PeerHello, PeerSnapshot, ReadResponse, decode_chunk},
    lynxwheel_state::{FleetState, decode_snapshot},
    lynxwheel_transport::Client,
    std::time::Duration,
    tokio::task::JoinSet,
};

/// Timeout of a hello, in milliseconds.
const HELLO_TIMEOUT_MS: u64 = 500;

/// Timeout of a request for a peer's snapshot, in milliseconds.
const SNAPSHOT_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of peers asked for a snapshot in one attempt.
const MAX_SNAPSHOT_REQUESTS: usize = 3;

/// Number of chunks in one read.
const CHUNKS_PER_READ: u64 = 64;

/// Maximum number of chunks scanned, backwards from the end of the stream.
const MAX_SCANNED_CHUNKS: u64 = 16_384;

/// Pause between attempts, in milliseconds.
const RETRY_PAUSE_MS: u64 = 500;

/// Returns a state from which reading the log can continue; retries until there is one.
///
/// The state is never older than the one this node has served. A state whose next record was
/// trimmed is unusable, since continuing from it would skip records.
pub(crate) async fn recover(node: &Node, log: &LogClient) -> FleetState {
    loop {
        let head = match log.read(1, 1, 0).await {
            Ok(head) => Some(head),
            Err(error) => {
                warn!(event = "log_not_readable"; "{error}");
                None
            }
        };
        if let Some(state) = find_state(node, head.as_ref()).await {
            info!(event = "recovered", offset = state.offset(); "recovered a state");
            return state;
        }
        if let Some(head) = &head {
            error!(event = "state_not_found", earliest = head.earliest_offset;
                "the log is trimmed, and no peer or snapshot reaches its earliest record");
        }
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

async fn find_state(node: &Node, head: Option<&ReadResponse>) -> Option<FleetState> {
    let served_offset = node.state().offset();
    let earliest_offset = head.map_or(0, |head| head.earliest_offset);
    let is_usable = |state: &FleetState| {
        state.offset() + 1 >= earliest_offset
            && state.offset() >= served_offset
            && state.offset() > 0
    };
    if head.is_some_and(|head| head.next_offset <= 1) {
        return Some(FleetState::new());
    }
    if let Some(state) = fetch_from_peers(node).await.filter(is_usable) {
        return Some(state);
    }
    let loaded = match load_from_stream(node.snapshot_log()).await {
        Ok(state) => state.filter(is_usable),
        Err(error) => {
            warn!(event = "snapshots_not_readable"; "{error}");
            return None;
        }
    };
    if loaded.is_some() {
        return loaded;
    }
    (earliest_offset == 1 && served_offset == 0).then(FleetState::new)
}

/// Fetches a snapshot from the peer with the highest offset.
async fn fetch_from_peers(node: &Node) -> Option<FleetState> {
    let mut requests = JoinSet::new();
    for peer in &node.settings().peers {
        let client = node.peer_clients().get(peer.address);
        let own = node.hello();
        requests.spawn(async move {
            let timeout = Duration::from_millis(HELLO_TIMEOUT_MS);
            let hello = client.post_message::<_, PeerHello>(HELLO_PATH, &own, timeout);
            hello.await.ok().map(|hello| Candidate { hello, client })
        });
    }
    let mut candidates: Vec<Candidate> = requests.join_all().await.into_iter().flatten().collect();
    candidates.retain(|candidate| !candidate.hello.diverged && candidate.hello.offset > 0);
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.hello.offset));
    for candidate in candidates.iter().take(MAX_SNAPSHOT_REQUESTS) {
        if let Some(state) = fetch_state(&candidate.client).await {
            return Some(state);
        }
    }
    None
}

struct Candidate {
    hello: PeerHello,
    client: Client,
}

/// Fetches a peer's snapshot.
pub(crate) async fn fetch_state(client: &Client) -> Option<FleetState> {
    let timeout = Duration::from_millis(SNAPSHOT_TIMEOUT_MS);
    let snapshot: PeerSnapshot = match client.get_message(SNAPSHOT_PATH, timeout).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            warn!(event = "peer_snapshot_failed"; "{error}");
            return None;
        }
    };
    let state = decode_snapshot(&snapshot.bytes).ok()?;
    let is_complete = state.offset() == snapshot.offset && state.digest() == snapshot.digest;
    is_complete.then_some(state)
}

/// Loads the latest complete snapshot of the stream, scanning backwards from its end.
async fn load_from_stream(log: &LogClient) -> Result<Option<FleetState>, LogError> {
    let head = log.read(1, 1, 0).await?;
    let lowest_offset = head
        .earliest_offset
        .max(head.next_offset.saturating_sub(MAX_SCANNED_CHUNKS));
    let mut assembler = SnapshotAssembler::default();
    let mut end_offset = head.next_offset;
    while end_offset > lowest_offset {
        let from = end_offset
            .saturating_sub(CHUNKS_PER_READ)
            .max(lowest_offset);
        let count = usize::try_from(end_offset - from).unwrap_or(0);
        let response = log.read(from, count, 0).await?;
        response
            .entries
            .iter()
            .filter_map(|entry| decode_chunk(&entry.bytes).ok())
            .for_each(|chunk| assembler.add(chunk));
        if let Some(state) = assembler.latest() {
            return Ok(Some(state));
        }
        end_offset = from;
    }
    Ok(None)
}
