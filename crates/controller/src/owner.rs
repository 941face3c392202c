//! The owner's duties: one actor with the engine, and what feeds it.
//!
//! Every outcome, also silence, comes to the actor as an event. A batch is stored at a time; what
//! happens meanwhile joins the next one.

use {
    crate::{
        clock,
        commit::{Commit, STATE_TOPIC, Writer},
        dispatch::Dispatcher,
        feeds,
        node::Node,
        notes,
        ownership::{FRESH_MS, SUSPECT_MS},
        peer::{Ask, OwnerAnswer},
        watcher,
    },
    kameo::{
        Actor,
        actor::{ActorRef, Spawn},
        mailbox,
        message::{Context, Message},
    },
    log::{error, info, warn},
    lynxwheel_engine::{
        Batch, CallerAnswer, Effect, Engine, Event, JobId, Now, Record, RecordKind, ReplyToken,
        record_kind,
    },
    lynxwheel_platform::{AdviceCalls, EndpointCalls, KeyedRecord, VmCalls},
    metrics::{counter, histogram},
    std::{
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::oneshot, task::JoinHandle, time::sleep},
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

/// What the actor gets.
#[derive(Debug)]
pub enum OwnerMessage {
    /// An event for the engine.
    Event(Box<Event>),
    /// A caller's request.
    Ask(Ask, oneshot::Sender<OwnerAnswer>),
    /// The batch under way is stored.
    Stored,
    /// A newer owner writes or gives orders.
    Deposed,
    /// The node is stopping: hand over.
    Release,
}

impl OwnerMessage {
    /// Wraps an event.
    #[must_use]
    pub fn event(event: Event) -> Self {
        Self::Event(Box::new(event))
    }
}

/// The way to the owner's duties of this node.
#[derive(Debug)]
pub struct OwnerHandle {
    /// Epoch of the ownership.
    pub epoch: u64,
    actor: ActorRef<Owner>,
    renewed_ms: Arc<AtomicU64>,
    duties: Mutex<Vec<JoinHandle<()>>>,
}

impl OwnerHandle {
    /// Sends a message without waiting; it is lost when the mailbox is full or the actor gone.
    pub fn offer(&self, message: OwnerMessage) {
        if let Err(error) = self.actor.tell(message).try_send() {
            warn!(event = "owner_message_lost", reason = error.to_string().as_str(); "");
        }
    }

    /// Sends a message, and waits while the mailbox is full.
    pub async fn send(&self, message: OwnerMessage) {
        // The actor ends with the ownership; what comes after that concerns nobody.
        drop(self.actor.tell(message).send().await);
    }

    /// Tells whether its renewals get through to the log.
    #[must_use]
    pub fn is_heard(&self, now_ms: u64) -> bool {
        now_ms < self.renewed_ms() + SUSPECT_MS
    }

    fn renewed_ms(&self) -> u64 {
        self.renewed_ms.load(Ordering::Relaxed)
    }

    fn add_duty(&self, duty: JoinHandle<()>) {
        let mut duties = self.duties.lock().unwrap_or_else(PoisonError::into_inner);
        duties.push(duty);
    }

    fn end_duties(&self) {
        let mut duties = self.duties.lock().unwrap_or_else(PoisonError::into_inner);
        for duty in duties.drain(..) {
            duty.abort();
        }
    }
}

/// Asks the owner's duties of this node.
pub async fn ask_owner(owner: &OwnerHandle, ask: Ask) -> OwnerAnswer {
    let (sender, receiver) = oneshot::channel();
    owner.send(OwnerMessage::Ask(ask, sender)).await;
    receiver.await.unwrap_or(OwnerAnswer::Unclear)
}

/// The actor.
#[derive(Actor)]
pub struct Owner {
    node: Arc<Node>,
    epoch: u64,
    engine: Engine,
    writer: Writer,
    dispatcher: Option<Dispatcher>,
    in_flight: Option<Batch>,
    /// Callers that wait, sorted by token.
    waiting: Vec<(ReplyToken, oneshot::Sender<OwnerAnswer>)>,
    next_token: ReplyToken,
}

impl Message<OwnerMessage> for Owner {
    type Reply = ();

    async fn handle(&mut self, message: OwnerMessage, context: &mut Context<Self, ()>) {
        let now = clock::now();
        match message {
            OwnerMessage::Event(event) => {
                self.refresh_authority(&event, now);
                self.engine.handle(*event, now);
            }
            OwnerMessage::Ask(ask, reply) => self.ask(ask, reply, now),
            OwnerMessage::Stored => {
                if let Some(batch) = self.in_flight.take() {
                    let effects = self.engine.committed(batch, now);
                    self.carry_out(effects, context);
                }
            }
            OwnerMessage::Deposed => {
                info!(event = "deposed", epoch = self.epoch; "");
                self.end(context);
                return;
            }
            OwnerMessage::Release => {
                // What is under way is either stored before the successor shuts this owner out, or
                // refused; callers that wait for it are asked about again at the successor.
                let node = Arc::clone(&self.node);
                let epoch = self.epoch;
                tokio::spawn(async move { watcher::release(&node, epoch).await });
                self.end(context);
                return;
            }
        }
        let effects = self.engine.take_at_once();
        self.carry_out(effects, context);
        self.write(now, context);
        // Placing asks for advice at once.
        let effects = self.engine.take_at_once();
        self.carry_out(effects, context);
        notes::log_notes(self.epoch, &self.engine.take_notes());
    }
}

impl Owner {
    /// Allows orders for VMs only while nobody else can believe to be the owner.
    fn refresh_authority(&mut self, event: &Event, now: Now) {
        if !matches!(event, Event::Tick) {
            return;
        }
        self.engine.allow_vm_orders(self.is_fresh(now));
    }

    fn ask(&mut self, ask: Ask, reply: oneshot::Sender<OwnerAnswer>, now: Now) {
        let answer = match ask {
            Ask::Submit { job, queue, spec } => {
                let Ok(job) = job.parse::<JobId>() else {
                    return answer_now(reply, OwnerAnswer::Refused);
                };
                let token = self.wait(reply);
                let event = Event::Submit {
                    job,
                    queue,
                    spec,
                    token,
                };
                return self.engine.handle(event, now);
            }
            Ask::Cancel { job } => {
                let Ok(job) = job.parse::<JobId>() else {
                    return answer_now(reply, OwnerAnswer::Unknown);
                };
                if !self.may_deny(job, now) {
                    return answer_now(reply, OwnerAnswer::Unclear);
                }
                let token = self.wait(reply);
                return self.engine.handle(Event::Cancel { job, token }, now);
            }
            Ask::State { job } => self.state(&job, now),
            // Answered before they get here.
            Ask::Alive | Ask::Yield => OwnerAnswer::Refused,
            Ask::Pending { queue } => OwnerAnswer::Pending(self.engine.pending(&queue)),
        };
        answer_now(reply, answer);
    }

    /// Tells a job's state.
    fn state(&self, job: &str, now: Now) -> OwnerAnswer {
        let Ok(job) = job.parse::<JobId>() else {
            return OwnerAnswer::Unknown;
        };
        if let Some(state) = self.engine.shown(job) {
            return OwnerAnswer::State(state);
        }
        if self.may_deny(job, now) && !self.engine.is_unstored(job) {
            OwnerAnswer::Unknown
        } else {
            OwnerAnswer::Unclear
        }
    }

    /// Tells whether this owner may say of a job that it is not known.
    ///
    /// An owner that was cut off or suspended does not know the jobs of its successor; a caller
    /// would be told that its accepted job is gone, or that there was nothing to cancel.
    fn may_deny(&self, job: JobId, now: Now) -> bool {
        self.engine.shown(job).is_some() || self.is_fresh(now)
    }

    /// Tells whether the last renewal is so recent that nobody else can believe to be the owner.
    fn is_fresh(&self, now: Now) -> bool {
        let owner = self.node.owner.load();
        owner
            .as_ref()
            .is_some_and(|owner| now.steady_ms < owner.renewed_ms() + FRESH_MS)
    }

    fn wait(&mut self, reply: oneshot::Sender<OwnerAnswer>) -> ReplyToken {
        self.next_token += 1;
        self.waiting.push((self.next_token, reply));
        self.next_token
    }

    fn carry_out(&mut self, effects: Vec<Effect>, context: &Context<Self, ()>) {
        for effect in effects {
            match effect {
                Effect::Reply { token, answer } => self.reply(token, answer),
                Effect::Resign => {
                    warn!(event = "fenced", epoch = self.epoch; "");
                    drop(context.actor_ref().tell(OwnerMessage::Deposed).try_send());
                }
                other => {
                    if let Some(dispatcher) = &self.dispatcher {
                        dispatcher.carry_out(other, self.engine.endpoints());
                    }
                }
            }
        }
    }

    fn reply(&mut self, token: ReplyToken, answer: CallerAnswer) {
        let place = self
            .waiting
            .binary_search_by_key(&token, |(known, _)| *known);
        if let Ok(place) = place {
            let (_, reply) = self.waiting.remove(place);
            let answer = match answer {
                CallerAnswer::Accepted => OwnerAnswer::Accepted,
                CallerAnswer::Cancelled => OwnerAnswer::Cancelled,
                CallerAnswer::Unknown => OwnerAnswer::Unknown,
            };
            answer_now(reply, answer);
        }
    }

    /// Stores what has changed, unless a batch is under way.
    fn write(&mut self, now: Now, context: &mut Context<Self, ()>) {
        if self.in_flight.is_some() {
            return;
        }
        loop {
            let batch = self.engine.cut_batch(now);
            if !batch.records.is_empty() {
                let commit = self.writer.commit(&batch.records);
                self.in_flight = Some(batch);
                self.store(commit, context);
                return;
            }
            let effects = self.engine.committed(batch, now);
            if effects.is_empty() {
                return;
            }
            self.carry_out(effects, context);
        }
    }

    fn store(&self, commit: Commit, context: &Context<Self, ()>) {
        let store = self.node.store.clone();
        let actor = context.actor_ref().clone();
        tokio::spawn(async move {
            let message = if commit.store(&store).await {
                OwnerMessage::Stored
            } else {
                OwnerMessage::Deposed
            };
            drop(actor.tell(message).send().await);
        });
    }

    /// Ends the ownership here. Callers that wait learn nothing certain.
    fn end(&mut self, context: &mut Context<Self, ()>) {
        self.waiting.clear();
        if let Some(owner) = self.node.owner.swap(None) {
            owner.end_duties();
        }
        context.stop();
    }
}

fn answer_now(reply: oneshot::Sender<OwnerAnswer>, answer: OwnerAnswer) {
    // The caller may have left.
    let _ = reply.send(answer);
}

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
    match prepare(node, writer).await {
        Ok((writer, records)) => {
            let handle = start(node, epoch, begun_ms, writer, records, renewed_ms);
            handle.add_duty(renewals);
        }
        Err(reason) => {
            renewals.abort();
            warn!(event = "take_over_failed", epoch = epoch, reason = reason.as_str(); "");
        }
    }
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
    let newest = node.store.newest(STATE_TOPIC).await;
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
    let mut engine = Engine::new(node.engine_settings());
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
    let owner = Owner {
        node: Arc::clone(node),
        epoch,
        engine,
        writer,
        dispatcher: None,
        in_flight: None,
        waiting: Vec::new(),
        next_token: 0,
    };
    // The actor gets the calls with its own reference, which exists only once it is spawned.
    let prepared = Owner::prepare_with_mailbox(mailbox::bounded(MAILBOX));
    let actor = prepared.actor_ref().clone();
    let endpoint_calls = EndpointCalls::new(epoch);
    let vm_calls = node
        .settings
        .vm_service
        .map(|address| VmCalls::new(address, node.settings.node_name.as_str(), epoch));
    let dispatcher = Dispatcher::new(
        actor.clone(),
        endpoint_calls,
        vm_calls.clone(),
        node.settings.advice_service.map(AdviceCalls::new),
        node.store.clone(),
    );
    let owner = Owner {
        dispatcher: Some(dispatcher),
        ..owner
    };
    let handle = Arc::new(OwnerHandle {
        epoch,
        actor,
        renewed_ms,
        duties: Mutex::default(),
    });
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
    let holder_ms = node.settings.bounds.vm_holder_ms + VM_ORDER_MS;
    for (record, offset) in records.iter().zip(offsets) {
        if record_kind(&record.key) == Some(RecordKind::Vm)
            && let Some(by_ms) = offset.and_then(|offset| view.stored_by_ms(offset))
        {
            engine.bound_vm_rest(&record.key, by_ms + holder_ms);
        }
    }
}

async fn tick(owner: Arc<OwnerHandle>) {
    loop {
        owner.send(OwnerMessage::event(Event::Tick)).await;
        sleep(Duration::from_millis(TICK_MS)).await;
    }
}
