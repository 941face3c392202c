//! Owner actor: runs the engine while this node is the owner.
//!
//! All inputs, including timeouts, reach the actor as messages. Changes are stored in batches, one
//! at a time; changes made meanwhile go into the next batch. While the store is slow, a few batches
//! are in flight.

use {
    crate::{
        calls::{CallResult, EndpointCall},
        clock,
        commit::{Commit, Writer},
        delegate_messages::{CallNumber, DelegatedCall},
        dispatch::Dispatcher,
        in_flight::InFlightBatches,
        load::OwnerLoad,
        log_events,
        node::Node,
        owner_lease::OwnerLease,
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
    lynxwheel_engine::{CallerResponse, Effect, Engine, Event, JobId, Now, ReplyToken},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
    tokio::{sync::oneshot, task::JoinHandle},
};

/// Message to the owner actor.
#[derive(Debug)]
pub enum OwnerMessage {
    /// An event for the engine.
    Event(Box<Event>),
    /// Periodic tick with its monotonic send time, in milliseconds.
    Tick(u64),
    /// Request of a caller.
    CallerRequest(CallerRequest, oneshot::Sender<OwnerResponse>),
    /// Results of calls executed by a delegate.
    DelegateResults(SocketAddr, Vec<(CallNumber, CallResult)>),
    /// A delegate refused these calls.
    CallsRefused(SocketAddr, Vec<DelegatedCall>),
    /// A delegate does not respond.
    DelegateLost(SocketAddr),
    /// The in-flight batch with this number is stored.
    BatchStored(u64),
    /// A newer epoch is active.
    Deposed,
    /// The node is stopping, or a larger node asked for the ownership.
    Release,
}

impl OwnerMessage {
    /// Wraps an engine event.
    #[must_use]
    pub fn event(event: Event) -> Self {
        Self::Event(Box::new(event))
    }
}

/// Handle to the owner actor and its background tasks.
#[derive(Debug)]
pub struct OwnerHandle {
    /// Epoch of this ownership.
    pub epoch: u64,
    actor: ActorRef<OwnerActor>,
    lease: Arc<OwnerLease>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
    renewal_task: Mutex<Option<JoinHandle<()>>>,
}

impl OwnerHandle {
    /// Sends a message without waiting; drops it when the mailbox is full or the actor has stopped.
    pub fn try_send(&self, message: OwnerMessage) {
        if let Err(error) = self.actor.tell(message).try_send() {
            warn!(
                event = "owner_message_lost", reason = error.to_string().as_str();
                "message to the owner actor dropped"
            );
        }
    }

    /// Sends a message, waiting while the mailbox is full.
    pub async fn send(&self, message: OwnerMessage) {
        // Fails only after the actor has stopped; its messages are obsolete then.
        drop(self.actor.tell(message).send().await);
    }

    /// Returns whether the last successful renewal is younger than `age_ms`.
    #[must_use]
    pub fn is_renewed_within(&self, now_ms: u64, age_ms: u64) -> bool {
        self.lease.is_renewed_within(now_ms, age_ms)
    }

    pub(crate) fn new(epoch: u64, actor: ActorRef<OwnerActor>, lease: Arc<OwnerLease>) -> Self {
        Self {
            epoch,
            actor,
            lease,
            tasks: Mutex::default(),
            renewal_task: Mutex::default(),
        }
    }

    /// Sets the task that renews the ownership.
    pub(crate) fn set_renewal_task(&self, renewal_task: JoinHandle<()>) {
        let mut slot = self
            .renewal_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *slot = Some(renewal_task);
    }

    /// Stops renewing the ownership and treats it as expired, since another node may claim it at
    /// any moment: from then on the actor neither orders VM operations nor reports jobs as unknown.
    /// Returns whether renewal was still active.
    fn stop_renewals(&self) -> bool {
        self.lease.end();
        let mut slot = self
            .renewal_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let renewal_task = slot.take();
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
        self.lease.depose();
    }
}

/// Sends a caller's request to the local owner actor and waits for its response.
pub async fn request_owner(owner: &OwnerHandle, request: CallerRequest) -> OwnerResponse {
    let (sender, receiver) = oneshot::channel();
    owner
        .send(OwnerMessage::CallerRequest(request, sender))
        .await;
    receiver.await.unwrap_or(OwnerResponse::Unclear)
}

/// Actor that runs the engine for one epoch.
#[derive(Actor)]
pub struct OwnerActor {
    node: Arc<Node>,
    epoch: u64,
    lease: Arc<OwnerLease>,
    engine: Engine,
    writer: Writer,
    dispatcher: Dispatcher,
    in_flight: InFlightBatches,
    load: OwnerLoad,
    may_extend_leases: bool,
    is_store_unavailable: bool,
    /// Callers waiting for a response, sorted by token.
    pending_replies: Vec<(ReplyToken, oneshot::Sender<OwnerResponse>)>,
    last_token: ReplyToken,
}

impl Message<OwnerMessage> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, message: OwnerMessage, context: &mut Context<Self, ()>) {
        let started = Instant::now();
        let now = clock::now();
        self.update_permissions(now);
        match message {
            OwnerMessage::Event(event) => self.engine.handle(*event, now),
            OwnerMessage::Tick(sent_ms) => {
                self.load
                    .record_delay(now.steady_ms.saturating_sub(sent_ms));
                self.update_store_status(now);
                self.refresh_config(now);
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
                info!(event = "deposed", epoch = self.epoch; "ownership ended");
                self.stop(context);
                return;
            }
            OwnerMessage::Release => {
                // The actor keeps serving until a successor fences it: with a slow store that takes
                // seconds, during which no task would start and every caller would wait. Batches in
                // flight at that time are either stored before the fence or rejected; callers retry
                // at the successor.
                let owner = self.node.owner.load_full();
                if owner.is_some_and(|owner| !owner.stop_renewals()) {
                    return;
                }
                let node = Arc::clone(&self.node);
                let epoch = self.epoch;
                tokio::spawn(async move { watcher::release(&node, epoch).await });
            }
        }
        let effects = self.engine.take_immediate_effects();
        self.execute_effects(effects, now, context);
        self.store_batches(now, context);
        // Placement may have requested advice.
        let effects = self.engine.take_immediate_effects();
        self.execute_effects(effects, now, context);
        log_events::log_events(self.epoch, &self.engine.take_log_events());
        self.load.record_message(started);
    }
}

