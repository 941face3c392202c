//! Reading the log from the last folded offset on.

use {
    crate::{
        fold::{Fold, FoldEntries, Reload},
        log_client::LogClient,
        node::Node,
        recovery::recover,
    },
    kameo::actor::ActorRef,
    log::{error, warn},
    lynxwheel_protocol::ReadResponse,
    std::time::Duration,
};

/// Entries read at once at most.
const MAX_ENTRIES: usize = 1_024;

/// Time that a read waits for the first entry, in milliseconds.
const WAIT_MS: u64 = 2_000;

/// Pause after a failed read, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Why reading on from an offset is impossible.
enum ReadEnd {
    /// Records were trimmed before they were read.
    Trimmed,
    /// The fold is gone.
    NoFold,
}

/// Reads for as long as it is polled, from a recovered state on.
pub(crate) async fn read_log(node: Node, log: LogClient, fold: ActorRef<Fold>) {
    loop {
        let state = recover(&node, &log).await;
        let next_offset = state.offset() + 1;
        if fold.tell(Reload::new(state)).send().await.is_err() {
            return;
        }
        match read_from(next_offset, &node, &log, &fold).await {
            ReadEnd::Trimmed => {}
            ReadEnd::NoFold => return,
        }
    }
}

async fn read_from(
    mut next_offset: u64,
    node: &Node,
    log: &LogClient,
    fold: &ActorRef<Fold>,
) -> ReadEnd {
    loop {
        // Entries may have come from a peer meanwhile.
        next_offset = next_offset.max(node.state().offset() + 1);
        match log.read(next_offset, MAX_ENTRIES, WAIT_MS).await {
            Ok(answer) => {
                if let Err(end) = hand_on(answer, &mut next_offset, node, fold).await {
                    return end;
                }
            }
            Err(error) => {
                warn!(event = "read_failed", offset = next_offset; "{error}");
                tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
        }
    }
}

/// Hands entries to the fold.
async fn hand_on(
    answer: ReadResponse,
    next_offset: &mut u64,
    node: &Node,
    fold: &ActorRef<Fold>,
) -> Result<(), ReadEnd> {
    if *next_offset < answer.earliest_offset {
        error!(event = "log_trimmed", offset = *next_offset, earliest = answer.earliest_offset;
            "records were trimmed before they were read; the state is loaded anew");
        return Err(ReadEnd::Trimmed);
    }
    if answer.next_offset < *next_offset {
        // Another log, or one that lost its end. Serving what it holds would revert what was
        // accepted, so the state stays and the node does not take itself for current.
        error!(event = "log_behind", offset = *next_offset, end = answer.next_offset;
            "the log ends before what was already read");
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        return Ok(());
    }
    node.published_state().record_read(
        node.clock().now_ms(),
        answer.earliest_offset,
        answer.next_offset - 1,
    );
    let Some(last) = answer.entries.last() else {
        return Ok(());
    };
    *next_offset = last.offset + 1;
    fold.tell(FoldEntries {
        entries: answer.entries,
    })
    .send()
    .await
    .map_err(|_| ReadEnd::NoFold)
}
