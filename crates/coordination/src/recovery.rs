//! Finding a state to start from: a peer's, the snapshot stream's, or the log's beginning.

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

/// Time that a peer may take for its message, in milliseconds.
const HELLO_TIMEOUT_MS: u64 = 500;

/// Time that a peer may take for its snapshot, in milliseconds.
const SNAPSHOT_TIMEOUT_MS: u64 = 5_000;

/// Peers asked for a snapshot at most.
const MAX_ASKED: usize = 3;

/// Chunks read at once.
const WINDOW: u64 = 64;

/// Chunks looked through at most, from the stream's end.
const MAX_LOOKED: u64 = 16_384;

/// Pause before the next try, in milliseconds.
const PAUSE_MS: u64 = 500;

/// Finds a state from which the log can be read on, trying until there is one.
///
/// The state is never below what this node has served. A state whose next record was trimmed is
/// of no use: going on from it would skip records.
pub(crate) async fn recover(node: &Node, log: &LogClient) -> FleetState {
    loop {
        let head = match log.read(1, 1, 0).await {
            Ok(head) => Some(head),
            Err(error) => {
                warn!(event = "log_not_readable"; "{error}");
                None
            }
        };
        if let Some(state) = find(node, head.as_ref()).await {
            info!(event = "recovered", offset = state.offset(); "");
            return state;
        }
        if let Some(head) = &head {
            error!(event = "state_not_found", earliest = head.earliest_offset;
                "the log is trimmed, and neither a peer nor a snapshot reaches its beginning");
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

async fn find(node: &Node, head: Option<&ReadResponse>) -> Option<FleetState> {
    let served = node.state().offset();
    let earliest = head.map_or(0, |head| head.earliest_offset);
    let is_usable = |state: &FleetState| {
        state.offset() + 1 >= earliest && state.offset() >= served && state.offset() > 0
    };
    if head.is_some_and(|head| head.next_offset <= 1) {
        return Some(FleetState::new());
    }
    if let Some(state) = from_peers(node).await.filter(is_usable) {
        return Some(state);
    }
    let stored = match from_stream(node.snapshot_log()).await {
        Ok(state) => state.filter(is_usable),
        Err(error) => {
            warn!(event = "snapshots_not_readable"; "{error}");
            return None;
        }
    };
    if stored.is_some() {
        return stored;
    }
    (earliest == 1 && served == 0).then(FleetState::new)
}

/// Takes the snapshot of the peer that has folded most.
async fn from_peers(node: &Node) -> Option<FleetState> {
    let mut asked = JoinSet::new();
    for peer in &node.settings().peers {
        let client = node.peer_clients().get(peer.address);
        let own = node.hello();
        asked.spawn(async move {
            let limit = Duration::from_millis(HELLO_TIMEOUT_MS);
            let hello = client.exchange::<_, PeerHello>(HELLO_PATH, &own, limit);
            hello.await.ok().map(|hello| Candidate { hello, client })
        });
    }
    let mut candidates: Vec<Candidate> = asked.join_all().await.into_iter().flatten().collect();
    candidates.retain(|candidate| !candidate.hello.diverged && candidate.hello.offset > 0);
    candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.hello.offset));
    for candidate in candidates.iter().take(MAX_ASKED) {
        if let Some(state) = from_peer(&candidate.client).await {
            return Some(state);
        }
    }
    None
}

struct Candidate {
    hello: PeerHello,
    client: Client,
}

/// Takes one peer's snapshot.
pub(crate) async fn from_peer(client: &Client) -> Option<FleetState> {
    let limit = Duration::from_millis(SNAPSHOT_TIMEOUT_MS);
    let snapshot: PeerSnapshot = match client.fetch(SNAPSHOT_PATH, limit).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            warn!(event = "peer_snapshot_failed"; "{error}");
            return None;
        }
    };
    let state = decode_snapshot(&snapshot.bytes).ok()?;
    let is_whole = state.offset() == snapshot.offset && state.digest() == snapshot.digest;
    is_whole.then_some(state)
}

/// Takes the latest whole snapshot of the stream, looking backwards from its end.
async fn from_stream(log: &LogClient) -> Result<Option<FleetState>, LogError> {
    let head = log.read(1, 1, 0).await?;
    let lowest = head
        .earliest_offset
        .max(head.next_offset.saturating_sub(MAX_LOOKED));
    let mut assembler = SnapshotAssembler::default();
    let mut end = head.next_offset;
    while end > lowest {
        let from = end.saturating_sub(WINDOW).max(lowest);
        let count = usize::try_from(end - from).unwrap_or(0);
        let answer = log.read(from, count, 0).await?;
        answer
            .entries
            .iter()
            .filter_map(|entry| decode_chunk(&entry.bytes).ok())
            .for_each(|chunk| assembler.add(chunk));
        if let Some(state) = assembler.latest() {
            return Ok(Some(state));
        }
        end = from;
    }
    Ok(None)
}