impl OwnerActor {
    /// Creates the actor of an epoch.
    pub(crate) fn new(
        node: Arc<Node>,
        epoch: u64,
        lease: Arc<OwnerLease>,
        engine: Engine,
        writer: Writer,
        dispatcher: Dispatcher,
    ) -> Self {
        Self {
            node,
            epoch,
            lease,
            engine,
            writer,
            dispatcher,
            in_flight: InFlightBatches::default(),
            load: OwnerLoad::default(),
            may_extend_leases: true,
            is_store_unavailable: false,
            pending_replies: Vec::new(),
            last_token: 0,
        }
    }

    /// Informs the engine of what the proof of the ownership allows, and logs changes.
    fn update_permissions(&mut self, now: Now) {
        // Only while no other node can hold the ownership.
        self.engine.allow_vm_orders(self.is_recently_renewed(now));
        let may_extend_leases = self.lease.may_extend_leases(now.steady_ms);
        if may_extend_leases != self.may_extend_leases {
            self.may_extend_leases = may_extend_leases;
            let event = if may_extend_leases {
                "leases_extended"
            } else {
                "leases_not_extended"
            };
            warn!(
                event = event, epoch = self.epoch,
                proof_age_ms = self.lease.proof_age_ms(now.steady_ms);
                "extension of endpoint leases changed"
            );
        }
        self.engine.allow_lease_extensions(may_extend_leases);
    }

    /// Passes the active configuration to the engine if its event was lost or preceded this actor.
    fn refresh_config(&mut self, now: Now) {
        let config = self.node.config.load();
        if config.version > self.engine.config_version() {
            self.engine
                .handle(Event::ConfigChanged(Arc::clone(&config)), now);
        }
    }

    /// Logs when the store becomes unavailable or available again, and informs the engine.
    fn update_store_status(&mut self, now: Now) {
        let is_unavailable = self.in_flight.is_store_unavailable(now.steady_ms);
        if is_unavailable != self.is_store_unavailable {
            self.is_store_unavailable = is_unavailable;
            let event = if is_unavailable {
                "store_away"
            } else {
                "store_back"
            };
            warn!(event = event, epoch = self.epoch; "store availability changed");
        }
        self.engine.set_store_unavailable(is_unavailable);
    }

    fn handle_events(&mut self, events: Vec<Event>, now: Now) {
        for event in events {
            self.engine.handle(event, now);
        }
    }

    /// Executes calls locally that a delegate refused.
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

    /// Restores the payload that was stripped from a delegated start. Returns whether the call is
    /// complete; a start without its payload must not be executed.
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

    /// Updates the delegates' membership and abandons calls that are overdue.
    fn tick_delegates(&mut self, now: Now) {
        let members = self.node.live_members(now.steady_ms);
        let endpoints = self.engine.endpoints();
        let is_called = |key| !endpoints.get(key).has_ended;
        let delegates = &mut self.dispatcher.delegates;
        let events = delegates.tick(&members, is_called, now.steady_ms);
        self.handle_events(events, now);
        let delegated_counts = self.dispatcher.delegates.delegated_counts();
        if self.load.log_if_due(
            self.epoch,
            delegated_counts,
            self.lease.proof_age_ms(now.steady_ms),
            now.steady_ms,
        ) {
            self.dispatcher.prune_connections();
        }
    }

