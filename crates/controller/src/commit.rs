//! Ordered and fenced appends of an owner's records.

use {
    crate::record_parts::RecordParts,
    log::{error, info, warn},
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

/// Sequence numbers of an epoch, so that no two epochs use the same ones. The store may answer an
/// append with the response to an earlier epoch's append of the same number.
const SEQUENCES_PER_EPOCH: u64 = 1 << 32;

/// Key of the record that begins an epoch. The record has no value, so the store does not keep it.
const EPOCH_KEY: &str = "epoch";

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
        AppendOutcome::Invalid { .. } => "invalid",
        AppendOutcome::Unknown => "unknown",
    }
}

/// What an append's outcome says about its records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendVerdict {
    /// A newer epoch is active, the store does not know the writer's sequence, or it never accepts the
    /// records. The writer cannot go on.
    Rejected,
    /// They may not be stored; the append is to be repeated.
    Repeat,
    /// They are stored.
    Stored,
    /// They are not stored, and neither is an earlier append.
    Waiting,
}

impl AppendVerdict {
    /// Judges the outcome of the append with a sequence number.
    ///
    /// Only one writer uses an epoch, and its appends are stored without a gap. The store therefore
    /// has every append below the one that it expects.
    #[must_use]
    pub fn new(outcome: AppendOutcome, sequence: u64) -> Self {
        match outcome {
            AppendOutcome::Stored { .. } => Self::Stored,
            AppendOutcome::OutOfSequence { expected } if expected > sequence => Self::Stored,
            AppendOutcome::OutOfSequence { expected } if expected < sequence => Self::Waiting,
            AppendOutcome::Fenced
            | AppendOutcome::OutOfSequence { .. }
            | AppendOutcome::Invalid { .. } => Self::Rejected,
            AppendOutcome::Moved { .. } | AppendOutcome::NothingDone | AppendOutcome::Unknown => {
                Self::Repeat
            }
        }
    }
}

/// Append with its sequence number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Append {
    /// Sequence number within the epoch.
    pub sequence: u64,
    /// Encoded records.
    pub records: Vec<Vec<u8>>,
}

impl Append {
    fn new(sequence: u64) -> Self {
        Self {
            sequence,
            records: Vec::new(),
        }
    }
}

/// Assigns sequence numbers to the appends of one epoch to one topic.
#[derive(Clone, Debug)]
pub struct Writer {
    topic: &'static str,
    epoch: u64,
    next_sequence: u64,
    max_request_bytes: usize,
    parts: RecordParts,
    /// Offset below which records are known to be stored.
    stored_end: Arc<AtomicU64>,
}

/// Appends that store one batch, in order.
#[derive(Debug)]
pub struct Commit {
    topic: &'static str,
    epoch: u64,
    stored_end: Arc<AtomicU64>,
    appends: Vec<Append>,
}

impl Writer {
    /// Creates the writer of an epoch to the topic of the engine's records. Only a record that alone
    /// is larger makes an append larger than `max_request_bytes`, which [`Self::with_parts`] prevents.
    #[must_use]
    pub fn new(epoch: u64, max_request_bytes: usize) -> Self {
        Self {
            topic: STATE_TOPIC,
            epoch,
            next_sequence: epoch * SEQUENCES_PER_EPOCH + 1,
            max_request_bytes,
            parts: RecordParts::new(usize::MAX),
            stored_end: Arc::default(),
        }
    }

    /// Sets the topic. The store numbers the appends of a producer separately in each topic.
    #[must_use]
    pub fn with_topic(self, topic: &'static str) -> Self {
        Self { topic, ..self }
    }

    /// Sets how large records are divided, and which are stored in parts.
    #[must_use]
    pub fn with_parts(self, parts: RecordParts) -> Self {
        Self { parts, ..self }
    }

