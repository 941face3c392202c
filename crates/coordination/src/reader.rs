//! Reading the log from the last folded offset on.

use {
    crate::{
        clock::Clock,
        fold::{Fold, FoldEntries},
        log_client::LogClient,
        published::Published,
    },
    kameo::actor::ActorRef,
    log::{error, warn},
    lynxwheel_protocol::ReadAnswer,
    std::{sync::Arc, time::Duration},
};

/// Entries read at once at most.
const MAX_ENTRIES: usize = 1_024;

/// Time that a read waits for the first entry, in milliseconds.
const WAIT_MS: u64 = 5_000;

/// Pause after a failed read, in milliseconds.
const PAUSE_MS: u64 = 200;

/// Reads for as long as it is polled.
pub(crate) async fn read_log(
    log: LogClient,
    clock: Clock,
    published: Arc<Published>,
    fold: ActorRef<Fold>,
) {
    let mut next_offset = published.load().offset() + 1;
    loop {
        match log.read(next_offset, MAX_ENTRIES, WAIT_MS).await {
            Ok(answer) => {
                if !hand_on(answer, &mut next_offset, &clock, &published, &fold).await {
                    return;
                }
            }
            Err(error) => {
                warn!(event = "read_failed", offset = next_offset; "{error}");
                tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
        }
    }
}

/// Hands entries to the fold; tells whether reading can go on.
async fn hand_on(
    answer: ReadAnswer,
    next_offset: &mut u64,
    clock: &Clock,
    published: &Published,
    fold: &ActorRef<Fold>,
) -> bool {
    if *next_offset < answer.earliest_offset {
        error!(event = "log_trimmed", offset = *next_offset, earliest = answer.earliest_offset;
            "records were trimmed before they were read");
        return false;
    }
    published.note_read(clock.now_ms(), answer.next_offset - 1);
    let Some(last) = answer.entries.last() else {
        return true;
    };
    *next_offset = last.offset + 1;
    fold.tell(FoldEntries {
        entries: answer.entries,
    })
    .send()
    .await
    .is_ok()
}
