//! Feeds from the platform: what operators write, who is in the registry, which VMs there are.

use {
    crate::{
        node::Node,
        owner::{OwnerHandle, OwnerMessage},
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

/// Longest wait of a poll for what operators write, in milliseconds. A channel may fall silent
/// without an error; a poll that ends is the only sign of life.
const OPERATOR_WAIT_MS: u64 = 700;

/// Longest wait of a poll for the registry, in milliseconds.
const REGISTRY_WAIT_MS: u64 = 700;

/// Pause between polls of the registry, in milliseconds: endpoints write all the time, and one
/// answer brings what several wrote.
const REGISTRY_PAUSE_MS: u64 = 120;

/// Time between lists of the VMs, in milliseconds.
const VMS_EVERY_MS: u64 = 700;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 150;

/// A topic that is followed record by record.
struct Follower {
    topic: &'static str,
    from: Option<u64>,
    is_lost: bool,
}

impl Follower {
    fn new(topic: &'static str) -> Self {
        Self {
            topic,
            from: None,
            is_lost: false,
        }
    }

    /// Returns the next records: the newest of each key at first, or when some have expired, with
    /// `true`; later what was written since, with `false`.
    async fn next(&mut self, node: &Node, wait_ms: u64) -> (Vec<KeyedRecord>, bool) {
        let outcome = match self.from {
            None => self.load(node).await,
            Some(from) => self.read(node, from, wait_ms).await,
        };
        match outcome {
            Ok(records) => {
                if self.is_lost {
                    self.is_lost = false;
                    info!(event = "feed_regained", topic = self.topic; "");
                }
                records
            }
            Err(reason) => {
                if !self.is_lost {
                    self.is_lost = true;
                    warn!(event = "feed_lost", topic = self.topic, reason = reason.as_str(); "");
                }
                sleep(Duration::from_millis(RETRY_MS)).await;
                (Vec::new(), false)
            }
        }
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
            // What was missed is among the newest records.
            ReadOutcome::Trimmed { .. } => self.load(node).await,
            ReadOutcome::Missing => {
                sleep(Duration::from_millis(RETRY_MS)).await;
                Ok((Vec::new(), false))
            }
        }
    }
}

/// Follows what operators write, for as long as the process lives.
pub async fn follow_operator(node: Arc<Node>) {
    let mut follower = Follower::new(OPERATOR_TOPIC);
    loop {
        let (records, _) = follower.next(&node, OPERATOR_WAIT_MS).await;
        for record in records {
            match decode_operator_record(&record) {
                Some(OperatorRecord::Config(config, mistakes)) => {
                    for AccountError { account, field } in mistakes {
                        warn!(
                            event = "account_left_out", version = config.version,
                            account = account.as_str(), field = field.as_str();
                            ""
                        );
                    }
                    node.put_config(config);
                }
                Some(OperatorRecord::Wave(order)) => node.put_wave(order),
                None => warn!(event = "operator_record_unread", key = record.key.as_str(); ""),
            }
        }
        if !follower.is_lost {
            node.record_config_read();
        }
    }
}

/// Follows the registry for an owner.
pub async fn follow_registry(node: Arc<Node>, owner: Arc<OwnerHandle>) {
    let mut follower = Follower::new(REGISTRY_TOPIC);
    let mut listed: Vec<String> = Vec::new();
    loop {
        let (records, is_whole) = follower.next(&node, REGISTRY_WAIT_MS).await;
        if is_whole {
            listed.retain(|id| {
                let is_kept = records.iter().any(|record| record.key == *id);
                if !is_kept {
                    owner.offer(OwnerMessage::event(Event::Unlisted(id.as_str().into())));
                }
                is_kept
            });
        }
        for record in records {
            let entry = decode_endpoint(&record.key, &record.value);
            let place = listed.binary_search(&record.key);
            if let Some(entry) = entry {
                if let Err(place) = place {
                    listed.insert(place, record.key);
                }
                let event = Event::Listed {
                    entry: Box::new(entry),
                    is_fresh: !is_whole,
                };
                owner.send(OwnerMessage::event(event)).await;
            } else if let Ok(place) = place {
                // Removed, or overwritten by something that cannot be read.
                let id = listed.remove(place);
                owner
                    .send(OwnerMessage::event(Event::Unlisted(id.as_str().into())))
                    .await;
            }
        }
        sleep(Duration::from_millis(REGISTRY_PAUSE_MS)).await;
    }
}

/// Follows the list of VMs for an owner.
pub async fn follow_vms(calls: VmClient, owner: Arc<OwnerHandle>) {
    let mut is_lost = false;
    loop {
        match calls.list().await {
            Ok(vms) => {
                if is_lost {
                    info!(event = "vm_list_regained"; "");
                }
                is_lost = false;
                owner.send(OwnerMessage::event(Event::Vms(vms))).await;
            }
            Err(error) => {
                if !is_lost {
                    warn!(event = "vm_list_lost", reason = error.to_string().as_str(); "");
                }
                is_lost = true;
            }
        }
        sleep(Duration::from_millis(VMS_EVERY_MS)).await;
    }
}
