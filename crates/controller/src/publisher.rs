//! Publication of the status of waves, in order and under the owner's epoch.

use {
    crate::commit::Writer,
    log::{info, warn},
    lynxwheel_engine::Record,
    lynxwheel_platform::{STATUS_TOPIC, StoreClient, encode_wave_status},
    tokio::sync::mpsc::{self, Receiver, Sender, error::TrySendError},
};

/// Maximum size of an append, in bytes; a status is far smaller.
const MAX_APPEND_BYTES: usize = 16 * 1024;

/// Maximum number of statuses that wait for the store.
const QUEUE_CAPACITY: usize = 1_024;

/// Status of a wave.
#[derive(Clone, Debug)]
struct WaveStatus {
    wave: u64,
    is_completed: bool,
}

/// Publishes the status of waves one after the other, so that none can be stored over a later one.
#[derive(Debug)]
pub struct StatusPublisher {
    queue: Sender<WaveStatus>,
}

impl StatusPublisher {
    /// Starts the publisher of an owner. It ends after the last status once it is dropped, or when
    /// a newer owner has published.
    #[must_use]
    pub fn start(store: StoreClient, epoch: u64) -> Self {
        let (queue, statuses) = mpsc::channel(QUEUE_CAPACITY);
        let writer = Writer::new(epoch, MAX_APPEND_BYTES).with_topic(STATUS_TOPIC);
        tokio::spawn(publish_all(statuses, store, writer));
        Self { queue }
    }

    /// Publishes a status after all earlier ones, without waiting.
    pub fn publish(&self, wave: u64, is_completed: bool) {
        let status = WaveStatus { wave, is_completed };
        // A closed queue means that a newer owner has published.
        if let Err(TrySendError::Full(_)) = self.queue.try_send(status) {
            warn!(event = "wave_status_lost", wave = wave; "too many statuses wait for the store");
        }
    }
}

/// Each status is known to be stored before the next is sent. The first append of an epoch may have
/// any sequence number, so a later one could otherwise take its place.
async fn publish_all(mut statuses: Receiver<WaveStatus>, store: StoreClient, mut writer: Writer) {
    while let Some(WaveStatus { wave, is_completed }) = statuses.recv().await {
        let (key, value) = encode_wave_status(wave, is_completed);
        let is_stored = writer.commit(&[Record { key, value }]).store(&store).await;
        info!(
            event = "wave_status", wave = wave, is_completed = is_completed, is_stored = is_stored;
            "wave status sent"
        );
        if !is_stored {
            return;
        }
    }
}
