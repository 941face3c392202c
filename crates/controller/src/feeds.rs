//! Feeds from the platform: operator records, the endpoint registry and the list of VMs.

use {
    crate::{
        clock,
        node::Node,
        owner::{OwnerHandle, OwnerMessage},
        polling::retry_delay_ms,
    },
    log::{info, warn},
    lynxwheel_engine::Event,
    lynxwheel_platform::{
        AccountError, KeyedRecord, OPERATOR_TOPIC, OperatorRecord, REGISTRY_TOPIC, ReadOutcome,
        VmClient, decode_endpoint, decode_operator_record,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Maximum wait of a poll of the registry, in milliseconds.
const REGISTRY_POLL_WAIT_MS: u64 = 700;

/// Pause between polls of the registry, in milliseconds. Endpoints write constantly; pausing
/// batches their records.
const REGISTRY_PAUSE_MS: u64 = 120;

/// Interval between requests for the list of VMs, in milliseconds.
const VM_LIST_INTERVAL_MS: u64 = 700;

/// Delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Reader of a keyed topic.
struct TopicReader {
    topic: &'static str,
    from: Option<u64>,
    /// Number of failures since the last success.
    failures: u32,
}

impl TopicReader {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            from: None,
            failures: 0,
        }
    }

    /// Returns the next records, and whether they are a snapshot. The first call, and any call
    /// after a trim, returns a snapshot with the latest record of each key; other calls return new
    /// records.
    async fn next(&mut self, node: &Node, wait_ms: u64) -> (Vec<KeyedRecord>, bool) {
        let outcome = match self.from {
            None => self.load(node).await,
            Some(from) => self.read(node, from, wait_ms).await,
        };
        match outcome {
            Ok(records) => {
                if self.is_lost() {
                    self.failures = 0;
                    info!(
                        event = "feed_regained", topic = self.topic;
                        "reading the topic succeeded again"
                    );
                }
                records
            }
            Err(reason) => {
                if !self.is_lost() {
                    warn!(
                        event = "feed_lost", topic = self.topic, reason = reason.as_str();
                        "reading the topic failed"
                    );
                }
                self.failures = self.failures.saturating_add(1);
                let delay_ms =
                    retry_delay_ms(RETRY_DELAY_MS, self.failures, node.max_poll_wait_ms());
                sleep(Duration::from_millis(delay_ms)).await;
                (Vec::new(), false)
            }
        }
    }

    fn is_lost(&self) -> bool {
        self.failures > 0
    }

    async fn load(&mut self, node: &Node) -> Result<(Vec<KeyedRecord>, bool), String> {
        let loaded = node.store.latest_records(self.topic).await;
        let (records, end) = loaded.map_err(|error| error.to_string())?;
        self.from = Some(end.end);
        Ok((records, true))
    }

    async fn read(
        &mut self,
        node: &Node,
        from: u64,
        wait_ms: u64,
    ) -> Result<(Vec<KeyedRecord>, bool), String> {
        let read = node.store.read(self.topic, from, wait_ms).await;
        match read.map_err(|error| error.to_string())? {
            ReadOutcome::Records { records, .. } => {
                let count = u64::try_from(records.len()).unwrap_or_default();
                self.from = Some(from + count);
                let decoded = records
                    .iter()
                    .filter_map(|record| KeyedRecord::decode(record));
                Ok((decoded.collect(), false))
            }
            // The snapshot includes the latest of the trimmed records.
            ReadOutcome::Trimmed { .. } => self.load(node).await,
            ReadOutcome::Missing => {
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                Ok((Vec::new(), false))
            }
        }
    }
}

/// Follows the operator topic until the process exits.
pub async fn follow_operator_topic(node: Arc<Node>) {
    let mut reader = TopicReader::new(OPERATOR_TOPIC);
    loop {
        let (records, _) = tokio::select! {
            next = reader.next(&node, node.max_poll_wait_ms()) => next,
            // The others rely on the owner, which polls more often. Nothing is lost by the end of a
            // poll.
            () = node.became_owner.notified() => continue,
        };
        for record in records {
            match decode_operator_record(&record) {
                Some(OperatorRecord::Config(config, errors)) => {
                    for AccountError { account, field } in errors {
                        warn!(
                            event = "account_left_out", version = config.version,
                            account = account.as_str(), field = field.as_str();
                            "account skipped: invalid field"
                        );
                    }
                    node.activate_config(config);
                }
                Some(OperatorRecord::Wave(order)) => node.record_wave_order(order),
                None => warn!(
                    event = "operator_record_unread", key = record.key.as_str();
                    "operator record cannot be decoded"
                ),
            }
        }
        if !reader.is_lost() {
            node.record_config_read();
        }
    }
}

/// Passes changes of the endpoint registry to the owner actor.
pub async fn follow_registry(node: Arc<Node>, owner: Arc<OwnerHandle>) {
    let mut reader = TopicReader::new(REGISTRY_TOPIC);
    let mut listed: Vec<String> = Vec::new();
    loop {
        let (records, is_snapshot) = reader.next(&node, REGISTRY_POLL_WAIT_MS).await;
        if is_snapshot {
            listed.retain(|id| {
                let is_listed = records.iter().any(|record| record.key == *id);
                if !is_listed {
                    owner.try_send(OwnerMessage::event(Event::Deregistered(id.as_str().into())));
                }
                is_listed
            });
        }
        for record in records {
            let entry = decode_endpoint(&record.key, &record.value);
            let index = listed.binary_search(&record.key);
            if let Some(entry) = entry {
                if let Err(index) = index {
                    listed.insert(index, record.key);
                }
                let event = Event::Registered {
                    entry: Box::new(entry),
                    is_fresh: !is_snapshot,
                };
                owner.send(OwnerMessage::event(event)).await;
            } else if let Ok(index) = index {
                // Deleted, or replaced by a record that cannot be decoded.
                let id = listed.remove(index);
                owner
                    .send(OwnerMessage::event(Event::Deregistered(id.as_str().into())))
                    .await;
            }
        }
        sleep(Duration::from_millis(REGISTRY_PAUSE_MS)).await;
    }
}

/// Passes the list of VMs to the owner actor.
pub async fn follow_vms(client: VmClient, owner: Arc<OwnerHandle>) {
    let mut is_lost = false;
    loop {
        let requested_ms = clock::steady_ms();
        match client.list().await {
            Ok(vms) => {
                let took_ms = clock::steady_ms().saturating_sub(requested_ms);
                info!(event = "vm_list", vms = vms.len(), took_ms = took_ms; "VMs listed");
                if is_lost {
                    info!(event = "vm_list_regained"; "reading the list of VMs succeeded again");
                }
                is_lost = false;
                let event = Event::VmsListed { vms, requested_ms };
                owner.send(OwnerMessage::event(event)).await;
            }
            Err(error) => {
                if !is_lost {
                    warn!(
                        event = "vm_list_lost", reason = error.to_string().as_str();
                        "reading the list of VMs failed"
                    );
                }
                is_lost = true;
            }
        }
        sleep(Duration::from_millis(VM_LIST_INTERVAL_MS)).await;
    }
}
