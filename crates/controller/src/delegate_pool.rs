//! Owner side of delegated endpoint calls.

use {
    crate::{
        assignments::EndpointAssignments,
        calls::{CallResult, EndpointCall},
        delegate_messages::{
            CallNumber, DELEGATE_CALLS_PATH, DelegateReply, DelegateRequest, DelegatedCall,
        },
        members::Member,
        owner::{OwnerActor, OwnerMessage},
        pending::PendingCalls,
    },
    compact_str::CompactString,
    kameo::actor::ActorRef,
    log::{info, warn},
    lynxwheel_engine::{EndpointAddress, EndpointKey, Event},
    lynxwheel_transport::{Client, ClientPool, SendCondition},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, task::JoinSet},
};

/// Timeout for a delegate to accept calls, in milliseconds.
const ACCEPT_TIMEOUT_MS: u64 = 500;

/// Timeout for a result beyond the endpoint's own wait, in milliseconds: the longest endpoint call
/// plus the delivery from a slow delegate.
const RESULT_TIMEOUT_MS: u64 = 1_500;

/// Calls queued for one delegate.
#[derive(Debug, Default)]
struct Outbox {
    calls: Mutex<Vec<DelegatedCall>>,
    has_calls: Notify,
}

impl Outbox {
    fn add(&self, call: DelegatedCall) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(call);
        drop(calls);
        self.has_calls.notify_one();
    }

    fn take(&self) -> Vec<DelegatedCall> {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut calls)
    }
}

/// Node that executes calls for this owner.
#[derive(Debug)]
struct Delegate {
    address: SocketAddr,
    outbox: Arc<Outbox>,
    pending_calls: PendingCalls,
}

/// Delegates of an owner and the calls pending at each of them.
#[derive(Debug)]
pub struct DelegatePool {
    epoch: u64,
    own_address: SocketAddr,
    actor: ActorRef<OwnerActor>,
    clients: Arc<ClientPool>,
    assignments: EndpointAssignments,
    /// Sorted by address.
    delegates: Vec<Delegate>,
    next_number: CallNumber,
    senders: JoinSet<()>,
    may_order: SendCondition,
}

impl DelegatePool {
    /// Creates a pool without delegates. Calls are only sent to them while `may_order` holds.
    #[must_use]
    pub fn new(
        epoch: u64,
        own_address: SocketAddr,
        actor: ActorRef<OwnerActor>,
        clients: Arc<ClientPool>,
        assignments: EndpointAssignments,
        may_order: SendCondition,
    ) -> Self {
        Self {
            epoch,
            own_address,
            actor,
            clients,
            assignments,
            delegates: Vec::new(),
            next_number: 0,
            senders: JoinSet::new(),
            may_order,
        }
    }

    /// Queues a call for the delegate assigned to its endpoint, or returns it if it should be
    /// executed locally.
    pub fn delegate(
        &mut self,
        endpoint: EndpointKey,
        zone: &str,
        to: EndpointAddress,
        mut call: EndpointCall,
        now_ms: u64,
    ) -> Option<(EndpointAddress, EndpointCall)> {
        let Some(address) = self.assignments.assign(endpoint, zone, now_ms) else {
            return Some((to, call));
        };
        if let EndpointCall::Start(order) = &mut call
            && order.origin.is_some()
        {
            order.payload = CompactString::default();
        }
        self.next_number += 1;
        let number = self.next_number;
        let subject = call.subject();
        let due_ms = now_ms + call.wait_ms() + RESULT_TIMEOUT_MS;
        let delegate = self.delegate_for(address);
        delegate
            .pending_calls
            .add(number, endpoint, subject, due_ms);
        delegate.outbox.add(DelegatedCall { number, to, call });
        None
    }

    fn delegate_for(&mut self, address: SocketAddr) -> &mut Delegate {
        let index = self
            .delegates
            .binary_search_by_key(&address, |delegate| delegate.address);
        let index = index.unwrap_or_else(|index| {
            let outbox = Arc::new(Outbox::default());
            self.senders.spawn(send_calls(
                Arc::clone(&outbox),
                self.clients.get(address),
                self.epoch,
                self.own_address,
                self.actor.clone(),
                self.may_order.clone(),
            ));
            let delegate = Delegate {
                address,
                outbox,
                pending_calls: PendingCalls::default(),
            };
            self.delegates.insert(index, delegate);
            index
        });
        &mut self.delegates[index]
    }

