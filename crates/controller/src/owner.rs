//! The owner's duties: one actor with the engine.
//!
//! Every outcome, also silence, comes to the actor as an event. A batch is stored at a time, and what
//! happens meanwhile joins the next one; while the store is slow, a few are under way at once.

use {
    crate::{
        calls::{CallResult, EndpointCall},
        carried::{CallNumber, CarriedCall},
        clock,
        commit::{Commit, Writer},
        dispatch::Dispatcher,
        in_flight::InFlight,
        load::OwnerLoad,
        node::Node,
        notes,
        ownership::FRESH_MS,
        peer::{Ask, OwnerAnswer},
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
    Ask(Ask, oneshot::Sender<OwnerAnswer>),
    /// What came of calls that another node made for this owner.
    Carried(SocketAddr, Vec<(CallNumber, CallResult)>),
    /// Another node took none of these calls.
    NotCarried(SocketAddr, Vec<CarriedCall>),
    /// Another node that makes calls for this owner does not answer.
    CarrierLost(SocketAddr),
    /// The batch under way with this number is stored.
    Stored(u64),
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
    renewals: Mutex<Option<JoinHandle<()>>>,
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

    /// Tells whether the last renewal in the log is younger than `age_ms`.
    #[must_use]
    pub fn is_renewed_within(&self, now_ms: u64, age_ms: u64) -> bool {
        now_ms < self.renewed_ms.load(Ordering::Relaxed) + age_ms
    }

    pub(crate) fn new(epoch: u64, actor: ActorRef<Owner>, renewed_ms: Arc<AtomicU64>) -> Self {
        Self {
            epoch,
            actor,
            renewed_ms,
            duties: Mutex::default(),
            renewals: Mutex::default(),
        }
    }

    /// Takes the task that renews the ownership.
    pub(crate) fn renew_by(&self, renewals: JoinHandle<()>) {
        let mut known = self.renewals.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some(renewals);
    }

    /// Renews the ownership no more, and counts as not renewed from now on: another owner may be
    /// there at any moment, so that this one gives no order for a VM and denies no job. Tells whether
    /// it was renewed until now.
    fn end_renewals(&self) -> bool {
        self.renewed_ms.store(0, Ordering::Relaxed);
        let mut known = self.renewals.lock().unwrap_or_else(PoisonError::into_inner);
        let renewals = known.take();
        if let Some(renewals) = &renewals {
            renewals.abort();
        }
        renewals.is_some()
    }

    pub(crate) fn add_duty(&self, duty: JoinHandle<()>) {
        let mut duties = self.duties.lock().unwrap_or_else(PoisonError::into_inner);
        duties.push(duty);
    }

    fn end_duties(&self) {
        let mut duties = self.duties.lock().unwrap_or_else(PoisonError::into_inner);
        for duty in duties.drain(..) {
            duty.abort();
        }
        drop(duties);
        self.end_renewals();
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
    dispatcher: Dispatcher,
    in_flight: InFlight,
    load: OwnerLoad,
    is_store_away: bool,
    /// Callers that wait, sorted by token.
    waiting: Vec<(ReplyToken, oneshot::Sender<OwnerAnswer>)>,
    next_token: ReplyToken,
}

impl Message<OwnerMessage> for Owner {
    type Reply = ();

    async fn handle(&mut self, message: OwnerMessage, context: &mut Context<Self, ()>) {
        let begun = Instant::now();
        let now = clock::now();
        match message {
            OwnerMessage::Event(event) => self.engine.handle(*event, now),
            OwnerMessage::Tick(sent_ms) => {
                self.load.note_wait(now.steady_ms.saturating_sub(sent_ms));
                self.watch_store(now);
                self.take_config(now);
                // Only while nobody else can believe to be the owner.
                self.engine.allow_vm_orders(self.is_fresh(now));
                self.engine.handle(Event::Tick, now);
                self.tick_carriers(now);
            }
            OwnerMessage::Carried(address, results) => {
                let events = self.dispatcher.carriers.take_results(address, results);
                self.handle_all(events, now);
            }
            OwnerMessage::NotCarried(address, calls) => self.call_here(address, calls, now),
            OwnerMessage::CarrierLost(address) => {
                let events = self.dispatcher.carriers.lose(address, now.steady_ms);
                self.handle_all(events, now);
            }
            OwnerMessage::Ask(ask, reply) => self.ask(ask, reply, now),
            OwnerMessage::Stored(number) => {
                for batch in self.in_flight.stored(number, now.steady_ms) {
                    let effects = self.engine.committed(batch, now);
                    self.carry_out(effects, now, context);
                }
            }
            OwnerMessage::Deposed => {
                info!(event = "deposed", epoch = self.epoch; "");
                self.end(context);
                return;
            }
            OwnerMessage::Release => {
                // The duties go on until the successor shuts this owner out: a slow store lets it take
                // seconds to come, in which nothing started and every caller waited. What is under
                // way then is either stored before, or refused; callers that wait for it are asked
                // about again at the successor.
                let owner = self.node.owner.load_full();
                if owner.is_some_and(|owner| !owner.end_renewals()) {
                    return;
                }
                let node = Arc::clone(&self.node);
                let epoch = self.epoch;
                tokio::spawn(async move { watcher::release(&node, epoch).await });
            }
        }
        let effects = self.engine.take_immediate_effects();
        self.carry_out(effects, now, context);
        self.write(now, context);
        // Placing asks for advice at once.
        let effects = self.engine.take_immediate_effects();
        self.carry_out(effects, now, context);
        notes::log_notes(self.epoch, &self.engine.take_log_events());
        self.load.note_message(begun);
    }
}

impl Owner {
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
            in_flight: InFlight::default(),
            load: OwnerLoad::default(),
            is_store_away: false,
            waiting: Vec::new(),
            next_token: 0,
        }
    }

    /// Hands the engine a configuration whose event was lost, or came before this owner was there.
    fn take_config(&mut self, now: Now) {
        let config = self.node.config.load();
        if config.version > self.engine.config_version() {
            self.engine.handle(Event::Config(Arc::clone(&config)), now);
        }
    }

    /// Notices when the store goes away and when it is back.
    fn watch_store(&mut self, now: Now) {
        let is_away = self.in_flight.is_store_away(now.steady_ms);
        if is_away != self.is_store_away {
            self.is_store_away = is_away;
            let event = if is_away { "store_away" } else { "store_back" };
            warn!(event = event, epoch = self.epoch; "");
        }
        self.engine.set_store_unavailable(is_away);
    }

    fn handle_all(&mut self, events: Vec<Event>, now: Now) {
        for event in events {
            self.engine.handle(event, now);
        }
    }

    /// Makes calls from here that another node did not take.
    fn call_here(&mut self, address: SocketAddr, calls: Vec<CarriedCall>, now: Now) {
        let carriers = &mut self.dispatcher.carriers;
        let (own, events) = carriers.not_taken(address, calls, now.steady_ms);
        for (key, CarriedCall { to, mut call, .. }) in own {
            if self.add_payload(&mut call) {
                self.dispatcher.call_here(key, to, call);
            } else if let Some(event) = call.subject().unknown(key) {
                self.engine.handle(event, now);
            }
        }
        self.handle_all(events, now);
    }

    /// Adds the payload that is left out of a start on its way to another node; tells whether the call
    /// is whole. A start without its payload would run something else than the caller sent.
    fn add_payload(&self, call: &mut EndpointCall) -> bool {
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
    fn tick_carriers(&mut self, now: Now) {
        let members = self.node.present_members(now.steady_ms);
        let endpoints = self.engine.endpoints();
        let is_called = |key| !endpoints.get(key).is_over;
        let carriers = &mut self.dispatcher.carriers;
        let events = carriers.tick(&members, is_called, now.steady_ms);
        self.handle_all(events, now);
        let carried = self.dispatcher.carriers.carried();
        if self.load.log(self.epoch, carried, now.steady_ms) {
            self.dispatcher.prune();
        }
    }

    fn ask(&mut self, ask: Ask, reply: oneshot::Sender<OwnerAnswer>, now: Now) {
        let answer = match ask {
            Ask::Submit {
                job,
                queue,
                spec,
                account,
                origin,
            } => {
                let Ok(job) = job.parse::<JobId>() else {
                    return answer_now(reply, OwnerAnswer::Refused);
                };
                let token = self.wait(reply);
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
            Ask::Cancel { job, account } => {
                let Ok(job) = job.parse::<JobId>() else {
                    return answer_now(reply, OwnerAnswer::Unknown);
                };
                if !self.may_deny(job, now) {
                    return answer_now(reply, OwnerAnswer::Unclear);
                }
                let token = self.wait(reply);
                let event = Event::Cancel {
                    job,
                    account,
                    token,
                };
                return self.engine.handle(event, now);
            }
            Ask::State { job, account } => self.state(&job, &account, now),
            Ask::Pending { queue } => OwnerAnswer::Pending(self.engine.pending(&queue)),
        };
        answer_now(reply, answer);
    }

    /// Tells a job's state.
    fn state(&self, job: &str, account: &str, now: Now) -> OwnerAnswer {
        let Ok(job) = job.parse::<JobId>() else {
            return OwnerAnswer::Unknown;
        };
        if !self.engine.is_open_to(job, account) {
            return OwnerAnswer::OtherAccount;
        }
        if let Some(state) = self.engine.job_state(job) {
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
        self.engine.job_state(job).is_some() || self.is_fresh(now)
    }

    /// Tells whether the last renewal is so recent that nobody else can believe to be the owner.
    fn is_fresh(&self, now: Now) -> bool {
        let owner = self.node.owner.load();
        owner
            .as_ref()
            .is_some_and(|owner| owner.is_renewed_within(now.steady_ms, FRESH_MS))
    }

    fn wait(&mut self, reply: oneshot::Sender<OwnerAnswer>) -> ReplyToken {
        self.next_token += 1;
        self.waiting.push((self.next_token, reply));
        self.next_token
    }

    fn carry_out(&mut self, effects: Vec<Effect>, now: Now, context: &Context<Self, ()>) {
        for effect in effects {
            match effect {
                Effect::Reply { token, answer } => self.reply(token, answer),
                Effect::Resign => {
                    warn!(event = "fenced", epoch = self.epoch; "");
                    drop(context.actor_ref().tell(OwnerMessage::Deposed).try_send());
                }
                other => {
                    self.dispatcher
                        .carry_out(other, self.engine.endpoints(), now);
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
                CallerAnswer::Refused => OwnerAnswer::Refused,
                CallerAnswer::OverQuota => OwnerAnswer::OverQuota,
                CallerAnswer::OtherAccount => OwnerAnswer::OtherAccount,
            };
            answer_now(reply, answer);
        }
    }

    /// Stores what has changed, unless a batch is under way that will soon be stored.
    fn write(&mut self, now: Now, context: &mut Context<Self, ()>) {
        if !self.in_flight.takes_another(now.steady_ms) {
            return;
        }
        loop {
            let batch = self.engine.take_batch(now);
            if !batch.records.is_empty() {
                let commit = self.writer.commit(&batch.records);
                self.load.note_batch(commit.bytes());
                let number = self.in_flight.add(batch, now.steady_ms);
                self.store(commit, number, context);
                return;
            }
            // What a batch without records releases rests on those before it.
            if !self.in_flight.is_empty() {
                self.in_flight.join(batch);
                return;
            }
            let effects = self.engine.committed(batch, now);
            if effects.is_empty() {
                return;
            }
            self.carry_out(effects, now, context);
        }
    }

    fn store(&self, commit: Commit, number: u64, context: &Context<Self, ()>) {
        let store = self.node.store.clone();
        let actor = context.actor_ref().clone();
        tokio::spawn(async move {
            let message = if commit.store(&store).await {
                OwnerMessage::Stored(number)
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
