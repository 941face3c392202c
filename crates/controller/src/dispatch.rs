//! Carrying out what the engine asks for: each call in a task of its own, its outcome an event.

use {
    crate::owner::{Owner, OwnerMessage},
    compact_str::CompactString,
    kameo::actor::ActorRef,
    log::info,
    lynxwheel_engine::{
        CallOutcome, Effect, EndpointAddress, EndpointKey, Endpoints, Event, StartOrder, TaskRef,
    },
    lynxwheel_platform::{
        AdviceCalls, AppendOutcome, EndpointCalls, STATUS_TOPIC, StoreClient, VmCalls,
        keyed_record, wave_status,
    },
    std::time::Duration,
    tokio::time::sleep,
};

/// Pause before a wave's status is published again, in milliseconds.
const PUBLISH_RETRY_MS: u64 = 250;

/// Calls of one owner.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    actor: ActorRef<Owner>,
    endpoints: EndpointCalls,
    vms: Option<VmCalls>,
    advice: Option<AdviceCalls>,
    store: StoreClient,
}

impl Dispatcher {
    /// Creates the calls of an owner.
    #[must_use]
    pub fn new(
        actor: ActorRef<Owner>,
        endpoints: EndpointCalls,
        vms: Option<VmCalls>,
        advice: Option<AdviceCalls>,
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

    /// Carries an effect out, without waiting for it.
    pub fn carry_out(&self, effect: Effect, endpoints: &Endpoints) {
        let address = |key: EndpointKey| {
            let endpoint = endpoints.get(key);
            EndpointAddress {
                id: endpoint.id.clone(),
                address: endpoint.address(),
            }
        };
        let to = match &effect {
            Effect::Start(order) => Some(address(order.endpoint)),
            Effect::Stop { endpoint, .. }
            | Effect::Renew { endpoint, .. }
            | Effect::Pace { endpoint, .. } => Some(address(*endpoint)),
            _ => None,
        };
        let this = self.clone();
        tokio::spawn(async move {
            match to {
                Some(to) => this.call_endpoint(effect, &to).await,
                None => this.call_platform(effect).await,
            }
        });
    }

    async fn call_endpoint(&self, effect: Effect, to: &EndpointAddress) {
        match effect {
            Effect::Start(order) => self.start(to, &order).await,
            Effect::Stop {
                endpoint,
                task,
                run,
            } => self.stop(endpoint, to, task, run).await,
            Effect::Renew {
                endpoint,
                deadline_ms,
                acknowledged,
                wait_ms,
            } => {
                let calls = &self.endpoints;
                let outcome = calls.renew(to, deadline_ms, acknowledged, wait_ms).await;
                if !matches!(outcome, CallOutcome::Done(_)) {
                    info!(
                        event = "renewal_failed", endpoint = to.id.as_str(), peer:% = to.address,
                        outcome:? = outcome;
                        ""
                    );
                }
                self.tell(Event::Renewed { endpoint, outcome }).await;
            }
            Effect::Pace {
                endpoint,
                task,
                run,
                percent,
            } => {
                let is_done = self.endpoints.pace(to, &task, run, percent).await;
                info!(
                    event = "pace", task:% = task, run = run, percent = percent, is_done = is_done;
                    ""
                );
                self.tell(Event::Paced {
                    endpoint,
                    task,
                    run,
                    percent,
                    is_done,
                })
                .await;
            }
            _ => {}
        }
    }

    async fn call_platform(&self, effect: Effect) {
        match effect {
            Effect::Advise { step, endpoints } => self.advise(step, &endpoints).await,
            Effect::Move { vm, pool } => {
                let Some(calls) = &self.vms else {
                    return;
                };
                let outcome = calls.move_to(&vm, &pool).await;
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
                let outcome = calls.maintain(&vm, wave).await;
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
            Some(calls) => calls.ask(&step, endpoints).await,
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

    async fn start(&self, to: &EndpointAddress, order: &StartOrder) {
        let outcome = self.endpoints.start(to, order).await;
        info!(
            event = "start_task", task:% = order.task, run = order.run, endpoint = to.id.as_str(),
            deadline_ms = order.deadline_ms, outcome:? = outcome;
            ""
        );
        self.tell(Event::Started {
            endpoint: order.endpoint,
            task: order.task,
            run: order.run,
            outcome,
        })
        .await;
    }

    async fn stop(&self, endpoint: EndpointKey, to: &EndpointAddress, task: TaskRef, run: u32) {
        let outcome = self.endpoints.stop(to, &task, run).await;
        info!(
            event = "stop_task", task:% = task, run = run, endpoint = to.id.as_str(),
            outcome:? = outcome;
            ""
        );
        self.tell(Event::Stopped {
            endpoint,
            task,
            run,
            outcome,
        })
        .await;
    }

    async fn publish(&self, wave: u64, is_completed: bool) {
        let (key, value) = wave_status(wave, is_completed);
        let record = keyed_record(&key, &value);
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