    fn handle_request(
        &mut self,
        request: CallerRequest,
        reply: oneshot::Sender<OwnerResponse>,
        now: Now,
    ) {
        let response = match request {
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
            CallerRequest::Pending { queue } => {
                OwnerResponse::Pending(self.engine.queued_job_count(&queue))
            }
        };
        send_reply(reply, response);
    }

    /// Returns the response to a query for a job's state.
    fn state_response(&self, job: &str, account: &str, now: Now) -> OwnerResponse {
        let Ok(job) = job.parse::<JobId>() else {
            return OwnerResponse::Unknown;
        };
        if !self.engine.can_access(job, account) {
            return OwnerResponse::OtherAccount;
        }
        if let Some(state) = self.engine.job_state(job) {
            return OwnerResponse::State(state);
        }
        if self.can_report_unknown(job, now) && !self.engine.is_unstored(job) {
            OwnerResponse::Unknown
        } else {
            OwnerResponse::Unclear
        }
    }

    /// Returns whether this owner may report a job as unknown.
    ///
    /// An owner that was cut off or suspended does not know the jobs accepted by its successor. Their
    /// callers would be told that the job is gone, or that there was nothing to cancel.
    fn can_report_unknown(&self, job: JobId, now: Now) -> bool {
        self.engine.job_state(job).is_some() || self.is_recently_renewed(now)
    }

    /// Returns whether the last renewal is recent enough to rule out another owner.
    fn is_recently_renewed(&self, now: Now) -> bool {
        self.lease
            .is_renewed_within(now.steady_ms, FRESH_RENEWAL_MS)
    }

    fn add_pending_reply(&mut self, reply: oneshot::Sender<OwnerResponse>) -> ReplyToken {
        self.last_token += 1;
        self.pending_replies.push((self.last_token, reply));
        self.last_token
    }

    fn execute_effects(&mut self, effects: Vec<Effect>, now: Now, context: &Context<Self, ()>) {
        for effect in effects {
            match effect {
                Effect::Reply { token, response } => self.reply(token, response),
                Effect::StepDown => {
                    warn!(event = "fenced", epoch = self.epoch; "call fenced by a newer epoch");
                    drop(context.actor_ref().tell(OwnerMessage::Deposed).try_send());
                }
                other => {
                    self.dispatcher.execute(other, self.engine.endpoints(), now);
                }
            }
        }
    }

    fn reply(&mut self, token: ReplyToken, response: CallerResponse) {
        let index = self
            .pending_replies
            .binary_search_by_key(&token, |(other, _)| *other);
        if let Ok(index) = index {
            let (_, reply) = self.pending_replies.remove(index);
            let response = match response {
                CallerResponse::Accepted => OwnerResponse::Accepted,
                CallerResponse::Cancelled => OwnerResponse::Cancelled,
                CallerResponse::Unknown => OwnerResponse::Unknown,
                CallerResponse::Refused => OwnerResponse::Refused,
                CallerResponse::OverQuota => OwnerResponse::OverQuota,
                CallerResponse::Overloaded {
                    retry_after_ms,
                    is_over_share,
                } => OwnerResponse::Overloaded {
                    retry_after_ms,
                    is_over_share,
                },
                CallerResponse::OtherAccount => OwnerResponse::OtherAccount,
            };
            send_reply(reply, response);
        }
    }

    /// Stores pending changes, unless a recently sent batch is still in flight.
    fn store_batches(&mut self, now: Now, context: &mut Context<Self, ()>) {
        if !self.in_flight.has_capacity(now.steady_ms) {
            return;
        }
        loop {
            let batch = self.engine.take_batch(now);
            if !batch.records.is_empty() {
                let commit = self.writer.commit(&batch.records);
                self.load.record_batch(commit.bytes());
                let number = self.in_flight.add(batch, now.steady_ms);
                self.spawn_commit(commit, number, context);
                return;
            }
            // Effects of a batch without records may depend on earlier batches.
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
        let lease = Arc::clone(&self.lease);
        tokio::spawn(async move {
            let sent_ms = clock::steady_ms();
            let message = if commit.store(&store).await {
                lease.record_commit(sent_ms);
                OwnerMessage::BatchStored(number)
            } else {
                OwnerMessage::Deposed
            };
            drop(actor.tell(message).send().await);
        });
    }

    /// Stops the actor. Waiting callers get an unclear outcome.
    fn stop(&mut self, context: &mut Context<Self, ()>) {
        self.pending_replies.clear();
        if let Some(owner) = self.node.owner.swap(None) {
            owner.abort_tasks();
        }
        context.stop();
    }
}

fn send_reply(reply: oneshot::Sender<OwnerResponse>, response: OwnerResponse) {
    // The caller may have disconnected.
    let _ = reply.send(response);
}
