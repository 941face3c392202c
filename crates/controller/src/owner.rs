//! The owner's duties: one actor with the engine.
//!
//! Every outcome, also silence, comes to the actor as an event. A batch is stored at a time, and what
//! happens meanwhile joins the next one; while the store is slow, a few are under way at once.

use {
    crate::{
        calls::{CallResult, EndpointCall},
        clock,
        commit::{Commit, Writer},
        delegate_messages::{CallNumber, DelegatedCall},
        dispatch::Dispatcher,
        in_flight::InFlightBatches,
        load::OwnerLoad,
        node::Node,
        notes,
        ownership::FRESH_RENEWAL_MS,
        peer::{CallerRequest, OwnerResponse},
        watcher,
    },
    kameo::{
        Actor,
        actor::ActorRef,
        message::{Context, Message},
    },
    log::{info, warn},
    lynxwheel_engine::{CallerAnswer, Effect, Engine, Event, JobId, Now, ReplyToken},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
    tokio::{sync::oneshot, task::JoinHandle},
};

/// What the actor gets.
#[derive(Debug)]
pub enum OwnerMessage {
    /// An event for the engine.
    Event(Box<Event>),
    /// Time has passed; it was sent at this time on the steady clock, in milliseconds.
    Tick(u64),
    /// A caller's request.
    CallerRequest(CallerRequest, oneshot::Sender<OwnerResponse>),
    /// What came of calls that another node made for this owner.
    DelegateResults(SocketAddr, Vec<(CallNumber, CallResult)>),
    /// Another node took none of these calls.
    CallsRefused(SocketAddr, Vec<DelegatedCall>),
    /// Another node that makes calls for this owner does not answer.
    DelegateLost(SocketAddr),
    /// The batch under way with this number is stored.
    BatchStored(u64),
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
    actor: ActorRef<OwnerActor>,
    renewed_ms: Arc<AtomicU64>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    renewal_task: Mutex<Option<JoinHandle<()>>>,
}

impl OwnerHandle {
    /// Sends a message without waiting; it is lost when the mailbox is full or the actor gone.
    pub fn try_send(&self, message: OwnerMessage) {
        if let Err(error) = self.actor.tell(message).try_send() {
            warn!(event = "owner_message_lost", reason = error.to_string().as_str(); "");
        }
    }

    /// Sends a message, and waits while the mailbox is full.
    pub async fn send(&self, message: OwnerMessage) {
        // The actor ends with the ownership; what comes after that concerns nobody.
        drop(self.actor.tell(message).send().await);
    }

    /// Tells whether the last renewal in the log is younger than `age_ms`.
    #[must_use]
    pub fn is_renewed_within(&self, now_ms: u64, age_ms: u64) -> bool {
        now_ms < self.renewed_ms.load(Ordering::Relaxed) + age_ms
    }

    pub(crate) fn new(epoch: u64, actor: ActorRef<OwnerActor>, renewed_ms: Arc<AtomicU64>) -> Self {
        Self {
            epoch,
            actor,
            renewed_ms,
            tasks: Mutex::default(),
            renewal_task: Mutex::default(),
        }
    }

    /// Takes the task that renews the ownership.
    pub(crate) fn set_renewal_task(&self, renewal_task: JoinHandle<()>) {
        let mut known = self
            .renewal_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *known = Some(renewal_task);
    }

    /// Renews the ownership no more, and counts as not renewed from now on: another owner may be
    /// there at any moment, so that this one gives no order for a VM and denies no job. Tells whether
    /// it was renewed until now.
    fn stop_renewals(&self) -> bool {
        self.renewed_ms.store(0, Ordering::Relaxed);
        let mut known = self
            .renewal_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let renewal_task = known.take();
        if let Some(renewal_task) = &renewal_task {
            renewal_task.abort();
        }
        renewal_task.is_some()
    }

    pub(crate) fn add_task(&self, task: JoinHandle<()>) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push(task);
    }

    fn abort_tasks(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for task in tasks.drain(..) {
            task.abort();
        }
        drop(tasks);
        self.stop_renewals();
    }
}