    /// Applies results from a delegate and returns the resulting engine events.
    pub fn apply_results(
        &mut self,
        address: SocketAddr,
        results: Vec<(CallNumber, CallResult)>,
    ) -> Vec<Event> {
        match self.known_delegate(address) {
            Some(delegate) => delegate.pending_calls.apply_results(results),
            None => Vec::new(),
        }
    }

    fn known_delegate(&mut self, address: SocketAddr) -> Option<&mut Delegate> {
        let index = self
            .delegates
            .binary_search_by_key(&address, |delegate| delegate.address);
        index.ok().map(|index| &mut self.delegates[index])
    }

    /// Handles a delegate's refusal of calls. Returns the calls to execute locally, and engine
    /// events for other calls pending at that delegate.
    pub fn handle_refusal(
        &mut self,
        address: SocketAddr,
        calls: Vec<DelegatedCall>,
        now_ms: u64,
    ) -> (Vec<(EndpointKey, DelegatedCall)>, Vec<Event>) {
        let mut local = Vec::with_capacity(calls.len());
        if let Some(delegate) = self.known_delegate(address) {
            for call in calls {
                if let Some(endpoint) = delegate.pending_calls.withdraw(call.number) {
                    local.push((endpoint, call));
                }
            }
        }
        (local, self.mark_lost(address, now_ms))
    }

    /// Excludes a delegate for a while and returns engine events for its pending calls, whose
    /// outcomes are unknown.
    pub fn mark_lost(&mut self, address: SocketAddr, now_ms: u64) -> Vec<Event> {
        self.assignments.mark_lost(address, now_ms);
        let epoch = self.epoch;
        let Some(delegate) = self.known_delegate(address) else {
            return Vec::new();
        };
        drop(delegate.outbox.take());
        warn!(
            event = "carrier_lost", epoch = epoch, peer:% = address,
            calls = delegate.pending_calls.count();
            "delegate excluded"
        );
        delegate.pending_calls.abandon_all()
    }

    /// Updates membership and active endpoints, and drops delegates with overdue results. Returns
    /// the resulting engine events.
    pub fn tick(
        &mut self,
        members: &[Member],
        is_called: impl Fn(EndpointKey) -> bool,
        now_ms: u64,
    ) -> Vec<Event> {
        self.assignments.retain(is_called);
        self.assignments.set_members(members);
        let overdue: Vec<SocketAddr> = self
            .delegates
            .iter()
            .filter(|delegate| delegate.pending_calls.is_overdue(now_ms))
            .map(|delegate| delegate.address)
            .collect();
        let mut events = Vec::new();
        for address in overdue {
            events.extend(self.mark_lost(address, now_ms));
        }
        events
    }

    /// Returns the number of endpoints called by delegates, and the number of delegates in use.
    #[must_use]
    pub fn delegated_counts(&self) -> (usize, usize) {
        self.assignments.delegated_counts()
    }
}

/// Sends queued calls to a delegate, batching those that accumulate while a request is in flight.
async fn send_calls(
    outbox: Arc<Outbox>,
    client: Client,
    epoch: u64,
    owner: SocketAddr,
    actor: ActorRef<OwnerActor>,
    may_order: SendCondition,
) {
    let limit = Duration::from_millis(ACCEPT_TIMEOUT_MS);
    loop {
        outbox.has_calls.notified().await;
        let calls = outbox.take();
        if calls.is_empty() {
            continue;
        }
        let request = DelegateRequest {
            epoch,
            owner,
            calls,
        };
        let response = client
            .post_compact_message_while(DELEGATE_CALLS_PATH, &request, limit, may_order.clone())
            .await;
        let message = match response {
            Ok(DelegateReply::Accepted) => continue,
            Ok(DelegateReply::Refused) => OwnerMessage::CallsRefused(client.peer(), request.calls),
            Err(error) => {
                info!(
                    event = "carry_failed", epoch = epoch, peer:% = client.peer(),
                    calls = request.calls.len(), reason = error.reason.as_str(),
                    may_have_run = error.may_have_run;
                    "sending calls to delegate failed"
                );
                if error.may_have_run {
                    OwnerMessage::DelegateLost(client.peer())
                } else {
                    OwnerMessage::CallsRefused(client.peer(), request.calls)
                }
            }
        };
        drop(actor.tell(message).send().await);
    }
}
