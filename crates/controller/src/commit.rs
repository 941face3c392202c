//! Ordered and fenced appends of the engine's records.

use {
    log::{info, warn},
    lynxwheel_engine::Record,
    lynxwheel_platform::{AppendOutcome, Producer, StoreClient, encode_keyed_record},
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

/// Topic of the engine's records, compacted by key.
pub const STATE_TOPIC: &str = "keyed.lynxwheel";

/// Producer name shared by all owners.
const PRODUCER_NAME: &str = "owner";

/// Bounds of the exponential backoff between attempts, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 40;
const MAX_RETRY_DELAY_MS: u64 = 400;

/// Framing overhead of a record, in bytes.
const FRAME_OVERHEAD_BYTES: usize = 8;

fn outcome_label(outcome: AppendOutcome) -> &'static str {
    match outcome {
        AppendOutcome::Stored { .. } => "stored",
        AppendOutcome::Moved { .. } | AppendOutcome::OutOfSequence { .. } => "conflict",
        AppendOutcome::Fenced => "fenced",
        AppendOutcome::NothingDone => "refused",
        AppendOutcome::Unknown => "unknown",
    }
}

/// Assigns sequence numbers to the appends of one epoch.
#[derive(Clone, Debug)]
pub struct Writer {
    epoch: u64,
    sequence: u64,
    max_request_bytes: usize,
    /// Offset below which records are known to be stored.
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
    /// Creates the writer of an epoch. Only a record that alone is larger makes an append larger
    /// than `max_request_bytes`.
    #[must_use]
    pub fn new(epoch: u64, max_request_bytes: usize) -> Self {
        Self {
            epoch,
            sequence: 0,
            max_request_bytes,
            stored_end: Arc::default(),
        }
    }

    /// Returns the shared offset below which records are known to be stored.
    #[must_use]
    pub fn stored_end(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.stored_end)
    }

    /// Fences lower epochs with an empty append.
    ///
    /// Returns whether the epoch is active; `None` if the outcome is unknown.
    pub async fn fence(&mut self, store: &StoreClient) -> Option<bool> {
        let producer = Producer {
            name: PRODUCER_NAME,
            epoch: self.epoch,
            sequence: self.sequence,
        };
        let outcome = store.append(STATE_TOPIC, &[], None, Some(producer)).await;
        info!(
            event = "fence_sent", epoch = self.epoch, sequence = self.sequence, outcome:? = outcome;
            "append that fences earlier owners sent"
        );
        match outcome {
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

    /// Encodes records into numbered appends of limited size.
    pub fn commit(&mut self, records: &[Record]) -> Commit {
        let mut appends: Vec<(u64, Vec<Vec<u8>>)> = Vec::new();
        let mut bytes = usize::MAX;
        for record in records {
            let encoded = encode_keyed_record(&record.key, &record.value);
            let size = encoded.len() + FRAME_OVERHEAD_BYTES;
            if bytes.saturating_add(size) > self.max_request_bytes {
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
    /// Returns the total size of the records, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let records = self.appends.iter().flat_map(|(_, records)| records);
        records.map(Vec::len).sum()
    }

    /// Stores the batch, retrying until it succeeds. Returns `false` if a newer epoch is active.
    pub async fn store(&self, store: &StoreClient) -> bool {
        for (sequence, records) in &self.appends {
            if !self.append(store, *sequence, records).await {
                return false;
            }
        }
        true
    }

    fn log_out_of_sequence(&self, sequence: u64, expected: u64) {
        info!(
            event = "append_out_of_sequence", epoch = self.epoch, sequence = sequence,
            expected = expected;
            "store expects another append"
        );
    }

    async fn append(&self, store: &StoreClient, sequence: u64, records: &[Vec<u8>]) -> bool {
        let producer = Producer {
            name: PRODUCER_NAME,
            epoch: self.epoch,
            sequence,
        };
        let mut pause_ms = MIN_RETRY_DELAY_MS;
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
                // Only this writer uses the epoch, so the store already has this append and perhaps
                // later ones.
                AppendOutcome::OutOfSequence { expected } if expected > sequence => {
                    self.log_out_of_sequence(sequence, expected);
                    return true;
                }
                // An earlier append is still in flight.
                AppendOutcome::OutOfSequence { expected } if expected < sequence => {
                    self.log_out_of_sequence(sequence, expected);
                    sleep(Duration::from_millis(MIN_RETRY_DELAY_MS)).await;
                }
                AppendOutcome::Fenced | AppendOutcome::OutOfSequence { .. } => {
                    warn!(
                        event = "append_refused", epoch = self.epoch, outcome:? = outcome;
                        "append rejected, stopping the owner"
                    );
                    return false;
                }
                AppendOutcome::Moved { .. }
                | AppendOutcome::NothingDone
                | AppendOutcome::Unknown => {
                    warn!(
                        event = "append_repeated", epoch = self.epoch, sequence = sequence,
                        outcome:? = outcome, pause_ms = pause_ms;
                        "append failed, retrying"
                    );
                    sleep(Duration::from_millis(pause_ms)).await;
                    // An unknown outcome has already waited for the timeout.
                    if outcome != AppendOutcome::Unknown {
                        pause_ms = (pause_ms * 2).min(MAX_RETRY_DELAY_MS);
                    }
                }
            }
        }
    }
}
