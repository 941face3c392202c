//! Takeover of the ownership: fences earlier owners, loads the stored state and starts the owner
//! actor.

use {
    crate::{
        assignments::EndpointAssignments,
        clock,
        commit::{STATE_TOPIC, Writer},
        delegate_pool::DelegatePool,
        dispatch::{Dispatcher, LocalCalls},
        feeds,
        node::Node,
        owner::{OwnerActor, OwnerHandle, OwnerMessage},
        owner_lease::OwnerLease,
        publisher::StatusPublisher,
        record_parts::{JoinedRecords, RecordParts},
        watcher,
    },
    kameo::{actor::Spawn, mailbox},
    log::{error, info, warn},
    lynxwheel_engine::{
        Engine, EngineSettings, Event, Record, RecordKind, UnreadCause, UnreadRecord, record_kind,
    },
    lynxwheel_platform::{AdviceClient, EndpointClient, PlatformError, StoreClient, VmClient},
    metrics::{counter, histogram},
    std::{
        sync::{Arc, PoisonError, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Mailbox capacity of the owner actor. Senders wait while it is full, except those whose messages may
/// be lost.
const MAILBOX_CAPACITY: usize = 4_096;

/// Interval between ticks, in milliseconds. Retries, renewals and plans need no finer one.
const TICK_INTERVAL_MS: u64 = 100;

/// Maximum number of retries to fence earlier owners.
const MAX_FENCE_RETRIES: u32 = 8;

/// Maximum time from storing a VM order to its arrival at the VM service, in milliseconds.
const VM_ORDER_TIMEOUT_MS: u64 = 1_200;

/// Delay before a fencing attempt is repeated, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// Maximum number of reads of the stored records in one takeover.
const MAX_READS: u32 = 4;

/// Delay before the stored records are read again, in milliseconds.
const READ_AGAIN_DELAY_MS: u64 = 50;

/// State restored from the stored records.
#[derive(Debug)]
pub struct LoadedState {
    /// Engine with the restored state.
    pub engine: Engine,
    stored: JoinedRecords,
    /// Offset at which the topic ended when the first page was read.
    end_offset: u64,
}

impl LoadedState {
    /// Reads the stored records, again if a job's description or a part of a record is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read.
    pub async fn load(
        store: &StoreClient,
        settings: EngineSettings,
        epoch: u64,
    ) -> Result<Self, PlatformError> {
        let mut reads = 0;
        loop {
            let (stored, end) = store.latest_records(STATE_TOPIC).await?;
            reads += 1;
            let stored = JoinedRecords::new(stored);
            let mut engine = Engine::new(settings).with_epoch(epoch);
            let unread = engine.restore(&stored.records, clock::now());
            let is_incomplete = !stored.incomplete.is_empty() && reads < MAX_READS;
            if is_incomplete || is_read_again_due(&unread, reads) {
                info!(
                    event = "records_read_again", epoch = epoch, reads = reads;
                    "descriptions of jobs or parts of records are missing"
                );
                sleep(Duration::from_millis(READ_AGAIN_DELAY_MS)).await;
                continue;
            }
            log_unread(epoch, &unread, &stored);
            return Ok(Self {
                engine,
                stored,
                end_offset: end.end,
            });
        }
    }
}

/// Returns whether the stored records are to be read again after a number of reads.
///
/// Pages of the records form no snapshot, so a record may be missing from one read only. Other
/// unread records are the same in each read.
#[must_use]
pub fn is_read_again_due(unread: &[UnreadRecord<'_>], reads: u32) -> bool {
    let mut causes = unread.iter().map(|record| record.cause);
    reads < MAX_READS && causes.any(|cause| cause == UnreadCause::MissingSpec)
}

/// Fences earlier owners, loads the stored state, and starts the owner actor and its feeds.
pub async fn take_over(node: &Arc<Node>, epoch: u64) {
    let started_ms = clock::steady_ms();
    let lease = Arc::new(OwnerLease::new(Arc::clone(&node.suspension), started_ms));
    let writer = Writer::new(epoch, node.settings.max_append_bytes / 2);
    let renewal_task = tokio::spawn(watcher::renew(
        Arc::clone(node),
        epoch,
        Arc::clone(&lease),
        writer.stored_end(),
    ));
    node.takeover_epoch.store(epoch, Ordering::Relaxed);
    let prepared = fence_and_load(node, epoch, &writer, &lease).await;
    match prepared {
        Ok(loaded) => {
            let handle = start_owner(node, epoch, started_ms, writer, loaded, lease);
            handle.set_renewal_task(renewal_task);
        }
        Err(reason) => {
            renewal_task.abort();
            warn!(
                event = "take_over_failed", epoch = epoch, reason = reason.as_str();
                "takeover failed"
            );
        }
    }
    node.takeover_epoch.store(0, Ordering::Relaxed);
}

/// Fences earlier owners and loads the stored state.
async fn fence_and_load(
    node: &Node,
    epoch: u64,
    writer: &Writer,
    lease: &OwnerLease,
) -> Result<LoadedState, String> {
    let mut retries = 0;
    loop {
        let sent_ms = clock::steady_ms();
        match writer.fence(&node.store).await {
            Some(true) => {
                lease.record_commit(sent_ms);
                break;
            }
            Some(false) => return Err("the epoch is fenced or already in use".into()),
            None if retries < MAX_FENCE_RETRIES => {
                retries += 1;
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
            None => return Err("store unreachable".into()),
        }
    }
    let loaded = LoadedState::load(&node.store, node.engine_settings(), epoch).await;
    loaded.map_err(|error| error.to_string())
}

fn start_owner(
    node: &Arc<Node>,
    epoch: u64,
    started_ms: u64,
    writer: Writer,
    loaded: LoadedState,
    lease: Arc<OwnerLease>,
) -> Arc<OwnerHandle> {
    let now = clock::now();
    let LoadedState {
        mut engine,
        stored,
        end_offset,
    } = loaded;
    let parts = RecordParts::new(node.settings.max_record_bytes).with_stored(&stored);
    let writer = writer.with_parts(parts);
    limit_vm_cooldowns(node, &mut engine, &stored.records, &stored.offsets);
    engine.handle(Event::ConfigChanged(node.config.load_full()), now);
    let waves = node
        .wave_orders
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    for order in waves.iter() {
        engine.handle(Event::WaveOrdered(order.clone()), now);
    }
    drop(waves);
    let jobs = engine.jobs().count();
    let endpoints = engine.endpoints().iter();
    let inherited_runs: usize = endpoints.map(|(_, known)| known.placed_runs.len()).sum();
    // The calls need a reference to the actor, so it is prepared first and spawned below.
    let prepared = OwnerActor::prepare_with_mailbox(mailbox::bounded(MAILBOX_CAPACITY));
    let actor = prepared.actor_ref().clone();
    let may_order = lease.condition(OwnerLease::may_order_endpoints);
    let may_renew = lease.condition(OwnerLease::may_renew_leases);
    let endpoint_client = EndpointClient::new(epoch).with_conditions(may_order.clone(), may_renew);
    let vm_client = node.settings.vm_service_address.map(|address| {
        VmClient::new(address, node.settings.node_name.as_str(), epoch)
            .with_condition(lease.condition(OwnerLease::may_order_vms))
    });
    let assignments = EndpointAssignments::new(node.settings.cpu_millis, node.settings.link_mbps);
    let delegates = DelegatePool::new(
        epoch,
        node.peer_address,
        actor.clone(),
        Arc::clone(&node.peers),
        assignments,
        may_order,
    );
    let calls = LocalCalls::new(
        actor.clone(),
        endpoint_client,
        vm_client.clone(),
        node.settings.advice_service_address.map(AdviceClient::new),
    );
    let publisher = StatusPublisher::start(node.store.clone(), epoch);
    let dispatcher = Dispatcher::new(delegates, calls, publisher);
    let owner = OwnerActor::new(
        Arc::clone(node),
        epoch,
        Arc::clone(&lease),
        engine,
        writer,
        dispatcher,
    );
    let handle = Arc::new(OwnerHandle::new(epoch, actor, lease));
    node.last_owned_epoch.store(epoch, Ordering::Relaxed);
    node.owner.store(Some(Arc::clone(&handle)));
    node.became_owner.notify_one();
    drop(prepared.spawn(owner));
    counter!("lynxwheel_take_overs_total").increment(1);
    let took_ms = clock::steady_ms().saturating_sub(started_ms);
    histogram!("lynxwheel_take_over_seconds").record(Duration::from_millis(took_ms));
    info!(
        event = "ownership_taken", epoch = epoch, jobs = jobs, records = stored.records.len(),
        end_offset = end_offset, inherited_runs = inherited_runs, took_ms = took_ms;
        "takeover completed"
    );
    handle.add_task(tokio::spawn(feeds::follow_registry(
        Arc::clone(node),
        Arc::clone(&handle),
    )));
    if let Some(vm_client) = vm_client {
        handle.add_task(tokio::spawn(feeds::follow_vms(
            vm_client,
            Arc::clone(&handle),
        )));
    }
    handle.add_task(tokio::spawn(send_ticks(Arc::clone(&handle))));
    handle
}

/// Logs and counts the stored records that are not used.
fn log_unread(epoch: u64, unread: &[UnreadRecord<'_>], stored: &JoinedRecords) {
    for &UnreadRecord { key, index, cause } in unread {
        log_unread_record(epoch, key, stored.offsets[index], cause_label(cause));
    }
    for key in &stored.incomplete {
        log_unread_record(epoch, key, None, "missing_part");
    }
}

fn log_unread_record(epoch: u64, key: &str, offset: Option<u64>, cause: &'static str) {
    counter!("lynxwheel_records_unread_total", "cause" => cause).increment(1);
    error!(
        event = "record_unread", epoch = epoch, key = key, offset:? = offset, cause = cause;
        "stored record is not used"
    );
}

fn cause_label(cause: UnreadCause) -> &'static str {
    match cause {
        UnreadCause::MissingSpec => "missing_description",
        UnreadCause::Undecodable => "undecodable",
        UnreadCause::UnknownKey => "unknown_key",
    }
}

/// Tells the engine the latest time at which earlier owners' VM orders can have been stored.
///
/// Orders of two owners for the same VM must not follow each other closely. Wall clock times cannot
/// tell the age of an order, and without this bound every recently ordered VM would be held back
/// for the maximum time.
fn limit_vm_cooldowns(
    node: &Node,
    engine: &mut Engine,
    records: &[Record],
    offsets: &[Option<u64>],
) {
    let view = node.ownership.borrow();
    let lease_ms = node.settings.bounds.vm_lease_ms + VM_ORDER_TIMEOUT_MS;
    for (record, offset) in records.iter().zip(offsets) {
        if record_kind(&record.key) == Some(RecordKind::Vm)
            && let Some(by_ms) = offset.and_then(|offset| view.stored_by_ms(offset))
        {
            engine.limit_vm_cooldown(&record.key, by_ms + lease_ms);
        }
    }
    if let Some(epoch) = view.ended_predecessor_epoch() {
        engine.end_vm_cooldowns(epoch, node.started_ms + VM_ORDER_TIMEOUT_MS);
    }
}

async fn send_ticks(owner: Arc<OwnerHandle>) {
    loop {
        owner.send(OwnerMessage::Tick(clock::steady_ms())).await;
        sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
    }
}
