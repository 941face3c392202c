//! Reads the log and forwards its entries to the fold.

use {
    crate::{
        fold::{Fold, FoldEntries, ReplaceState},
        log_client::LogClient,
        node::Node,
        recovery::recover,
    },
    kameo::actor::ActorRef,
    log::{error, warn},
    lynxwheel_protocol::ReadResponse,
    std::time::Duration,
};

/// Maximum number of entries in one read.
const MAX_ENTRIES_PER_READ: usize = 1_024;

/// Long-poll wait of a read for the first entry, in milliseconds.
const LONG_POLL_MS: u64 = 2_000;

/// Pause before a retry, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Reason for which reading stopped.
enum ReadStop {
    /// Records were trimmed before they were read.
    Trimmed,
    /// The fold actor has stopped.
    FoldStopped,
}

/// Reads the log from a recovered state on, for as long as it is polled.
pub(crate) async fn read_log(node: Node, log: LogClient, fold: ActorRef<Fold>) {
    loop {
        let state = recover(&node, &log).await;
        let next_offset = state.offset() + 1;
        if fold.tell(ReplaceState::new(state)).send().await.is_err() {
            return;
        }
        match read_from(next_offset, &node, &log, &fold).await {
            ReadStop::Trimmed => {}
            ReadStop::FoldStopped => return,
        }
    }
}

async fn read_from(
    mut next_offset: u64,
    node: &Node,
    log: &LogClient,
    fold: &ActorRef<Fold>,
) -> ReadStop {
    loop {
        // Entries may have been fetched from a peer in the meantime.
        next_offset = next_offset.max(node.state().offset() + 1);
        match log
            .read(next_offset, MAX_ENTRIES_PER_READ, LONG_POLL_MS)
            .await
        {
            Ok(response) => {
                if let Err(stop) = forward_entries(response, &mut next_offset, node, fold).await {
                    return stop;
                }
            }
            Err(error) => {
                warn!(event = "read_failed", offset = next_offset; "{error}");
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Checks a response and forwards its entries to the fold.
async fn forward_entries(
    response: ReadResponse,
    next_offset: &mut u64,
    node: &Node,
    fold: &ActorRef<Fold>,
) -> Result<(), ReadStop> {
    if *next_offset < response.earliest_offset {
        error!(event = "log_trimmed", offset = *next_offset, earliest = response.earliest_offset;
            "records were trimmed before they were read; recovering the state");
        return Err(ReadStop::Trimmed);
    }
    if response.next_offset < *next_offset {
        // The log was replaced or truncated. Following it would revert accepted records, so the
        // state stays as it is and the node is no longer current.
        error!(event = "log_behind", offset = *next_offset, end = response.next_offset;
            "the log ends before the offset already read");
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        return Ok(());
    }
    node.published_state().record_read(
        node.clock().now_ms(),
        response.earliest_offset,
        response.next_offset - 1,
    );
    let Some(last) = response.entries.last() else {
        return Ok(());
    };
    *next_offset = last.offset + 1;
    fold.tell(FoldEntries {
        entries: response.entries,
    })
    .send()
    .await
    .map_err(|_| ReadStop::FoldStopped)
}
