//! Carrying out what the engine asks for: each call in a task of its own, its outcome an event.

use {
    crate::owner::{Owner, OwnerMessage},
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
                address: endpoint.address,
            }
        };
        let this = self.clone();
        match effect {
            Effect::Start(order) => {
                let to = address(order.endpoint);
                tokio::spawn(async move { this.start(&to, &order).await });
            }
            Effect::Stop {
                endpoint,
                task,
                run,
            } => {
                let to = address(endpoint);
                tokio::spawn(async move { this.stop(endpoint, &to, task, run).await });
            }
            Effect::Renew {
                endpoint,
                deadline_ms,
                acknowledged,
                wait_ms,
            } => {
                let to = address(endpoint);
                tokio::spawn(async move {
                    let calls = &this.endpoints;
                    let outcome = calls.renew(&to, deadline_ms, acknowledged, wait_ms).await;
                    if !matches!(outcome, CallOutcome::Done(_)) {
                        info!(
                            event = "renewal_failed", endpoint = to.id.as_str(),
                            peer:% = to.address, outcome:? = outcome;
                            ""
                        );
                    }
                    this.tell(Event::Renewed { endpoint, outcome }).await;
                });
            }
            Effect::Pace {
                endpoint,
                task,
                run,
                percent,
            } => {
                let to = address(endpoint);
                tokio::spawn(async move {
                    let is_done = this.endpoints.pace(&to, &task, run, percent).await;
                    info!(
                        event = "pace", task:% = task, run = run, percent = percent,
                        is_done = is_done;
                        ""
                    );
                    this.tell(Event::Paced {
                        endpoint,
                        task,
                        run,
                        percent,
                        is_done,
                    })
                    .await;
                });
            }
            Effect::Advise { step, endpoints } => {
                tokio::spawn(async move {
                    let answer = match &this.advice {
                        Some(calls) => calls.ask(&step, &endpoints).await,
                        None => Err("no such service in the settings".into()),
                    };
                    info!(
                        event = "advice", step:% = step, asked = endpoints.len(),
                        outcome:? = answer.as_ref().map(|(tickets, _)| tickets.len());
                        ""
                    );
                    let answer = answer.ok();
                    this.tell(Event::Advised { step, answer }).await;
                });
            }
            Effect::Move { vm, pool } => {
                tokio::spawn(async move {
                    let Some(calls) = &this.vms else {
                        return;
                    };
                    let outcome = calls.move_to(&vm, &pool).await;
                    info!(
                        event = "vm_move", vm = vm.as_str(), pool = pool.as_str(),
                        outcome:? = outcome;
                        ""
                    );
                    this.tell(Event::VmAnswer { vm, outcome }).await;
                });
            }
            Effect::Maintain { vm, wave } => {
                tokio::spawn(async move {
                    let Some(calls) = &this.vms else {
                        return;
                    };
                    let outcome = calls.maintain(&vm, wave).await;
                    info!(
                        event = "vm_maintenance", vm = vm.as_str(), wave = wave,
                        outcome:? = outcome;
                        ""
                    );
                    this.tell(Event::VmAnswer { vm, outcome }).await;
                });
            }
            Effect::PublishWave { wave, is_completed } => {
                tokio::spawn(async move { this.publish(wave, is_completed).await });
            }
            // The actor answers callers and resigns by itself.
            Effect::Reply { .. } | Effect::Resign => {}
        }
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
