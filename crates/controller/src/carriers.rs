//! The owner's side of calls that other nodes make for it.

use {
    crate::{
        calls::{CallResult, CallSubject, EndpointCall},
        carried::{CARRY_PATH, CallNumber, CarriedCall, CarryAnswer, CarryRequest},
        members::Member,
        owner::{Owner, OwnerMessage},
        shares::Shares,
    },
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

/// A call whose result is to come.
#[derive(Debug)]
struct Pending {
    number: CallNumber,
    endpoint: EndpointKey,
    subject: CallSubject,
    due_ms: u64,
}

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
    /// Sorted by number.
    pending: Vec<Pending>,
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
        call: EndpointCall,
        now_ms: u64,
    ) -> Option<(EndpointAddress, EndpointCall)> {
        let Some(address) = self.shares.node_for(endpoint, zone, now_ms) else {
            return Some((to, call));
        };
        self.next_number += 1;
        let number = self.next_number;
        let pending = Pending {
            number,
            endpoint,
            subject: call.subject(),
            due_ms: now_ms + call.wait_ms() + RESULT_MS,
        };
        let row = self.row(address);
        row.pending.push(pending);
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
                pending: Vec::new(),
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
        let Ok(place) = self.rows.binary_search_by_key(&address, |row| row.address) else {
            return Vec::new();
        };
        let pending = &mut self.rows[place].pending;
        results
            .into_iter()
            .filter_map(|(number, result)| {
                // What was given up already is told again by the endpoint's next report.
                let place = pending.binary_search_by_key(&number, |known| known.number);
                let known = pending.remove(place.ok()?);
                known.subject.event(known.endpoint, result)
            })
            .collect()
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
        if let Ok(place) = self.rows.binary_search_by_key(&address, |row| row.address) {
            let pending = &mut self.rows[place].pending;
            for call in calls {
                // One that is not pending any more was given up already.
                if let Ok(place) = pending.binary_search_by_key(&call.number, |known| known.number)
                {
                    own.push((pending.remove(place).endpoint, call));
                }
            }
        }
        (own, self.lose(address, now_ms))
    }

    /// Takes in that a node is not to be relied on: nobody knows what came of the calls that it took.
    pub fn lose(&mut self, address: SocketAddr, now_ms: u64) -> Vec<Event> {
        self.shares.lose(address, now_ms);
        let Ok(place) = self.rows.binary_search_by_key(&address, |row| row.address) else {
            return Vec::new();
        };
        let pending = std::mem::take(&mut self.rows[place].pending);
        drop(self.rows[place].outbox.take());
        warn!(event = "carrier_lost", epoch = self.epoch, peer:% = address, calls = pending.len(); "");
        let unknown = |known: Pending| known.subject.unknown(known.endpoint);
        pending.into_iter().filter_map(unknown).collect()
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
        let is_late = |row: &&Row| row.pending.iter().any(|known| known.due_ms <= now_ms);
        let late: Vec<SocketAddr> = self
            .rows
            .iter()
            .filter(is_late)
            .map(|row| row.address)
            .collect();
        let lost = late.into_iter().map(|address| self.lose(address, now_ms));
        lost.collect::<Vec<_>>().into_iter().flatten().collect()
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