/// Asks the owner's duties of this node.
pub async fn request_owner(owner: &OwnerHandle, request: CallerRequest) -> OwnerResponse {
    let (sender, receiver) = oneshot::channel();
    owner
        .send(OwnerMessage::CallerRequest(request, sender))
        .await;
    receiver.await.unwrap_or(OwnerResponse::Unclear)
}

/// The actor.
#[derive(Actor)]
pub struct OwnerActor {
    node: Arc<Node>,
    epoch: u64,
    engine: Engine,
    writer: Writer,
    dispatcher: Dispatcher,
    in_flight: InFlightBatches,
    load: OwnerLoad,
    is_store_unavailable: bool,
    /// Callers that wait, sorted by token.
    pending_replies: Vec<(ReplyToken, oneshot::Sender<OwnerResponse>)>,
    last_token: ReplyToken,
}

impl Message<OwnerMessage> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, message: OwnerMessage, context: &mut Context<Self, ()>) {
        let started = Instant::now();
        let now = clock::now();
        match message {
            OwnerMessage::Event(event) => self.engine.handle(*event, now),
            OwnerMessage::Tick(sent_ms) => {
                self.load
                    .record_delay(now.steady_ms.saturating_sub(sent_ms));
                self.update_store_status(now);
                self.refresh_config(now);
                // Only while nobody else can believe to be the owner.
                self.engine.allow_vm_orders(self.is_recently_renewed(now));
                self.engine.handle(Event::Tick, now);
                self.tick_delegates(now);
            }
            OwnerMessage::DelegateResults(address, results) => {
                let events = self.dispatcher.delegates.apply_results(address, results);
                self.handle_events(events, now);
            }
            OwnerMessage::CallsRefused(address, calls) => self.call_locally(address, calls, now),
            OwnerMessage::DelegateLost(address) => {
                let events = self.dispatcher.delegates.mark_lost(address, now.steady_ms);
                self.handle_events(events, now);
            }
            OwnerMessage::CallerRequest(request, reply) => self.handle_request(request, reply, now),
            OwnerMessage::BatchStored(number) => {
                for batch in self.in_flight.mark_stored(number, now.steady_ms) {
                    let effects = self.engine.committed(batch, now);
                    self.execute_effects(effects, now, context);
                }
            }
            OwnerMessage::Deposed => {
                info!(event = "deposed", epoch = self.epoch; "");
                self.stop(context);
                return;
            }
            OwnerMessage::Release => {
                // The duties go on until the successor shuts this owner out: a slow store lets it take
                // seconds to come, in which nothing started and every caller waited. What is under
                // way then is either stored before, or refused; callers that wait for it are asked
                // about again at the successor.
                let owner = self.node.owner.load_full();
                if owner.is_some_and(|owner| !owner.stop_renewals()) {
                    return;
                }
                let node = Arc::clone(&self.node);
                let epoch = self.epoch;
                tokio::spawn(async move { watcher::release(&node, epoch).await });
            }
        }
        let effects = self.engine.take_at_once();
        self.execute_effects(effects, now, context);
        self.store_batches(now, context);
        // Placing asks for advice at once.
        let effects = self.engine.take_at_once();
        self.execute_effects(effects, now, context);
        notes::log_notes(self.epoch, &self.engine.take_notes());
        self.load.record_message(started);
    }
}

impl OwnerActor {
    /// Creates the actor of an epoch.
    pub(crate) fn new(
        node: Arc<Node>,
        epoch: u64,
        engine: Engine,
        writer: Writer,
        dispatcher: Dispatcher,
    ) -> Self {
        Self {
            node,
            epoch,
            engine,
            writer,
            dispatcher,
            in_flight: InFlightBatches::default(),
            load: OwnerLoad::default(),
            is_store_unavailable: false,
            pending_replies: Vec::new(),
            last_token: 0,
        }
    }

    /// Hands the engine a configuration whose event was lost, or came before this owner was there.
    fn refresh_config(&mut self, now: Now) {
        let config = self.node.config.load();
        if config.version > self.engine.config_version() {
            self.engine.handle(Event::Config(Arc::clone(&config)), now);
        }
    }