    /// Returns the shared offset below which records are known to be stored.
    #[must_use]
    pub fn stored_end(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.stored_end)
    }

    /// Returns the append that fences lower epochs.
    ///
    /// It contains a record because the first append with records may have any sequence number:
    /// without one, the second commit of an epoch could be stored in place of the first.
    #[must_use]
    pub fn fence_append(&self) -> Append {
        Append {
            sequence: self.epoch * SEQUENCES_PER_EPOCH,
            records: vec![encode_keyed_record(EPOCH_KEY, &[])],
        }
    }

    /// Fences lower epochs. Must succeed before the first commit is sent.
    ///
    /// Returns whether the epoch is active; `None` if the outcome is unknown.
    pub async fn fence(&self, store: &StoreClient) -> Option<bool> {
        let Append { sequence, records } = self.fence_append();
        let producer = Producer {
            name: PRODUCER_NAME,
            epoch: self.epoch,
            sequence,
        };
        let outcome = store
            .append(self.topic, &records, None, Some(producer))
            .await;
        info!(
            event = "fence_sent", epoch = self.epoch, sequence = sequence, outcome:? = outcome;
            "append that fences earlier owners sent"
        );
        match outcome {
            // Another writer has used the epoch, and this one would repeat its sequence numbers.
            AppendOutcome::OutOfSequence { .. } => Some(false),
            outcome => match AppendVerdict::new(outcome, sequence) {
                AppendVerdict::Stored => Some(true),
                AppendVerdict::Rejected => Some(false),
                AppendVerdict::Repeat | AppendVerdict::Waiting => None,
            },
        }
    }

    /// Encodes records into numbered appends of limited size.
    pub fn commit(&mut self, records: &[Record]) -> Commit {
        let mut appends: Vec<Append> = Vec::new();
        let mut bytes = usize::MAX;
        let unused = self.parts.take_unused();
        let divided = records.iter().flat_map(|record| self.parts.divide(record));
        for record in unused.into_iter().chain(divided) {
            let encoded = encode_keyed_record(&record.key, &record.value);
            let size = encoded.len() + FRAME_OVERHEAD_BYTES;
            if bytes.saturating_add(size) > self.max_request_bytes {
                appends.push(Append::new(self.next_sequence));
                self.next_sequence += 1;
                bytes = 0;
            }
            bytes += size;
            if let Some(append) = appends.last_mut() {
                append.records.push(encoded);
            }
        }
        Commit {
            topic: self.topic,
            epoch: self.epoch,
            stored_end: Arc::clone(&self.stored_end),
            appends,
        }
    }
}

impl Commit {
    /// Returns the appends in the order in which they are to be stored.
    #[must_use]
    pub fn appends(&self) -> &[Append] {
        &self.appends
    }

    /// Returns the total size of the records, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let records = self.appends.iter().flat_map(|append| &append.records);
        records.map(Vec::len).sum()
    }

    /// Stores the batch, retrying until it succeeds. Returns `false` if a newer epoch is active.
    pub async fn store(&self, store: &StoreClient) -> bool {
        for append in &self.appends {
            if !self.store_append(store, append).await {
                return false;
            }
        }
        true
    }

    async fn store_append(&self, store: &StoreClient, append: &Append) -> bool {
        let Append { sequence, records } = append;
        let sequence = *sequence;
        let producer = Producer {
            name: PRODUCER_NAME,
            epoch: self.epoch,
            sequence,
        };
        let mut pause_ms = MIN_RETRY_DELAY_MS;
        loop {
            let outcome = store
                .append_in_sequence(self.topic, records, producer)
                .await;
            counter!("lynxwheel_appends_total", "outcome" => outcome_label(outcome)).increment(1);
            if let AppendOutcome::Stored { end, .. } = outcome {
                self.stored_end.fetch_max(end, Ordering::Relaxed);
            }
            if let AppendOutcome::OutOfSequence { expected } = outcome {
                self.log_out_of_sequence(sequence, expected);
            }
            match AppendVerdict::new(outcome, sequence) {
                AppendVerdict::Stored => return true,
                AppendVerdict::Waiting => sleep(Duration::from_millis(MIN_RETRY_DELAY_MS)).await,
                AppendVerdict::Rejected if matches!(outcome, AppendOutcome::Invalid { .. }) => {
                    let sizes = records.iter().map(Vec::len);
                    error!(
                        event = "append_invalid", topic = self.topic, epoch = self.epoch,
                        outcome:? = outcome, records = records.len(),
                        bytes = sizes.clone().sum::<usize>(),
                        largest_bytes = sizes.max().unwrap_or_default();
                        "store never accepts these records"
                    );
                    return false;
                }
                AppendVerdict::Rejected => {
                    warn!(
                        event = "append_refused", topic = self.topic, epoch = self.epoch,
                        outcome:? = outcome;
                        "append rejected"
                    );
                    return false;
                }
                AppendVerdict::Repeat => {
                    warn!(
                        event = "append_repeated", topic = self.topic, epoch = self.epoch,
                        sequence = sequence, outcome:? = outcome, pause_ms = pause_ms;
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

    fn log_out_of_sequence(&self, sequence: u64, expected: u64) {
        info!(
            event = "append_out_of_sequence", topic = self.topic, epoch = self.epoch,
            sequence = sequence, expected = expected;
            "store expects another append"
        );
    }
}
