//! A small fleet built by folding records.

use {
    lynxwheel_protocol::{
        Amount, Budget, ClaimPurpose, Class, JobOutcome, JobSpec, PolicySpec, PoolSpec, Record,
        RecordBody, Resource, Resources, TeamSpec, VmPhase, VmReport, VmSpec, WaveAction, WaveGoal,
        WaveSpec, Weights, WriterId,
    },
    lynxwheel_state::{FleetState, Verdict},
};

/// Time of the first record, in milliseconds since the epoch.
pub const START_MS: u64 = 1_000_000;

/// A fleet under test.
pub struct Fleet {
    pub state: FleetState,
    pub now_ms: u64,
    offset: u64,
}

impl Fleet {
    /// Creates a pool of `vms` VMs, of which `floor` must stay available, with one rack per zone.
    pub fn new(vms: usize, zones: usize, floor: u32) -> Self {
        let mut fleet = Self {
            state: FleetState::new(),
            now_ms: START_MS,
            offset: 0,
        };
        fleet.accept(RecordBody::Join {
            node: "node-1".into(),
            fold_version: 1,
        });
        fleet.put(Resource::Team(TeamSpec {
            name: "team".into(),
            quota: resources(1_000, 1_000),
        }));
        fleet.put(Resource::Pool(PoolSpec {
            name: "pool".into(),
            size: u32::try_from(vms).unwrap(),
            budget: Budget {
                min_available: Amount::Count(floor),
                zones_at_once: 1,
            },
        }));
        for vm in 0..vms {
            fleet.put(Resource::Vm(VmSpec {
                name: vm_name(vm).as_str().into(),
                pool: "pool".into(),
            }));
            fleet.report(vm, zones, 1, VmPhase::Live);
        }
        fleet
    }

    pub fn with_weights(mut self, roll_out: u32, buffer: u32, moves: u32) -> Self {
        self.put(Resource::Policy(PolicySpec {
            name: "policy".into(),
            weights: Weights {
                roll_out,
                buffer,
                moves,
            },
            key_keep_ms: 1,
            key_limit: 1,
        }));
        self
    }

    pub fn with_wave(mut self, goal: WaveGoal) -> Self {
        self.wave(goal, 0);
        self
    }

    pub fn wave(&mut self, goal: WaveGoal, deadline_ms: u64) {
        self.put(Resource::Wave(WaveSpec {
            name: "wave".into(),
            pools: vec!["pool".into()],
            action: WaveAction::Reboot,
            goal,
            due_before_ms: START_MS,
            deadline_ms,
        }));
    }

    pub fn apply(&mut self, body: RecordBody) -> Verdict {
        self.offset += 1;
        let id = WriterId {
            incarnation: 1,
            sequence: self.offset,
        };
        let time_ms = self.now_ms;
        self.state.apply(self.offset, &Record { id, time_ms, body })
    }

    pub fn accept(&mut self, body: RecordBody) {
        let text = format!("{body:?}");
        assert_eq!(self.apply(body), Verdict::Accepted, "{text}");
    }

    pub fn put(&mut self, resource: Resource) {
        self.accept(RecordBody::Put {
            resource: Box::new(resource),
            if_revision: None,
        });
    }

    pub fn report(&mut self, vm: usize, zones: usize, incarnation: u64, phase: VmPhase) {
        self.now_ms += 1;
        let evidence_ms = self.now_ms;
        let zone = format!("zone-{}", vm % zones);
        self.accept(RecordBody::Report {
            reports: vec![VmReport {
                vm: vm_name(vm).as_str().into(),
                incarnation,
                phase,
                evidence_ms,
                rack: format!("rack-{}", vm % zones).into(),
                zone: zone.into(),
                address: "".into(),
                capacity: resources(16, 64),
            }],
        });
    }

    pub fn job(&mut self, name: &str, cores: u32, change: impl FnOnce(&mut JobSpec)) {
        let mut spec = JobSpec {
            name: name.into(),
            pool: "pool".into(),
            team: "team".into(),
            class: Class::Normal,
            demand: resources(cores, 1),
            run_time_ms: 3_600_000,
            checkpoint: false,
            max_attempts: 5,
            cancelled: false,
        };
        change(&mut spec);
        self.put(Resource::Job(spec));
    }

    pub fn start(&mut self, job: &str, vm: usize) {
        let state = self.state.jobs().get(job).unwrap();
        let (attempt, reserved) = (state.attempts + 1, state.spec.demand);
        self.accept(RecordBody::Start {
            job: job.into(),
            attempt,
            vm: vm_name(vm).as_str().into(),
            reserved,
            holder: "node-1".into(),
        });
    }

    pub fn end(&mut self, job: &str, outcome: JobOutcome) {
        let attempt = self.state.jobs().get(job).unwrap().attempts;
        self.accept(RecordBody::End {
            job: job.into(),
            attempt,
            outcome,
        });
    }

    pub fn claim(&mut self, vm: usize) -> u64 {
        self.accept(RecordBody::Claim {
            vm: vm_name(vm).as_str().into(),
            purpose: ClaimPurpose::Maintain("wave".into()),
            holder: "node-1".into(),
        });
        self.offset
    }

    /// Runs the maintenance of a VM from claim to end.
    pub fn maintain(&mut self, vm: usize, zones: usize, succeeded: bool) {
        let fence = self.claim(vm);
        let name = vm_name(vm);
        self.accept(RecordBody::Begin {
            vm: name.as_str().into(),
            fence,
            not_after_ms: self.now_ms,
        });
        if succeeded {
            self.report(vm, zones, 2, VmPhase::Live);
        }
        self.accept(RecordBody::Done {
            vm: name.as_str().into(),
            fence,
            succeeded,
        });
    }
}

pub fn vm_name(vm: usize) -> String {
    format!("vm-{vm:02}")
}

pub fn resources(cores: u32, memory_gib: u32) -> Resources {
    Resources {
        cores_milli: cores * 1_000,
        memory_mib: memory_gib * 1_024,
        accelerators: 0,
    }
}
