//! Execution of the engine's effects, by this node or by delegates. Outcomes are returned to the
//! engine as events.

use {
    crate::{
        calls::EndpointCall,
        delegate_pool::DelegatePool,
        owner::{OwnerActor, OwnerMessage},
        publisher::StatusPublisher,
    },
    compact_str::CompactString,
    kameo::actor::ActorRef,
    log::info,
    lynxwheel_engine::{
        Effect, EndpointAddress, EndpointKey, EndpointTable, Event, Now, TaskRef, VmOutcome,
    },
    lynxwheel_platform::{AdviceClient, EndpointClient, Sent, VmClient},
};

/// Executes the effects of one owner.
#[derive(Debug)]
pub struct Dispatcher {
    /// Nodes that call endpoints for this owner.
    pub(crate) delegates: DelegatePool,
    calls: LocalCalls,
    publisher: StatusPublisher,
}

/// Calls executed by the owner's own node.
#[derive(Clone, Debug)]
pub struct LocalCalls {
    actor: ActorRef<OwnerActor>,
    endpoints: EndpointClient,
    vms: Option<VmClient>,
    advice: Option<AdviceClient>,
}

impl Dispatcher {
    /// Creates the dispatcher of an owner.
    #[must_use]
    pub fn new(delegates: DelegatePool, calls: LocalCalls, publisher: StatusPublisher) -> Self {
        Self {
            delegates,
            calls,
            publisher,
        }
    }

    /// Starts executing an effect without waiting for its outcome.
    pub fn execute(&mut self, effect: Effect, endpoints: &EndpointTable, now: Now) {
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
            Effect::PublishWave { wave, is_completed } => {
                return self.publisher.publish(wave, is_completed);
            }
            other => {
                let calls = self.calls.clone();
                tokio::spawn(async move { calls.execute_platform_effect(other).await });
                return;
            }
        };
        let endpoint = endpoints.get(key);
        let to = EndpointAddress {
            id: endpoint.id.clone(),
            address: endpoint.address(),
        };
        let delegates = &mut self.delegates;
        if let Some((to, call)) = delegates.delegate(key, &endpoint.zone, to, call, now.steady_ms) {
            self.call_locally(key, to, call);
        }
    }

    /// Starts a call to an endpoint from this node without waiting for its outcome.
    pub fn call_locally(&self, key: EndpointKey, to: EndpointAddress, call: EndpointCall) {
        let calls = self.calls.clone();
        tokio::spawn(async move {
            let result = call.execute(&calls.endpoints, &to).await;
            if let Some(event) = call.subject().result_event(key, result) {
                calls.send_event(event).await;
            }
        });
    }

    /// Closes unused connections to endpoints.
    pub fn prune_connections(&self) {
        self.calls.endpoints.prune();
    }
}

impl LocalCalls {
    /// Creates the local calls of an owner.
    #[must_use]
    pub fn new(
        actor: ActorRef<OwnerActor>,
        endpoints: EndpointClient,
        vms: Option<VmClient>,
        advice: Option<AdviceClient>,
    ) -> Self {
        Self {
            actor,
            endpoints,
            vms,
            advice,
        }
    }

    async fn execute_platform_effect(&self, effect: Effect) {
        match effect {
            Effect::GetTickets { step, endpoints } => self.request_advice(step, &endpoints).await,
            Effect::MoveVm { vm, pool, call } => {
                let Some(client) = &self.vms else {
                    return;
                };
                let sent = client.move_to_pool(&vm, &pool).await;
                info!(
                    event = "vm_move", vm = vm.as_str(), pool = pool.as_str(),
                    fencing_token = client.fencing_token(), tries = sent.record.tries,
                    sent_ago_ms = sent.sent_ago_ms(), outcome:? = sent.outcome;
                    "VM move ordered"
                );
                self.send_vm_outcome(vm, call, sent).await;
            }
            Effect::MaintainVm { vm, wave, call } => {
                let Some(client) = &self.vms else {
                    return;
                };
                let sent = client.start_maintenance(&vm, wave).await;
                info!(
                    event = "vm_maintenance", vm = vm.as_str(), wave = wave,
                    fencing_token = client.fencing_token(), tries = sent.record.tries,
                    sent_ago_ms = sent.sent_ago_ms(), outcome:? = sent.outcome;
                    "VM maintenance ordered"
                );
                self.send_vm_outcome(vm, call, sent).await;
            }
            // Replies and resignation are handled by the actor.
            _ => {}
        }
    }

    async fn send_vm_outcome(&self, vm: CompactString, call: u64, sent: Sent<VmOutcome>) {
        if sent.record.is_withheld {
            info!(
                event = "vm_order_withheld", vm = vm.as_str();
                "VM order not sent, as the ownership may have ended"
            );
        }
        let outcome = sent.outcome;
        self.send_event(Event::VmOrderAnswered { vm, call, outcome })
            .await;
    }

    async fn request_advice(&self, step: TaskRef, endpoints: &[CompactString]) {
        let response = match &self.advice {
            Some(client) => client.request_tickets(&step, endpoints).await,
            None => Err("no advice service is configured".into()),
        };
        info!(
            event = "advice", step:% = step, asked = endpoints.len(),
            outcome:? = response.as_ref().map(|(tickets, _)| tickets.len());
            "advice requested"
        );
        let tickets = response.ok();
        self.send_event(Event::TicketsReceived { step, tickets })
            .await;
    }

    async fn send_event(&self, event: Event) {
        // Fails only after the actor has stopped; the successor queries the endpoints itself.
        drop(self.actor.tell(OwnerMessage::event(event)).send().await);
    }
}
