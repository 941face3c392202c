//! State machine that schedules jobs on a fleet of VMs.
//!
//! It makes the decisions of the owner in `lynxwheel_controller`; the nodes of `lynxwheel run` use
//! `lynxwheel_state` and `lynxwheel_decisions` instead. The crate has no clock and performs no I/O.
//! Its owner passes in events with the current time, stores the records of each batch and executes
//! the released effects.
//!
//! ```
//! use lynxwheel_engine::{Engine, EngineSettings, Event, FleetConfig, JobSpec, Now, Queue, StepSpec};
//!
//! let mut engine = Engine::new(EngineSettings::default());
//! let id = "5c0e7a21d94b36f8".parse().unwrap();
//! let step = StepSpec { count: 2, ..StepSpec::default() };
//! let spec = JobSpec { steps: vec![step], ..JobSpec::default() };
//! let now = Now { steady_ms: 1_000, wall_ms: 1_000 };
//! engine.handle(
//!     Event::Submit { job: id, queue: Queue::default(), spec: Box::new(spec), account: "".into(), origin: None, token: 1 },
//!     now,
//! );
//! assert_eq!(engine.job_state(id), None);
//! let batch = engine.take_batch(now);
//! assert_eq!(batch.records.len(), 2);
//! let effects = engine.committed(batch, now);
//! assert_eq!(effects.len(), 1);
//! assert!(engine.job_state(id).is_some());
//! ```

mod accounts;
mod admission;
mod advice;
mod arrivals;
mod attempts;
mod balance;
mod batch;
mod capacity_plan;
mod config;
mod crash_history;
mod crashes;
mod demand;
mod early_cancels;
mod endpoint_locations;
mod endpoint_table;
mod endpoints;
mod engine;
mod event;
mod fair_share;
mod free_capacity;
mod handover;
mod job;
mod job_refusals;
mod job_table;
mod leases;
mod listed_runs;
mod log_event;
mod open_steps;
mod order_rate;
mod overload_time;
mod pacing;
mod pools;
mod quota;
mod reports;
mod restarts;
mod restore;
mod retries;
mod schedule;
mod spare_vms;
mod state;
mod stored;
mod stragglers;
mod timing;
mod vacating;
mod vm_cooldowns;
mod vms;
mod waiting_work;
mod waves;

pub use {
    accounts::{ClientAccount, ClientAccounts, KeyDigest, KeyError, SharedKey},
    admission::{Admission, AdmissionRequest, Overload, RefusalReason},
    advice::Ticket,
    batch::Batch,
    capacity_plan::{CapacityPlan, PoolCapacity, VM_MOVE_MS},
    config::{CallerLimits, FleetConfig, Pool, Queue},
    endpoint_table::EndpointTable,
    endpoints::{Endpoint, PlacedRun},
    engine::{Engine, EngineSettings},
    event::{
        CallOutcome, CallerResponse, Effect, EndpointAddress, EndpointKey, Event, Now, Refusal,
        ReplyToken, StartOrder, VmOutcome,
    },
    fair_share::{AccountDemand, fair_level},
    handover::{ReleaseCandidate, choose_vacating},
    job::{JobId, JobSpec, JobState, ParseNameError, Resources, StepSpec, TaskRef},
    leases::MAX_PROOF_AGE_MS,
    log_event::{
        ExpiredLeases, JobRefusal, LogEvent, MissingRun, PoolPlan, QuotaWait, RefusedOrder, RunEnd,
        RunOrder, ShareWait, UnwantedRun,
    },
    pacing::{RunPace, next_pace},
    quota::{AccountNumber, QuotaTracker, RemainingQuotas},
    reports::{
        EndKind, EndedTask, EndpointEntry, EndpointReport, RunningTask, VmEntry, VmState, WaveOrder,
    },
    restore::{UnreadCause, UnreadRecord},
    state::{Attempt, Job, LostRun, Occurrence, Phase, StepRun, StopPhase, Task},
    stored::{Record, RecordKind, StoredWave, record_kind},
    vms::VmOrder,
};
