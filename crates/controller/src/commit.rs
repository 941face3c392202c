//! Storing batches, one after the other, under the owner's epoch.

use {
    log::warn,
    lynxwheel_engine::Record,
    lynxwheel_platform::{
        AppendOutcome, PlatformSettings, Producer, StoreClient, encode_keyed_record,
    },
    metrics::counter,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Topic of the engine's records; it keeps the newest of each key for good.
pub const STATE_TOPIC: &str = "keyed.lynxwheel";

/// Name under which owners write.
const PRODUCER: &str = "owner";

/// Shortest and longest pause before an append is repeated, in milliseconds.
const MIN_RETRY_MS: u64 = 40;
const MAX_RETRY_MS: u64 = 400;

/// Bytes that a record's frame adds.
const FRAME_BYTES: usize = 8;

fn outcome_label(outcome: AppendOutcome) -> &'static str {
    match outcome {
        AppendOutcome::Stored { .. } => "stored",
        AppendOutcome::Moved { .. } | AppendOutcome::OutOfSequence { .. } => "conflict",
        AppendOutcome::Fenced => "fenced",
        AppendOutcome::NothingDone => "refused",
        AppendOutcome::Unknown => "unknown",
    }
}

/// Numbers the appends of one owner.
#[derive(Clone, Debug)]
pub struct Writer {
    epoch: u64,
    sequence: u64,
    request_bytes: usize,
    /// Offset up to which the records are known to be stored.
    stored_end: Arc<AtomicU64>,
}

/// Appends that store one batch, in order.
#[derive(Debug)]
pub struct Commit {
    epoch: u64,
    stored_end: Arc<AtomicU64>,
    appends: Vec<(u64, Vec<Vec<u8>>)>,
}

impl Writer {
    /// Creates the writer of an epoch.
    #[must_use]
    pub fn new(epoch: u64, settings: &PlatformSettings) -> Self {
        Self {
            epoch,
            sequence: 0,
            request_bytes: settings.max_append_bytes / 2,
            stored_end: Arc::default(),
        }
    }

    /// Returns the offset up to which the records are known to be stored, as it moves on.
    #[must_use]
    pub fn stored_end(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.stored_end)
    }

    /// Shuts lower epochs out: an append without records sets the epoch.
    ///
    /// Returns whether it is set, or nothing while that is not known.
    pub async fn fence(&mut self, store: &StoreClient) -> Option<bool> {
        let producer = Producer {
            name: PRODUCER,
            epoch: self.epoch,
            sequence: self.sequence,
        };
        match store.append(STATE_TOPIC, &[], None, Some(producer)).await {
            AppendOutcome::Stored { .. } | AppendOutcome::OutOfSequence { .. } => {
                self.sequence += 1;
                Some(true)
            }
            AppendOutcome::Fenced => Some(false),
            AppendOutcome::Moved { .. } | AppendOutcome::NothingDone | AppendOutcome::Unknown => {
                None
            }
        }
    }

    /// Numbers the appends that store these records.
    pub fn commit(&mut self, records: &[Record]) -> Commit {
        let mut appends: Vec<(u64, Vec<Vec<u8>>)> = Vec::new();
        let mut bytes = usize::MAX;
        for record in records {
            let encoded = encode_keyed_record(&record.key, &record.value);
            let size = encoded.len() + FRAME_BYTES;
            if bytes.saturating_add(size) > self.request_bytes {
                appends.push((self.sequence, Vec::new()));
                self.sequence += 1;
                bytes = 0;
            }
            bytes += size;
            if let Some((_, group)) = appends.last_mut() {
                group.push(encoded);
            }
        }
        Commit {
            epoch: self.epoch,
            stored_end: Arc::clone(&self.stored_end),
            appends,
        }
    }
}

impl Commit {
    /// Returns the bytes of the records.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let records = self.appends.iter().flat_map(|(_, records)| records);
        records.map(Vec::len).sum()
    }

    /// Stores the batch, however long the store is away; tells whether this owner may go on.
    pub async fn store(&self, store: &StoreClient) -> bool {
        for (sequence, records) in &self.appends {
            if !self.append(store, *sequence, records).await {
                return false;
            }
        }
        true
    }

    async fn append(&self, store: &StoreClient, sequence: u64, records: &[Vec<u8>]) -> bool {
        let producer = Producer {
            name: PRODUCER,
            epoch: self.epoch,
            sequence,
        };
        let mut pause_ms = MIN_RETRY_MS;
        loop {
            let outcome = store
                .append_in_sequence(STATE_TOPIC, records, producer)
                .await;
            counter!("lynxwheel_appends_total", "outcome" => outcome_label(outcome)).increment(1);
            match outcome {
                AppendOutcome::Stored { end, .. } => {
                    self.stored_end.fetch_max(end, Ordering::Relaxed);
                    return true;
                }
                // The epoch is ours alone, so a store that is ahead has this append, and perhaps some
                // that were sent after it.
                AppendOutcome::OutOfSequence { expected } if expected > sequence => {
                    return true;
                }
                // One that was sent before this one is still under way.
                AppendOutcome::OutOfSequence { expected } if expected < sequence => {
                    sleep(Duration::from_millis(MIN_RETRY_MS)).await;
                }
                AppendOutcome::Fenced | AppendOutcome::OutOfSequence { .. } => {
                    warn!(event = "append_refused", epoch = self.epoch, outcome:? = outcome; "");
                    return false;
                }
                AppendOutcome::Moved { .. }
                | AppendOutcome::NothingDone
                | AppendOutcome::Unknown => {
                    warn!(
                        event = "append_repeated", epoch = self.epoch, sequence = sequence,
                        outcome:? = outcome, pause_ms = pause_ms;
                        ""
                    );
                    sleep(Duration::from_millis(pause_ms)).await;
                    // Silence was waited for already; refusals call for fewer tries.
                    if outcome != AppendOutcome::Unknown {
                        pause_ms = (pause_ms * 2).min(MAX_RETRY_MS);
                    }
                }
            }
        }
    }
}