    /// Notices when the store goes away and when it is back.
    fn update_store_status(&mut self, now: Now) {
        let is_unavailable = self.in_flight.is_store_unavailable(now.steady_ms);
        if is_unavailable != self.is_store_unavailable {
            self.is_store_unavailable = is_unavailable;
            let event = if is_unavailable {
                "store_away"
            } else {
                "store_back"
            };
            warn!(event = event, epoch = self.epoch; "");
        }
        self.engine.set_store_away(is_unavailable);
    }

    fn handle_events(&mut self, events: Vec<Event>, now: Now) {
        for event in events {
            self.engine.handle(event, now);
        }
    }

    /// Makes calls from here that another node did not take.
    fn call_locally(&mut self, address: SocketAddr, calls: Vec<DelegatedCall>, now: Now) {
        let delegates = &mut self.dispatcher.delegates;
        let (own, events) = delegates.handle_refusal(address, calls, now.steady_ms);
        for (key, DelegatedCall { to, mut call, .. }) in own {
            if self.attach_payload(&mut call) {
                self.dispatcher.call_locally(key, to, call);
            } else if let Some(event) = call.subject().unknown_outcome_event(key) {
                self.engine.handle(event, now);
            }
        }
        self.handle_events(events, now);
    }

    /// Adds the payload that is left out of a start on its way to another node; tells whether the call
    /// is whole. A start without its payload would run something else than the caller sent.
    fn attach_payload(&self, call: &mut EndpointCall) -> bool {
        let EndpointCall::Start(order) = call else {
            return true;
        };
        let payload = self.engine.payload(order.task.job);
        payload.is_some_and(|payload| {
            order.payload.clone_from(payload);
            true
        })
    }

    /// Looks after the nodes that make calls for this owner.
    fn tick_delegates(&mut self, now: Now) {
        let members = self.node.live_members(now.steady_ms);
        let endpoints = self.engine.endpoints();
        let is_called = |key| !endpoints.get(key).is_over;
        let delegates = &mut self.dispatcher.delegates;
        let events = delegates.tick(&members, is_called, now.steady_ms);
        self.handle_events(events, now);
        let delegated_counts = self.dispatcher.delegates.delegated_counts();
        if self
            .load
            .log_if_due(self.epoch, delegated_counts, now.steady_ms)
        {
            self.dispatcher.prune_connections();
        }
    }

    fn handle_request(
        &mut self,
        request: CallerRequest,
        reply: oneshot::Sender<OwnerResponse>,
        now: Now,
    ) {
        let answer = match request {
            CallerRequest::Submit {
                job,
                queue,
                spec,
                account,
                origin,
            } => {
                let Ok(job) = job.parse::<JobId>() else {
                    return send_reply(reply, OwnerResponse::Refused);
                };
                let token = self.add_pending_reply(reply);
                let event = Event::Submit {
                    job,
                    queue,
                    spec,
                    account,
                    origin,
                    token,
                };
                return self.engine.handle(event, now);
            }
            CallerRequest::Cancel { job, account } => {
                let Ok(job) = job.parse::<JobId>() else {
                    return send_reply(reply, OwnerResponse::Unknown);
                };
                if !self.can_report_unknown(job, now) {
                    return send_reply(reply, OwnerResponse::Unclear);
                }
                let token = self.add_pending_reply(reply);
                let event = Event::Cancel {
                    job,
                    account,
                    token,
                };
                return self.engine.handle(event, now);
            }
            CallerRequest::State { job, account } => self.state_response(&job, &account, now),
            CallerRequest::Pending { queue } => OwnerResponse::Pending(self.engine.pending(&queue)),
        };
        send_reply(reply, answer);
    }

    /// Tells a job's state.
    fn state_response(&self, job: &str, account: &str, now: Now) -> OwnerResponse {
        let Ok(job) = job.parse::<JobId>() else {
            return OwnerResponse::Unknown;
        };
        if !self.engine.is_open_to(job, account) {
            return OwnerResponse::OtherAccount;
        }
        if let Some(state) = self.engine.shown(job) {
            return OwnerResponse::State(state);
        }
        if self.can_report_unknown(job, now) && !self.engine.is_unstored(job) {
            OwnerResponse::Unknown
        } else {
            OwnerResponse::Unclear
        }
    }

