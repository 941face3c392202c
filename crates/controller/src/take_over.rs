//! Taking the fleet over: earlier owners are shut out, what they stored is read, the duties begin.

use {
    crate::{
        carriers::Carriers,
        clock,
        commit::{STATE_TOPIC, Writer},
        dispatch::{Calls, Dispatcher},
        feeds,
        node::Node,
        owner::{Owner, OwnerHandle, OwnerMessage},
        shares::Shares,
        watcher,
    },
    kameo::{actor::Spawn, mailbox},
    log::{error, info, warn},
    lynxwheel_engine::{Engine, Event, Record, RecordKind, record_kind},
    lynxwheel_platform::{AdviceClient, EndpointClient, KeyedRecord, VmClient},
    metrics::{counter, histogram},
    std::{
        sync::{
            Arc, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Messages that wait for the actor at most; a sender waits, a feed that may lose some does not.
const MAILBOX: usize = 4_096;

/// Time between ticks, in milliseconds: repeats, renewals and plans need no finer grain.
const TICK_MS: u64 = 100;

/// Tries to shut earlier owners out before the take-over is given up.
const FENCE_TRIES: u32 = 8;

/// Time within which an order for a VM arrives once it is stored, in milliseconds: the longest that
/// such a call takes.
const VM_ORDER_MS: u64 = 1_200;

/// Pause after a failed step of taking over, in milliseconds.
const RETRY_MS: u64 = 100;

/// Takes up the owner's duties: shuts earlier owners out of the store, reads what they stored, and
/// starts the actor and its feeds.
pub async fn take_over(node: &Arc<Node>, epoch: u64) {
    let begun_ms = clock::steady_ms();
    let renewed_ms = Arc::new(AtomicU64::new(0));
    let writer = Writer::new(epoch, &node.settings);
    let renewals = tokio::spawn(watcher::renew(
        Arc::clone(node),
        epoch,
        Arc::clone(&renewed_ms),
        writer.stored_end(),
    ));
    node.taking_over.store(epoch, Ordering::Relaxed);
    let prepared = prepare(node, writer).await;
    match prepared {
        Ok((writer, records)) => {
            let handle = start(node, epoch, begun_ms, writer, records, renewed_ms);
            handle.renew_by(renewals);
        }
        Err(reason) => {
            renewals.abort();
            warn!(event = "take_over_failed", epoch = epoch, reason = reason.as_str(); "");
        }
    }
    node.taking_over.store(0, Ordering::Relaxed);
}

/// Shuts earlier owners out of the store, and reads what they stored.
async fn prepare(node: &Node, mut writer: Writer) -> Result<(Writer, Vec<KeyedRecord>), String> {
    let mut tries = 0;
    loop {
        match writer.fence(&node.store).await {
            Some(true) => break,
            Some(false) => return Err("a newer epoch writes".into()),
            None if tries < FENCE_TRIES => {
                tries += 1;
                sleep(Duration::from_millis(RETRY_MS)).await;
            }
            None => return Err("store out of reach".into()),
        }
    }
    let newest = node.store.latest_records(STATE_TOPIC).await;
    let (records, _) = newest.map_err(|error| error.to_string())?;
    Ok((writer, records))
}

fn start(
    node: &Arc<Node>,
    epoch: u64,
    begun_ms: u64,
    writer: Writer,
    stored: Vec<KeyedRecord>,
    renewed_ms: Arc<AtomicU64>,
) -> Arc<OwnerHandle> {
    let now = clock::now();
    let mut engine = Engine::new(node.engine_settings()).with_epoch(epoch);
    let offsets: Vec<Option<u64>> = stored.iter().map(|record| record.offset).collect();
    let records: Vec<Record> = stored
        .into_iter()
        .map(|KeyedRecord { key, value, .. }| Record { key, value })
        .collect();
    for key in engine.restore(&records, now) {
        error!(event = "record_unread", key = key; "");
    }
    bound_vm_rests(node, &mut engine, &records, &offsets);
    engine.handle(Event::Config(node.config.load_full()), now);
    let waves = node.waves.lock().unwrap_or_else(PoisonError::into_inner);
    for order in waves.iter() {
        engine.handle(Event::Wave(order.clone()), now);
    }
    drop(waves);
    let jobs = engine.jobs().count();
    // The actor gets the calls with its own reference, which exists only once it is spawned.
    let prepared = Owner::prepare_with_mailbox(mailbox::bounded(MAILBOX));
    let actor = prepared.actor_ref().clone();
    let endpoint_calls = EndpointClient::new(epoch);
    let vm_calls = node
        .settings
        .vm_service_address
        .map(|address| VmClient::new(address, node.settings.node_name.as_str(), epoch));
    let shares = Shares::new(node.settings.cpu_millis, node.settings.link_mbps);
    let carriers = Carriers::new(
        epoch,
        node.peer_address,
        actor.clone(),
        Arc::clone(&node.peers),
        shares,
    );
    let calls = Calls::new(
        actor.clone(),
        endpoint_calls,
        vm_calls.clone(),
        node.settings.advice_service_address.map(AdviceClient::new),
        node.store.clone(),
    );
    let dispatcher = Dispatcher::new(carriers, calls);
    let owner = Owner::new(Arc::clone(node), epoch, engine, writer, dispatcher);
    let handle = Arc::new(OwnerHandle::new(epoch, actor, renewed_ms));
    node.taken_epoch.store(epoch, Ordering::Relaxed);
    node.owner.store(Some(Arc::clone(&handle)));
    drop(prepared.spawn(owner));
    counter!("lynxwheel_take_overs_total").increment(1);
    let took_ms = clock::steady_ms().saturating_sub(begun_ms);
    histogram!("lynxwheel_take_over_seconds").record(Duration::from_millis(took_ms));
    info!(
        event = "ownership_taken", epoch = epoch, jobs = jobs, records = records.len(),
        took_ms = took_ms;
        ""
    );
    handle.add_duty(tokio::spawn(feeds::follow_registry(
        Arc::clone(node),
        Arc::clone(&handle),
    )));
    if let Some(vm_calls) = vm_calls {
        handle.add_duty(tokio::spawn(feeds::follow_vms(
            vm_calls,
            Arc::clone(&handle),
        )));
    }
    handle.add_duty(tokio::spawn(tick(Arc::clone(&handle))));
    handle
}

/// Tells the engine by when earlier owners' orders for VMs were stored, where this node heard it.
///
/// Two owners' orders for one VM must not follow each other closely. Times of day do not tell how
/// old an order is, as clocks jump; without this every VM ordered lately rests for the whole time,
/// and the pool whose turn it is gets its VMs seconds late.
fn bound_vm_rests(node: &Node, engine: &mut Engine, records: &[Record], offsets: &[Option<u64>]) {
    let view = node.view.borrow();
    let holder_ms = node.settings.bounds.vm_lease_ms + VM_ORDER_MS;
    for (record, offset) in records.iter().zip(offsets) {
        if record_kind(&record.key) == Some(RecordKind::Vm)
            && let Some(by_ms) = offset.and_then(|offset| view.stored_by_ms(offset))
        {
            engine.limit_vm_cooldown(&record.key, by_ms + holder_ms);
        }
    }
    if let Some(epoch) = view.ended_epoch() {
        engine.end_vm_cooldowns(epoch, node.begun_ms + VM_ORDER_MS);
    }
}

async fn tick(owner: Arc<OwnerHandle>) {
    loop {
        owner.send(OwnerMessage::Tick(clock::steady_ms())).await;
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}
