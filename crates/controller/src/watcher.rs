//! Watcher of the ownership log: follows the owner, claims the ownership when it is vacant, and
//! renews it.

use {
    crate::{
        clock,
        node::Node,
        owner::OwnerMessage,
        owner_lease::OwnerLease,
        ownership::{
            OwnershipKind, OwnershipRecord, OwnershipView, REFUSED_CONNECTIONS_MS,
            RENEWAL_INTERVAL_MS, SUSPICION_TIMEOUT_MS,
        },
        peer::{OWNERSHIP_PATH, OwnershipAction, OwnershipRequest, OwnershipResponse},
        polling::retry_delay_ms,
        standbys::{StandbyCandidates, StandbyRecord},
        takeover,
    },
    log::{info, warn},
    lynxwheel_platform::{AppendOutcome, ReadOutcome},
    lynxwheel_transport::{Client, TransportError},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// Topic of the ownership log.
pub const OWNERSHIP_TOPIC: &str = "lynxwheel-owner";

/// Maximum wait of a poll, in milliseconds.
const POLL_WAIT_MS: u64 = 700;

/// Delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// Minimum pause between two reads, in milliseconds; shorter than the timeout after which a node
/// would claim.
const MIN_PAUSE_MS: u64 = 800;

/// Range of the random delay before a claim, in milliseconds. Most nodes then see the first claim
/// and skip theirs.
const CLAIM_JITTER_MS: u64 = 120;

/// Timeout for the owner's response to a probe, in milliseconds; leaves room for a node that is ten
/// times slower than usual.
const PROBE_TIMEOUT_MS: u64 = 250;

/// Maximum duration of a read for the store to count as responsive, in milliseconds.
const PROMPT_READ_MS: u64 = 60;

/// Interval at which a larger node asks a small owner to release the ownership, in milliseconds.
/// Also delays the first request, since changing owners is costly and the larger node may be
/// short-lived.
const YIELD_REQUEST_INTERVAL_MS: u64 = 3_000;

/// Number of renewals after which the standbys are appended again: often enough for nodes that start
/// later, as the log keeps at least some seconds.
const RENEWALS_PER_STANDBY_RECORD: u32 = 10;

/// Maximum number of attempts to release the ownership; after that, others wait for the owner
/// timeout.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// Watches the ownership log until the process exits.
pub async fn watch(node: Arc<Node>) {
    let mut is_store_lost = false;
    let mut failures = 0;
    let mut yield_requested = Instant::now();
    loop {
        let is_read = tokio::select! {
            is_read = read_new_records(&node, POLL_WAIT_MS) => is_read,
            // The aborted poll loses nothing; its records are read again.
            () = owner_process_ended(&node) => read_new_records(&node, 0).await,
            () = owner_unresponsive(&node) => read_new_records(&node, 0).await,
        };
        if is_read == is_store_lost {
            is_store_lost = !is_read;
            if is_store_lost {
                warn!(event = "store_lost", duty = "ownership"; "reading the ownership log failed");
            } else {
                info!(
                    event = "store_regained", duty = "ownership";
                    "reading the ownership log succeeded again"
                );
            }
        }
        if !is_read {
            node.record_store_failure();
            failures += 1;
            wait_after_failure(&node, failures).await;
            continue;
        }
        failures = 0;
        node.record_store_contact();
        follow_owner(&node).await;
        if can_claim(&node) {
            claim(&node).await;
        }
        pause_between_reads(&node).await;
        if yield_requested.elapsed() > Duration::from_millis(YIELD_REQUEST_INTERVAL_MS)
            && has_small_owner(&node)
        {
            yield_requested = Instant::now();
            request_yield(&node).await;
        }
    }
}

/// Pauses a node between reads that need not follow every renewal, until it suspects that the owner
/// has failed.
///
/// A small node claims last in any case, and a fleet may have many of them; without the pause each
/// would read every renewal. While the owner responds, there is no need to know of its renewals.
async fn pause_between_reads(node: &Node) {
    if !may_pause(node) || node.is_owner_in_doubt() {
        return;
    }
    // A delegate has to learn of a newer epoch sooner, which ends the calls of the earlier owner.
    let pause_ms = if node.delegate_worker.is_active() {
        MIN_PAUSE_MS
    } else {
        node.max_poll_wait_ms().max(MIN_PAUSE_MS)
    };
    // Either result continues with the next read.
    let suspected = node.owner_suspected.notified();
    drop(timeout(Duration::from_millis(pause_ms), suspected).await);
}

/// Returns whether other nodes find and replace a failed owner sooner than this one.
fn may_pause(node: &Node) -> bool {
    if node.owner.load().is_some() || is_vacant(node) {
        return false;
    }
    let view = node.ownership.borrow();
    view.is_small(node.settings.cpu_millis) || view.has_standby_elsewhere(node.peer_address)
}

/// Waits before a failed read is repeated. Nodes that may pause wait longer with each failure.
async fn wait_after_failure(node: &Node, failures: u32) {
    let delay_ms = if may_pause(node) {
        retry_delay_ms(RETRY_DELAY_MS, failures, node.max_poll_wait_ms())
    } else {
        RETRY_DELAY_MS
    };
    sleep(Duration::from_millis(delay_ms)).await;
}

fn can_claim(node: &Node) -> bool {
    !node.stopping.has_begun() && node.owner.load().is_none() && is_vacant(node)
}

fn is_vacant(node: &Node) -> bool {
    let view = node.ownership.borrow();
    view.needs_owner(clock::steady_ms())
        || view.is_owner_restarted_at(node.incarnation, node.peer_address)
}

/// Reads and applies new records. Returns whether the read succeeded.
async fn read_new_records(node: &Node, wait_ms: u64) -> bool {
    let from = node.ownership.borrow().next_offset;
    let started_ms = clock::steady_ms();
    let read = node.store.read(OWNERSHIP_TOPIC, from, wait_ms).await;
    let now_ms = clock::steady_ms();
    let mut is_topic_missing = false;
    let is_read = match read {
        Ok(ReadOutcome::Records { records, .. }) => {
            node.ownership.send_modify(|view| {
                view.record_read(now_ms);
                for record in &records {
                    match StandbyRecord::decode(record) {
                        Some(standbys) => view.apply_standbys(&standbys),
                        None => view.apply(OwnershipRecord::decode(record).as_ref(), now_ms),
                    }
                }
            });
            true
        }
        Ok(ReadOutcome::Trimmed { first }) => {
            node.ownership.send_modify(|view| view.skip_to(first));
            true
        }
        Ok(ReadOutcome::Missing) => {
            node.ownership.send_modify(|view| view.record_read(now_ms));
            is_topic_missing = true;
            true
        }
        Err(_) => {
            node.ownership
                .send_modify(OwnershipView::record_read_failure);
            false
        }
    };
    if is_read {
        node.ownership_read_ms
            .fetch_max(started_ms, Ordering::Relaxed);
    }
    if is_topic_missing {
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
    is_read
}

/// Starts or stops the owner actor as the log requires.
async fn follow_owner(node: &Arc<Node>) {
    let owner = node.ownership.borrow().owner;
    let own = owner.filter(|owner| owner.incarnation == node.incarnation);
    let current = node.owner.load_full();
    match (current, own) {
        (Some(current), Some(own)) if current.epoch == own.epoch => {}
        (Some(current), _) => {
            if owner.is_some_and(|owner| owner.epoch > current.epoch) {
                current.try_send(OwnerMessage::Deposed);
            }
        }
        // The actor's append sequence is lost when it stops. A second actor for the same epoch
        // could mistake the result of an earlier append for its own.
        (None, Some(own)) if own.epoch == node.last_owned_epoch.load(Ordering::Relaxed) => {
            if !node.ownership.borrow().is_released {
                release(node, own.epoch).await;
            }
        }
        (None, Some(own)) if !node.stopping.has_begun() => {
            takeover::take_over(node, own.epoch).await;
        }
        (None, _) => {}
    }
}

/// Waits until the owner's address has refused connections for long enough.
async fn owner_process_ended(node: &Node) {
    node.owner_refused.notified().await;
    sleep(Duration::from_millis(REFUSED_CONNECTIONS_MS)).await;
}

/// Waits until the owner has missed its renewals and does not respond to a probe.
///
/// Detects a failed or disconnected VM before the owner timeout. An owner with a slow store also
/// misses renewals, but responds.
async fn owner_unresponsive(node: &Node) {
    loop {
        let until_suspected_ms = node
            .ownership
            .borrow()
            .until_suspected_ms(clock::steady_ms());
        match until_suspected_ms {
            Some(0) if !node.stopping.has_begun() && node.owner.load().is_none() => {
                if can_skip_probe(node) {
                    sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    continue;
                }
                let jitter_ms = node
                    .ownership
                    .borrow()
                    .probe_jitter_ms(node.settings.cpu_millis);
                sleep(Duration::from_millis(rand::random_range(0..jitter_ms))).await;
                if is_suspected(node) && !probe_owner(node).await {
                    return;
                }
            }
            Some(ms @ 1..) => sleep(Duration::from_millis(ms)).await,
            _ => sleep(Duration::from_millis(POLL_WAIT_MS)).await,
        }
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}

fn is_suspected(node: &Node) -> bool {
    node.ownership
        .borrow()
        .until_suspected_ms(clock::steady_ms())
        == Some(0)
}

/// Returns whether a small node need not probe the owner, having just had a response from it.
///
/// Larger nodes always probe, because an owner that is cut off from the store still responds to
/// requests.
fn can_skip_probe(node: &Node) -> bool {
    let is_small = node.ownership.borrow().is_small(node.settings.cpu_millis);
    is_small && node.has_owner_responded_within(clock::steady_ms(), SUSPICION_TIMEOUT_MS)
}

/// Probes the owner and records when it does not respond. Returns whether it is alive.
async fn probe_owner(node: &Node) -> bool {
    let (epoch, owner) = node.known_owner();
    let Some(owner) = owner else {
        return true;
    };
    // Uses a new connection, as a pooled one may be broken.
    let client = Client::new(owner.address, 1);
    let response =
        send_ownership_request(&client, epoch, OwnershipAction::Probe, PROBE_TIMEOUT_MS).await;
    let is_alive = match response {
        Ok(OwnershipResponse::Alive) => true,
        // Disconnected from the store, unless the store is slow for this node as well.
        Ok(OwnershipResponse::Unheard) => !is_store_prompt(node).await,
        _ => false,
    };
    if is_alive {
        return true;
    }
    info!(
        event = "owner_unresponsive", epoch = epoch, peer:% = owner.address,
        outcome:? = response;
        "owner does not respond"
    );
    let now_ms = clock::steady_ms();
    node.ownership
        .send_modify(|view| view.record_unresponsive(epoch, now_ms));
    false
}

async fn send_ownership_request(
    client: &Client,
    epoch: u64,
    action: OwnershipAction,
    timeout_ms: u64,
) -> Result<OwnershipResponse, TransportError> {
    let request = OwnershipRequest { epoch, action };
    let limit = Duration::from_millis(timeout_ms);
    client.post_message(OWNERSHIP_PATH, &request, limit).await
}

/// Returns whether the store responds to this node without delay.
async fn is_store_prompt(node: &Node) -> bool {
    let from = node.ownership.borrow().next_offset;
    let started = Instant::now();
    // The result is discarded; only the watch loop applies records, in order.
    let read = node.store.read(OWNERSHIP_TOPIC, from, 0).await;
    read.is_ok() && started.elapsed() < Duration::from_millis(PROMPT_READ_MS)
}

fn has_small_owner(node: &Node) -> bool {
    !node.stopping.has_begun() && node.ownership.borrow().has_small_owner(node.cpu_millis())
}

/// Asks a small owner to release the ownership to a larger node.
async fn request_yield(node: &Node) {
    let (epoch, owner) = node.known_owner();
    let Some(owner) = owner else {
        return;
    };
    let client = node.peers.get(owner.address);
    let response =
        send_ownership_request(&client, epoch, OwnershipAction::Yield, POLL_WAIT_MS).await;
    info!(
        event = "yield_asked", epoch = epoch, peer:% = owner.address,
        owner_cpu_millis = owner.cpu_millis, outcome:? = response.as_ref().ok();
        "owner asked to release the ownership"
    );
}

async fn claim(node: &Node) {
    let uptime_ms = clock::steady_ms().saturating_sub(node.started_ms);
    let claim_delay_ms = node
        .ownership
        .borrow()
        .claim_delay_ms(node.cpu_millis(), uptime_ms);
    let pause_ms = claim_delay_ms + rand::random_range(0..CLAIM_JITTER_MS);
    // Another node's claim ends the wait. A slow read may be abandoned, because the claim is
    // conditional on the offset.
    let pause = Duration::from_millis(pause_ms);
    let is_read = timeout(pause, read_new_records(node, pause_ms)).await;
    if is_read == Ok(false) || !can_claim(node) {
        return;
    }
    let record = node.ownership_record(OwnershipKind::Claim, 0);
    let at = node.ownership.borrow().next_offset;
    let outcome = node
        .store
        .append(OWNERSHIP_TOPIC, &[record.encode()], Some(at), None)
        .await;
    // A successful claim is read back from the log, even if the response was lost.
    info!(event = "claim", at = at, outcome:? = outcome; "ownership claim sent");
}

/// Renews the ownership until the task is aborted.
///
/// Starts with the takeover: loading the state from a slow store may exceed the owner timeout.
pub async fn renew(
    node: Arc<Node>,
    epoch: u64,
    lease: Arc<OwnerLease>,
    stored_end: Arc<AtomicU64>,
) {
    let mut record = node.ownership_record(OwnershipKind::Renewal, epoch);
    let mut candidates = StandbyCandidates::default();
    let mut renewals: u32 = 0;
    let mut previous_end = 0;
    loop {
        record.stored_end = stored_end.load(Ordering::Relaxed);
        record.cpu_millis = node.cpu_millis();
        let offset = node.ownership.borrow().renewal_offset(epoch, previous_end);
        let Some(at) = offset else {
            // The actor learns of the newer epoch from the watcher.
            lease.end();
            return;
        };
        let sent_ms = clock::steady_ms();
        let mut records = vec![record.encode()];
        renewals += 1;
        if renewals.is_multiple_of(RENEWALS_PER_STANDBY_RECORD) {
            candidates.record(&node.live_members(sent_ms), sent_ms);
            let standbys = candidates.next_record(epoch, record.cpu_millis);
            records.extend(standbys.map(|standbys| standbys.encode()));
        }
        let outcome = node
            .store
            .append(OWNERSHIP_TOPIC, &records, Some(at), None)
            .await;
        let pause_ms = match outcome {
            AppendOutcome::Stored { end, .. } => {
                previous_end = end;
                lease.record_renewal(sent_ms);
                // A slow store would otherwise let the proof of the ownership grow too old.
                RENEWAL_INTERVAL_MS.saturating_sub(clock::steady_ms().saturating_sub(sent_ms))
            }
            AppendOutcome::NothingDone | AppendOutcome::Unknown => {
                lease.record_unanswered_renewal(sent_ms);
                RETRY_DELAY_MS
            }
            // Another writer, or an earlier renewal without a response; the watcher reads it.
            _ => RETRY_DELAY_MS,
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Releases the ownership so that another node can claim it immediately.
pub async fn release(node: &Node, epoch: u64) {
    let record = node.ownership_record(OwnershipKind::Release, epoch);
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        // Unconditional: readers ignore the release of an outdated epoch.
        let outcome = node
            .store
            .append(OWNERSHIP_TOPIC, &[record.encode()], None, None)
            .await;
        info!(event = "release", epoch = epoch, outcome:? = outcome; "ownership release sent");
        if matches!(outcome, AppendOutcome::Stored { .. }) {
            return;
        }
        sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
    }
}
