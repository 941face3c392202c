//! The owner's side of calls that other nodes make for it.

use {
    crate::{
        calls::{CallResult, EndpointCall},
        carried::{CARRY_PATH, CallNumber, CarriedCall, CarryAnswer, CarryRequest},
        members::Member,
        owner::{Owner, OwnerMessage},
        pending::PendingCalls,
        shares::Shares,
    },
    compact_str::CompactString,
    kameo::actor::ActorRef,
    log::{info, warn},
    lynxwheel_engine::{EndpointAddress, EndpointKey, Event},
    lynxwheel_transport::{Client, Clients},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, task::JoinSet},
};

/// Time for a node's answer that it has taken calls, in milliseconds: calm answers take some 5 ms.
const TAKE_MS: u64 = 500;

/// Time beyond an endpoint's own wait within which a result comes, in milliseconds. A node calls an
/// endpoint for half a second at most, and a slow one takes a few tenths to tell of it.
const RESULT_MS: u64 = 1_500;

/// Calls on their way to one node.
#[derive(Debug, Default)]
struct Outbox {
    calls: Mutex<Vec<CarriedCall>>,
    has_calls: Notify,
}

impl Outbox {
    fn add(&self, call: CarriedCall) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.push(call);
        drop(calls);
        self.has_calls.notify_one();
    }

    fn take(&self) -> Vec<CarriedCall> {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut calls)
    }
}

/// A node that calls for this owner.
#[derive(Debug)]
struct Row {
    address: SocketAddr,
    outbox: Arc<Outbox>,
    pending: PendingCalls,
}

/// Nodes that call for this owner, and the calls whose results are to come.
#[derive(Debug)]
pub struct Carriers {
    epoch: u64,
    own_address: SocketAddr,
    actor: ActorRef<Owner>,
    clients: Arc<Clients>,
    shares: Shares,
    /// Sorted by address.
    rows: Vec<Row>,
    next_number: CallNumber,
    senders: JoinSet<()>,
}

impl Carriers {
    /// Creates the carriers of an owner, of which none is known yet.
    #[must_use]
    pub fn new(
        epoch: u64,
        own_address: SocketAddr,
        actor: ActorRef<Owner>,
        clients: Arc<Clients>,
        shares: Shares,
    ) -> Self {
        Self {
            epoch,
            own_address,
            actor,
            clients,
            shares,
            rows: Vec::new(),
            next_number: 0,
            senders: JoinSet::new(),
        }
    }

    /// Hands a call over to the node that calls its endpoint, or gives it back to be made here.
    pub fn carry(
        &mut self,
        endpoint: EndpointKey,
        zone: &str,
        to: EndpointAddress,
        mut call: EndpointCall,
        now_ms: u64,
    ) -> Option<(EndpointAddress, EndpointCall)> {
        let Some(address) = self.shares.node_for(endpoint, zone, now_ms) else {
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
        let due_ms = now_ms + call.wait_ms() + RESULT_MS;
        let row = self.row(address);
        row.pending.add(number, endpoint, subject, due_ms);
        row.outbox.add(CarriedCall { number, to, call });
        None
    }

    fn row(&mut self, address: SocketAddr) -> &mut Row {
        let place = self.rows.binary_search_by_key(&address, |row| row.address);
        let place = place.unwrap_or_else(|place| {
            let outbox = Arc::new(Outbox::default());
            self.senders.spawn(send_calls(
                Arc::clone(&outbox),
                self.clients.get(address),
                self.epoch,
                self.own_address,
                self.actor.clone(),
            ));
            let row = Row {
                address,
                outbox,
                pending: PendingCalls::default(),
            };
            self.rows.insert(place, row);
            place
        });
        &mut self.rows[place]
    }

    /// Takes in results, and returns what the engine is told.
    pub fn take_results(
        &mut self,
        address: SocketAddr,
        results: Vec<(CallNumber, CallResult)>,
    ) -> Vec<Event> {
        match self.known_row(address) {
            Some(row) => row.pending.take_results(results),
            None => Vec::new(),
        }
    }

    fn known_row(&mut self, address: SocketAddr) -> Option<&mut Row> {
        let place = self.rows.binary_search_by_key(&address, |row| row.address);
        place.ok().map(|place| &mut self.rows[place])
    }

    /// Takes in that a node took none of these calls. Returns those to be made here, and what the
    /// engine is told of others that the node had taken.
    pub fn not_taken(
        &mut self,
        address: SocketAddr,
        calls: Vec<CarriedCall>,
        now_ms: u64,
    ) -> (Vec<(EndpointKey, CarriedCall)>, Vec<Event>) {
        let mut own = Vec::with_capacity(calls.len());
        if let Some(row) = self.known_row(address) {
            for call in calls {
                if let Some(endpoint) = row.pending.take_back(call.number) {
                    own.push((endpoint, call));
                }
            }
        }
        (own, self.lose(address, now_ms))
    }

    /// Takes in that a node is not to be relied on: nobody knows what came of the calls that it took.
    pub fn lose(&mut self, address: SocketAddr, now_ms: u64) -> Vec<Event> {
        self.shares.lose(address, now_ms);
        let epoch = self.epoch;
        let Some(row) = self.known_row(address) else {
            return Vec::new();
        };
        drop(row.outbox.take());
        warn!(event = "carrier_lost", epoch = epoch, peer:% = address, calls = row.pending.count(); "");
        row.pending.give_up()
    }

    /// Takes in which nodes are there and which endpoints are called, and gives up nodes from which a
    /// result is overdue; returns what the engine is told.
    pub fn tick(
        &mut self,
        members: &[Member],
        is_called: impl Fn(EndpointKey) -> bool,
        now_ms: u64,
    ) -> Vec<Event> {
        self.shares.retain(is_called);
        self.shares.set_members(members);
        let overdue: Vec<SocketAddr> = self
            .rows
            .iter()
            .filter(|row| row.pending.is_overdue(now_ms))
            .map(|row| row.address)
            .collect();
        let mut events = Vec::new();
        for address in overdue {
            events.extend(self.lose(address, now_ms));
        }
        events
    }

    /// Returns how many endpoints other nodes call, and how many nodes do.
    #[must_use]
    pub fn carried(&self) -> (usize, usize) {
        self.shares.carried()
    }
}

/// Sends the calls of an outbox to a node, those that have gathered meanwhile in one message.
async fn send_calls(
    outbox: Arc<Outbox>,
    client: Client,
    epoch: u64,
    owner: SocketAddr,
    actor: ActorRef<Owner>,
) {
    let limit = Duration::from_millis(TAKE_MS);
    loop {
        outbox.has_calls.notified().await;
        let calls = outbox.take();
        if calls.is_empty() {
            continue;
        }
        let request = CarryRequest {
            epoch,
            owner,
            calls,
        };
        let answer = client.exchange_compact(CARRY_PATH, &request, limit).await;
        let message = match answer {
            Ok(CarryAnswer::Taken) => continue,
            Ok(CarryAnswer::NotTaken) => OwnerMessage::NotCarried(client.peer(), request.calls),
            Err(error) => {
                info!(
                    event = "carry_failed", epoch = epoch, peer:% = client.peer(),
                    calls = request.calls.len(), reason = error.reason.as_str(),
                    may_have_run = error.may_have_run;
                    ""
                );
                if error.may_have_run {
                    OwnerMessage::CarrierLost(client.peer())
                } else {
                    OwnerMessage::NotCarried(client.peer(), request.calls)
                }
            }
        };
        drop(actor.tell(message).send().await);
    }
}
