//! Carrying out what the engine asks for: each call in a task of its own or by another node, its
//! outcome an event.

use {
    crate::{
        calls::EndpointCall,
        carriers::Carriers,
        owner::{Owner, OwnerMessage},
    },
    compact_str::CompactString,
    kameo::actor::ActorRef,
    log::info,
    lynxwheel_engine::{Effect, EndpointAddress, EndpointKey, Endpoints, Event, Now, TaskRef},
    lynxwheel_platform::{
        AdviceClient, AppendOutcome, EndpointClient, STATUS_TOPIC, StoreClient, VmClient,
        encode_keyed_record, encode_wave_status,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Pause before a wave's status is published again, in milliseconds.
const PUBLISH_RETRY_MS: u64 = 250;

/// Calls of one owner.
#[derive(Debug)]
pub struct Dispatcher {
    /// Nodes that call endpoints for this owner.
    pub(crate) carriers: Carriers,
    calls: Calls,
}

/// Calls that this node makes itself.
#[derive(Clone, Debug)]
pub struct Calls {
    actor: ActorRef<Owner>,
    endpoints: EndpointClient,
    vms: Option<VmClient>,
    advice: Option<AdviceClient>,
    store: StoreClient,
}

impl Dispatcher {
    /// Creates the calls of an owner.
    #[must_use]
    pub fn new(carriers: Carriers, calls: Calls) -> Self {
        Self { carriers, calls }
    }

    /// Carries an effect out, without waiting for it.
    pub fn carry_out(&mut self, effect: Effect, endpoints: &Endpoints, now: Now) {
        let (key, call) = match effect {
            Effect::Start(order) => (order.endpoint, EndpointCall::Start(order)),
            Effect::Stop {
                endpoint,
                task,
                run,
            } => (endpoint, EndpointCall::Stop(task, run)),
            Effect::Renew {
                endpoint,
                deadline_ms,
                acknowledged,
                wait_ms,
            } => {
                let call = EndpointCall::Renew {
                    deadline_ms,
                    acknowledged,
                    wait_ms,
                };
                (endpoint, call)
            }
            Effect::Pace {
                endpoint,
                task,
                run,
                percent,
            } => (endpoint, EndpointCall::Pace(task, run, percent)),
            other => {
                let calls = self.calls.clone();
                tokio::spawn(async move { calls.call_platform(other).await });
                return;
            }
        };
        let endpoint = endpoints.get(key);
        let to = EndpointAddress {
            id: endpoint.id.clone(),
            address: endpoint.address(),
        };
        let carriers = &mut self.carriers;
        if let Some((to, call)) = carriers.carry(key, &endpoint.zone, to, call, now.steady_ms) {
            self.call_here(key, to, call);
        }
    }

    /// Makes a call to an endpoint from this node, without waiting for it.
    pub fn call_here(&self, key: EndpointKey, to: EndpointAddress, call: EndpointCall) {
        let calls = self.calls.clone();
        tokio::spawn(async move {
            let result = call.make(&calls.endpoints, &to).await;
            if let Some(event) = call.subject().event(key, result) {
                calls.tell(event).await;
            }
        });
    }

    /// Closes connections to endpoints that are not used any more.
    pub fn prune(&self) {
        self.calls.endpoints.prune();
    }
}

impl Calls {
    /// Creates the calls of an owner that its own node makes.
    #[must_use]
    pub fn new(
        actor: ActorRef<Owner>,
        endpoints: EndpointClient,
        vms: Option<VmClient>,
        advice: Option<AdviceClient>,
        store: StoreClient,
    ) -> Self {
        Self {
            actor,
            endpoints,
            vms,
            advice,
            store,
        }
    }

    async fn call_platform(&self, effect: Effect) {
        match effect {
            Effect::Advise { step, endpoints } => self.advise(step, &endpoints).await,
            Effect::Move { vm, pool } => {
                let Some(calls) = &self.vms else {
                    return;
                };
                let outcome = calls.move_to_pool(&vm, &pool).await;
                info!(
                    event = "vm_move", vm = vm.as_str(), pool = pool.as_str(), outcome:? = outcome;
                    ""
                );
                self.tell(Event::VmAnswer { vm, outcome }).await;
            }
            Effect::Maintain { vm, wave } => {
                let Some(calls) = &self.vms else {
                    return;
                };
                let outcome = calls.start_maintenance(&vm, wave).await;
                info!(
                    event = "vm_maintenance", vm = vm.as_str(), wave = wave, outcome:? = outcome;
                    ""
                );
                self.tell(Event::VmAnswer { vm, outcome }).await;
            }
            Effect::PublishWave { wave, is_completed } => self.publish(wave, is_completed).await,
            // The actor answers callers and resigns by itself.
            _ => {}
        }
    }

    async fn advise(&self, step: TaskRef, endpoints: &[CompactString]) {
        let answer = match &self.advice {
            Some(calls) => calls.request_tickets(&step, endpoints).await,
            None => Err("no such service in the settings".into()),
        };
        info!(
            event = "advice", step:% = step, asked = endpoints.len(),
            outcome:? = answer.as_ref().map(|(tickets, _)| tickets.len());
            ""
        );
        let answer = answer.ok();
        self.tell(Event::Advised { step, answer }).await;
    }

    async fn tell(&self, event: Event) {
        // The actor ends with the ownership; its successor asks the endpoints itself.
        drop(self.actor.tell(OwnerMessage::event(event)).send().await);
    }

    async fn publish(&self, wave: u64, is_completed: bool) {
        let (key, value) = encode_wave_status(wave, is_completed);
        let record = encode_keyed_record(&key, &value);
        loop {
            let records = std::slice::from_ref(&record);
            let outcome = self.store.append(STATUS_TOPIC, records, None, None).await;
            info!(
                event = "wave_status", wave = wave, is_completed = is_completed,
                outcome:? = outcome;
                ""
            );
            if matches!(outcome, AppendOutcome::Stored { .. }) {
                return;
            }
            sleep(Duration::from_millis(PUBLISH_RETRY_MS)).await;
        }
    }
}
