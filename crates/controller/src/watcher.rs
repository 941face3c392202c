//! Watching the ownership log: following the owner, claiming when there is none, renewing.

use {
    crate::{
        clock,
        node::Node,
        owner::OwnerMessage,
        ownership::{
            OwnershipKind, OwnershipRecord, OwnershipView, REFUSING_MS, RENEW_EVERY_MS, SUSPECT_MS,
        },
        peer::{OWNERSHIP_PATH, OwnershipAnswer, OwnershipAsk, OwnershipRequest},
        take_over,
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

/// Topic of the ownership records.
pub const OWNERSHIP_TOPIC: &str = "lynxwheel-owner";

/// Longest wait of a poll, in milliseconds.
const WAIT_MS: u64 = 700;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 100;

/// Rest of a small node between two reads, in milliseconds: shorter than the silence after which it would
/// claim.
const FOLLOWER_REST_MS: u64 = 800;

/// Claims are spread over this time, in milliseconds, so that most nodes see the first one and
/// save theirs.
const CLAIM_SPREAD_MS: u64 = 120;

/// Time for the owner's answer whether it is there, in milliseconds: calm answers take some 5 ms, and
/// a node slowed by ten still makes it.
const ALIVE_MS: u64 = 250;

/// Time in which a store that is not slow answers a read, in milliseconds: calm answers take 10 ms.
const PROMPT_MS: u64 = 60;

/// Time between asks of a larger node that a small owner may give up, in milliseconds: a change of
/// owners costs some tenths of a second, so it waits until the larger node has lived for a while.
const YIELD_EVERY_MS: u64 = 3_000;

/// Tries to give ownership up before the others have to find out by themselves.
const RELEASE_TRIES: u32 = 3;

/// Watches the ownership log for as long as the process lives.
pub async fn watch(node: Arc<Node>) {
    let mut is_lost = false;
    let mut asked = Instant::now();
    loop {
        let is_read = tokio::select! {
            is_read = read_on(&node, WAIT_MS) => is_read,
            // The poll is dropped: what it would have brought is read again.
            () = owner_ended(&node) => read_on(&node, 0).await,
            () = owner_unresponsive(&node) => read_on(&node, 0).await,
        };
        if is_read == is_lost {
            is_lost = !is_read;
            if is_lost {
                warn!(event = "store_lost", duty = "ownership"; "");
            } else {
                info!(event = "store_regained", duty = "ownership"; "");
            }
        }
        if !is_read {
            sleep(Duration::from_millis(RETRY_MS)).await;
            continue;
        }
        node.record_contact();
        follow(&node).await;
        if may_claim(&node) {
            claim(&node).await;
        }
        rest(&node).await;
        if asked.elapsed() > Duration::from_millis(YIELD_EVERY_MS) && has_small_owner(&node) {
            asked = Instant::now();
            ask_to_yield(&node).await;
        }
    }
}

/// Lets a small node rest before it reads on, unless it doubts who the owner is.
///
/// It would claim last in any case, and a fleet has many of them: each would read every renewal of the
/// owner.
async fn rest(node: &Node) {
    let is_follower = node.owner.load().is_none() && !is_vacant(node);
    if is_follower && node.view.borrow().is_small(node.settings.cpu_millis) {
        let pause = Duration::from_millis(FOLLOWER_REST_MS);
        // The end of the rest is as good as a doubt.
        drop(timeout(pause, node.owner_doubted.notified()).await);
    }
}

fn may_claim(node: &Node) -> bool {
    !node.stopping.has_begun() && node.owner.load().is_none() && is_vacant(node)
}

fn is_vacant(node: &Node) -> bool {
    let view = node.view.borrow();
    view.needs_owner(clock::steady_ms()) || view.is_predecessor(node.incarnation, node.peer_address)
}

/// Reads what was written since; tells whether that worked.
async fn read_on(node: &Node, wait_ms: u64) -> bool {
    let from = node.view.borrow().read_to;
    let read = node.store.read(OWNERSHIP_TOPIC, from, wait_ms).await;
    let now_ms = clock::steady_ms();
    let mut is_missing = false;
    let is_read = match read {
        Ok(ReadOutcome::Records { records, .. }) => {
            node.view.send_modify(|view| {
                // The renewal of this node's own duties may have moved on meanwhile.
                view.note_read(now_ms);
                for record in &records {
                    view.apply(OwnershipRecord::decode(record).as_ref(), now_ms);
                }
            });
            true
        }
        Ok(ReadOutcome::Trimmed { first }) => {
            node.view.send_modify(|view| view.skip_to(first));
            true
        }
        Ok(ReadOutcome::Missing) => {
            node.view.send_modify(|view| view.note_read(now_ms));
            is_missing = true;
            true
        }
        Err(_) => {
            node.view.send_modify(OwnershipView::note_failure);
            false
        }
    };
    if is_missing {
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
    is_read
}

/// Takes up the owner's duties, or lays them down, as the log says.
async fn follow(node: &Arc<Node>) {
    let owner = node.view.borrow().owner;
    let mine = owner.filter(|owner| owner.incarnation == node.incarnation);
    let current = node.owner.load_full();
    match (current, mine) {
        (Some(current), Some(mine)) if current.epoch == mine.epoch => {}
        (Some(current), _) => {
            if owner.is_some_and(|owner| owner.epoch > current.epoch) {
                current.offer(OwnerMessage::Deposed);
            }
        }
        // The numbers of its appends are gone with the duties that were laid down: a second life
        // under one epoch could take another append's answer for its own.
        (None, Some(mine)) if mine.epoch == node.taken_epoch.load(Ordering::Relaxed) => {
            if !node.view.borrow().is_released {
                release(node, mine.epoch).await;
            }
        }
        (None, Some(mine)) if !node.stopping.has_begun() => {
            take_over::take_over(node, mine.epoch).await;
        }
        (None, _) => {}
    }
}

/// Waits until the owner's process is known to be over.
async fn owner_ended(node: &Node) {
    node.owner_refused.notified().await;
    sleep(Duration::from_millis(REFUSING_MS)).await;
}

/// Waits until the owner is silent in the log and does not answer when it is asked.
///
/// Its VM may have lost power or been cut off, and waiting for the whole silence keeps every caller
/// for as long. While the store is slow, a sound owner is silent too, but answers.
async fn owner_unresponsive(node: &Node) {
    loop {
        let unsuspected_ms = node.view.borrow().unsuspected_ms(clock::steady_ms());
        match unsuspected_ms {
            Some(0) if !node.stopping.has_begun() && node.owner.load().is_none() => {
                if is_heard_of(node) {
                    sleep(Duration::from_millis(RETRY_MS)).await;
                    continue;
                }
                let spread_ms = node.view.borrow().ask_spread_ms(node.settings.cpu_millis);
                sleep(Duration::from_millis(rand::random_range(0..spread_ms))).await;
                if is_suspected(node) && !is_owner_alive(node).await {
                    return;
                }
            }
            Some(ms @ 1..) => sleep(Duration::from_millis(ms)).await,
            _ => sleep(Duration::from_millis(WAIT_MS)).await,
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}

fn is_suspected(node: &Node) -> bool {
    node.view.borrow().unsuspected_ms(clock::steady_ms()) == Some(0)
}

/// Tells whether a small node need not ask, as the owner has just answered some request of it.
///
/// Larger nodes ask all the same: an owner that is cut off from the store goes on answering.
fn is_heard_of(node: &Node) -> bool {
    let is_small = node.view.borrow().is_small(node.settings.cpu_millis);
    is_small && node.has_owner_answered_within(clock::steady_ms(), SUSPECT_MS)
}

/// Asks the owner whether it is there, and notes when it does not answer.
async fn is_owner_alive(node: &Node) -> bool {
    let (epoch, owner) = node.known_owner();
    let Some(owner) = owner else {
        return true;
    };
    // On a connection of its own: one in use may have fallen silent by itself.
    let client = Client::new(owner.address, 1);
    let answer = ask_ownership(&client, epoch, OwnershipAsk::Alive, ALIVE_MS).await;
    let is_alive = match answer {
        Ok(OwnershipAnswer::Alive) => true,
        // Cut off from the store, unless the store is slow for everybody.
        Ok(OwnershipAnswer::Unheard) => !is_store_prompt(node).await,
        _ => false,
    };
    if is_alive {
        return true;
    }
    info!(
        event = "owner_unresponsive", epoch = epoch, peer:% = owner.address,
        outcome:? = answer;
        ""
    );
    let now_ms = clock::steady_ms();
    node.view
        .send_modify(|view| view.note_unresponsive(epoch, now_ms));
    false
}

async fn ask_ownership(
    client: &Client,
    epoch: u64,
    ask: OwnershipAsk,
    limit_ms: u64,
) -> Result<OwnershipAnswer, TransportError> {
    let request = OwnershipRequest { epoch, ask };
    let limit = Duration::from_millis(limit_ms);
    client.exchange(OWNERSHIP_PATH, &request, limit).await
}

/// Tells whether the store answers this node as promptly as on a calm day.
async fn is_store_prompt(node: &Node) -> bool {
    let from = node.view.borrow().read_to;
    let begun = Instant::now();
    // What it reads is read again by the watch itself, which keeps the order of records.
    let read = node.store.read(OWNERSHIP_TOPIC, from, 0).await;
    read.is_ok() && begun.elapsed() < Duration::from_millis(PROMPT_MS)
}

fn has_small_owner(node: &Node) -> bool {
    !node.stopping.has_begun() && node.view.borrow().has_small_owner(node.cpu_millis())
}

/// Asks a small owner to give up, so that a larger node follows it.
async fn ask_to_yield(node: &Node) {
    let (epoch, owner) = node.known_owner();
    let Some(owner) = owner else {
        return;
    };
    let client = node.peers.get(owner.address);
    let answer = ask_ownership(&client, epoch, OwnershipAsk::Yield, WAIT_MS).await;
    info!(
        event = "yield_asked", epoch = epoch, peer:% = owner.address,
        owner_cpu_millis = owner.cpu_millis, outcome:? = answer.as_ref().ok();
        ""
    );
}

async fn claim(node: &Node) {
    let lived_ms = clock::steady_ms().saturating_sub(node.begun_ms);
    let size_ms = node
        .view
        .borrow()
        .claim_delay_ms(node.cpu_millis(), lived_ms);
    let pause_ms = size_ms + rand::random_range(0..CLAIM_SPREAD_MS);
    // Another's claim ends the wait. A slow store's answer is not waited for, as the claim is made on
    // a condition.
    let pause = Duration::from_millis(pause_ms);
    let is_read = timeout(pause, read_on(node, pause_ms)).await;
    if is_read == Ok(false) || !may_claim(node) {
        return;
    }
    let record = node.ownership_record(OwnershipKind::Claim, 0);
    let at = node.view.borrow().read_to;
    let outcome = node
        .store
        .append(OWNERSHIP_TOPIC, &[record.encode()], Some(at), None)
        .await;
    // A claim that succeeded is read back, also when its answer was lost.
    info!(event = "claim", at = at, outcome:? = outcome; "");
}

/// Renews this node's ownership until the task is ended.
///
/// Begins with the take-over, which a slow store draws out: silence until its end would call for
/// the next claim before the first owner has begun.
pub async fn renew(
    node: Arc<Node>,
    epoch: u64,
    renewed_ms: Arc<AtomicU64>,
    stored_end: Arc<AtomicU64>,
) {
    let mut record = node.ownership_record(OwnershipKind::Renewal, epoch);
    let mut at = node.view.borrow().read_to;
    loop {
        record.stored_end = stored_end.load(Ordering::Relaxed);
        record.cpu_millis = node.cpu_millis();
        at = at.max(node.view.borrow().read_to);
        let sent_ms = clock::steady_ms();
        let outcome = node
            .store
            .append(
                OWNERSHIP_TOPIC,
                std::slice::from_ref(&record.encode()),
                Some(at),
                None,
            )
            .await;
        let pause_ms = match outcome {
            AppendOutcome::Stored { end, .. } => {
                at = end;
                renewed_ms.store(sent_ms, Ordering::Relaxed);
                RENEW_EVERY_MS
            }
            // Somebody else has written, or an earlier renewal without answer: the watcher tells.
            _ => RETRY_MS,
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Gives this node's ownership up, so that another node claims at once.
pub async fn release(node: &Node, epoch: u64) {
    let record = node.ownership_record(OwnershipKind::Release, epoch);
    for _ in 0..RELEASE_TRIES {
        // On no condition: readers pass over the release of an epoch that is not in force.
        let outcome = node
            .store
            .append(OWNERSHIP_TOPIC, &[record.encode()], None, None)
            .await;
        info!(event = "release", epoch = epoch, outcome:? = outcome; "");
        if matches!(outcome, AppendOutcome::Stored { .. }) {
            return;
        }
        sleep(Duration::from_millis(RETRY_MS)).await;
    }
}