    /// Tells whether this owner may say of a job that it is not known.
    ///
    /// An owner that was cut off or suspended does not know the jobs of its successor; a caller
    /// would be told that its accepted job is gone, or that there was nothing to cancel.
    fn can_report_unknown(&self, job: JobId, now: Now) -> bool {
        self.engine.shown(job).is_some() || self.is_recently_renewed(now)
    }

    /// Tells whether the last renewal is so recent that nobody else can believe to be the owner.
    fn is_recently_renewed(&self, now: Now) -> bool {
        let owner = self.node.owner.load();
        owner
            .as_ref()
            .is_some_and(|owner| owner.is_renewed_within(now.steady_ms, FRESH_RENEWAL_MS))
    }

    fn add_pending_reply(&mut self, reply: oneshot::Sender<OwnerResponse>) -> ReplyToken {
        self.last_token += 1;
        self.pending_replies.push((self.last_token, reply));
        self.last_token
    }

    fn execute_effects(&mut self, effects: Vec<Effect>, now: Now, context: &Context<Self, ()>) {
        for effect in effects {
            match effect {
                Effect::Reply { token, answer } => self.reply(token, answer),
                Effect::Resign => {
                    warn!(event = "fenced", epoch = self.epoch; "");
                    drop(context.actor_ref().tell(OwnerMessage::Deposed).try_send());
                }
                other => {
                    self.dispatcher.execute(other, self.engine.endpoints(), now);
                }
            }
        }
    }

    fn reply(&mut self, token: ReplyToken, answer: CallerAnswer) {
        let index = self
            .pending_replies
            .binary_search_by_key(&token, |(known, _)| *known);
        if let Ok(index) = index {
            let (_, reply) = self.pending_replies.remove(index);
            let answer = match answer {
                CallerAnswer::Accepted => OwnerResponse::Accepted,
                CallerAnswer::Cancelled => OwnerResponse::Cancelled,
                CallerAnswer::Unknown => OwnerResponse::Unknown,
                CallerAnswer::Refused => OwnerResponse::Refused,
                CallerAnswer::OverQuota => OwnerResponse::OverQuota,
                CallerAnswer::OtherAccount => OwnerResponse::OtherAccount,
            };
            send_reply(reply, answer);
        }
    }

    /// Stores what has changed, unless a batch is under way that will soon be stored.
    fn store_batches(&mut self, now: Now, context: &mut Context<Self, ()>) {
        if !self.in_flight.has_capacity(now.steady_ms) {
            return;
        }
        loop {
            let batch = self.engine.cut_batch(now);
            if !batch.records.is_empty() {
                let commit = self.writer.commit(&batch.records);
                self.load.record_batch(commit.bytes());
                let number = self.in_flight.add(batch, now.steady_ms);
                self.spawn_commit(commit, number, context);
                return;
            }
            // What a batch without records releases rests on those before it.
            if !self.in_flight.is_empty() {
                self.in_flight.append_to_newest(batch);
                return;
            }
            let effects = self.engine.committed(batch, now);
            if effects.is_empty() {
                return;
            }
            self.execute_effects(effects, now, context);
        }
    }

    fn spawn_commit(&self, commit: Commit, number: u64, context: &Context<Self, ()>) {
        let store = self.node.store.clone();
        let actor = context.actor_ref().clone();
        tokio::spawn(async move {
            let message = if commit.store(&store).await {
                OwnerMessage::BatchStored(number)
            } else {
                OwnerMessage::Deposed
            };
            drop(actor.tell(message).send().await);
        });
    }

    /// Ends the ownership here. Callers that wait learn nothing certain.
    fn stop(&mut self, context: &mut Context<Self, ()>) {
        self.pending_replies.clear();
        if let Some(owner) = self.node.owner.swap(None) {
            owner.abort_tasks();
        }
        context.stop();
    }
}

fn send_reply(reply: oneshot::Sender<OwnerResponse>, answer: OwnerResponse) {
    // The caller may have left.
    let _ = reply.send(answer);
}
