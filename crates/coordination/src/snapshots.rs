//! Writes snapshots of the state to the log service.

use {
    crate::{log_client::LogClient, node::Node, snapshot_chunks::split_snapshot},
    log::{error, info, warn},
    lynxwheel_decisions::rendezvous_rank,
    lynxwheel_protocol::{RecordBody, SnapshotId, encode_chunk},
    std::time::Duration,
};

/// Interval between two checks, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Delay of each rank after the previous one, in milliseconds.
const RANK_DELAY_MS: u64 = 10_000;

/// Number of chunks in one append.
const CHUNKS_PER_APPEND: usize = 8;

/// Pause between two appends, in milliseconds; leaves most of the service's rate to records.
const APPEND_PAUSE_MS: u64 = 100;

/// Writes a snapshot when one is due, after a delay that grows with the node's rank.
pub(crate) async fn write_snapshots(node: Node) {
    let log = node.snapshot_log().clone();
    let mut due_since_ms = None;
    loop {
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let now_ms = node.clock().now_ms();
        if !node.is_current() || !is_due(&node, now_ms) {
            due_since_ms = None;
            continue;
        }
        let waited_ms = now_ms.saturating_sub(*due_since_ms.get_or_insert(now_ms));
        if waited_ms < rank(&node) * RANK_DELAY_MS {
            continue;
        }
        if let Some(id) = write_snapshot(&node, &log).await {
            node.proposer()
                .propose_and_confirm(RecordBody::Snapshot { id })
                .await;
        }
        due_since_ms = None;
    }
}

fn rank(node: &Node) -> u64 {
    let last_offset = node.state().snapshot().map_or(0, |id| id.offset);
    let subject = format!("snapshot-{last_offset}");
    rendezvous_rank(&subject, &node.settings().identity.node, &node.live_nodes()) as u64
}

/// Returns whether a snapshot is due by records, by time, or because the log was trimmed past it.
fn is_due(node: &Node, now_ms: u64) -> bool {
    let state = node.state();
    let settings = node.settings();
    let last_offset = state.snapshot().map_or(0, |id| id.offset);
    let records = state.offset().saturating_sub(last_offset);
    let earliest_offset = node.published_state().earliest_offset();
    if earliest_offset > last_offset + 1 {
        // No node can start from the last snapshot any more, so replacing all nodes at once would
        // lose the state. The log's retention is shorter than the settings assume.
        error!(event = "snapshot_trimmed", snapshot = last_offset, earliest = earliest_offset;
            "records after the last snapshot were trimmed; writing a new snapshot");
        return true;
    }
    let age_ms = now_ms.saturating_sub(state.snapshot_ms());
    records >= settings.snapshot_interval_records
        || records > 1 && age_ms >= settings.snapshot_interval_ms
}

async fn write_snapshot(node: &Node, log: &LogClient) -> Option<SnapshotId> {
    let state = node.state();
    let Some(chunks) = split_snapshot(&state, node.incarnation()) else {
        error!(event = "snapshot_failed", offset = state.offset(); "the state cannot be encoded");
        return None;
    };
    let id = chunks.first()?.id;
    for batch in chunks.chunks(CHUNKS_PER_APPEND) {
        let entries = batch
            .iter()
            .map(encode_chunk)
            .collect::<Result<Vec<Vec<u8>>, _>>();
        let appended = match entries {
            Ok(entries) => log.append(entries).await.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = appended {
            // Readers ignore an incomplete snapshot; the next check starts a new one.
            warn!(event = "snapshot_failed", offset = id.offset; "{reason}");
            return None;
        }
        tokio::time::sleep(Duration::from_millis(APPEND_PAUSE_MS)).await;
    }
    info!(event = "snapshot_written", offset = id.offset, chunks = id.chunks; "wrote a snapshot");
    Some(id)
}
