//! Writing snapshots into the log service.

use {
    crate::{log_client::LogClient, node::Node, snapshot_chunks::split_snapshot},
    log::{error, info, warn},
    lynxwheel_decisions::rendezvous_rank,
    lynxwheel_protocol::{RecordBody, SnapshotId, encode_chunk},
    std::time::Duration,
};

/// Pause between two looks, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// Time by which each rank waits for the one before, in milliseconds.
const RANK_DELAY_MS: u64 = 10_000;

/// Chunks of one append.
const CHUNKS_AT_ONCE: usize = 8;

/// Pause between two appends, in milliseconds; a snapshot must not use up the service's rate.
const APPEND_PAUSE_MS: u64 = 100;

/// Writes a snapshot whenever one is due and it is this node's turn.
pub(crate) async fn write_snapshots(node: Node) {
    let log = node.snapshot_log().clone();
    let mut due_since_ms = None;
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let now_ms = node.clock().now_ms();
        if !node.is_current() || !is_due(&node, now_ms) {
            due_since_ms = None;
            continue;
        }
        let waited_ms = now_ms.saturating_sub(*due_since_ms.get_or_insert(now_ms));
        if waited_ms < rank(&node) * RANK_DELAY_MS {
            continue;
        }
        if let Some(id) = write(&node, &log).await {
            node.proposer()
                .propose_and_confirm(RecordBody::Snapshot { id })
                .await;
        }
        due_since_ms = None;
    }
}

fn rank(node: &Node) -> u64 {
    let last = node.state().snapshot().map_or(0, |id| id.offset);
    let subject = format!("snapshot-{last}");
    rendezvous_rank(&subject, &node.settings().identity.node, &node.live_nodes()) as u64
}

/// Tells whether a snapshot is due by records, by time, or because the log was trimmed too far.
fn is_due(node: &Node, now_ms: u64) -> bool {
    let state = node.state();
    let settings = node.settings();
    let last = state.snapshot().map_or(0, |id| id.offset);
    let records = state.offset().saturating_sub(last);
    let earliest = node.published_state().earliest_offset();
    if earliest > last + 1 {
        // No starting node could go on from this snapshot: all nodes replaced at once would
        // lose what was accepted. The retention is shorter than the settings take it to be.
        error!(event = "snapshot_trimmed", snapshot = last, earliest = earliest;
            "records after the last snapshot were trimmed; a new snapshot is written at once");
        return true;
    }
    let age_ms = now_ms.saturating_sub(state.snapshot_ms());
    records >= settings.snapshot_interval_records
        || records > 1 && age_ms >= settings.snapshot_interval_ms
}

async fn write(node: &Node, log: &LogClient) -> Option<SnapshotId> {
    let state = node.state();
    let Some(chunks) = split_snapshot(&state, node.incarnation()) else {
        error!(event = "snapshot_failed", offset = state.offset(); "the state cannot be encoded");
        return None;
    };
    let id = chunks.first()?.id;
    for group in chunks.chunks(CHUNKS_AT_ONCE) {
        let entries = group
            .iter()
            .map(encode_chunk)
            .collect::<Result<Vec<Vec<u8>>, _>>();
        let appended = match entries {
            Ok(entries) => log.append(entries).await.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        if let Err(reason) = appended {
            // What was written of it never counts; the next look starts anew.
            warn!(event = "snapshot_failed", offset = id.offset; "{reason}");
            return None;
        }
        tokio::time::sleep(Duration::from_millis(APPEND_PAUSE_MS)).await;
    }
    info!(event = "snapshot_written", offset = id.offset, chunks = id.chunks; "");
    Some(id)
}
