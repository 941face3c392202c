//! Random histories of a small fleet, and the properties that hold for each of them.

use {
    lynxwheel_protocol::{
        Amount, Budget, ClaimPurpose, PoolSpec, Record, RecordBody, RequestKey, Resource,
        Resources, VmPhase, VmReport, VmSpec, WaveAction, WaveGoal, WaveSpec, WriterId, ZoneName,
    },
    lynxwheel_state::{FleetState, PoolState, Verdict, decode_snapshot, encode_snapshot},
    proptest::prelude::*,
    std::fmt::Debug,
};

/// Number of VMs in the fleet.
const VMS: u8 = 6;

/// Number of pools in the fleet.
const POOLS: u8 = 2;

/// Number of nodes that write records.
const NODES: u8 = 3;

/// Time of the first record, in milliseconds since the epoch.
const START_MS: u64 = 1_000_000;

/// One step of a history.
#[derive(Clone, Debug)]
pub enum Step {
    /// Reports the phase of a VM, with evidence `skew_ms` newer than the step, or older if negative.
    Report { vm: u8, phase: u8, skew_ms: i16 },
    /// Claims a VM for the wave or for its declared move.
    Claim { vm: u8, is_move: bool },
    /// Begins the action of a claim.
    Begin { vm: u8, is_stale: bool },
    /// Takes over a claim.
    TakeOver { vm: u8, is_stale: bool },
    /// Releases a claim.
    Release { vm: u8, is_stale: bool },
    /// Completes maintenance.
    Done { vm: u8, succeeded: bool },
    /// Completes a move.
    HandOver { vm: u8 },
    /// Declares a VM in a pool.
    Declare { vm: u8, pool: u8 },
    /// Changes the budget of a pool.
    Budget { pool: u8, min_available: u8 },
    /// Announces a request with an idempotency key.
    Intend { key: u8 },
    /// Appends an earlier record again.
    Repeat { back: u8 },
}

/// A step and the node that writes it.
#[derive(Clone, Debug)]
pub struct WrittenStep {
    /// Node.
    pub node: u8,
    /// Step.
    pub step: Step,
}

/// Generates histories of up to `max` steps.
pub fn histories(max: usize) -> impl Strategy<Value = Vec<WrittenStep>> {
    let written = (0..NODES, steps()).prop_map(|(node, step)| WrittenStep { node, step });
    prop::collection::vec(written, 1..max)
}

fn steps() -> impl Strategy<Value = Step> {
    let vm = 0..VMS;
    prop_oneof![
        4 => (vm.clone(), 0..4_u8, -50..50_i16)
            .prop_map(|(vm, phase, skew_ms)| Step::Report { vm, phase, skew_ms }),
        4 => (vm.clone(), any::<bool>()).prop_map(|(vm, is_move)| Step::Claim { vm, is_move }),
        2 => (vm.clone(), any::<bool>()).prop_map(|(vm, is_stale)| Step::Begin { vm, is_stale }),
        1 => (vm.clone(), any::<bool>()).prop_map(|(vm, is_stale)| Step::TakeOver { vm, is_stale }),
        1 => (vm.clone(), any::<bool>()).prop_map(|(vm, is_stale)| Step::Release { vm, is_stale }),
        2 => (vm.clone(), any::<bool>()).prop_map(|(vm, succeeded)| Step::Done { vm, succeeded }),
        2 => vm.clone().prop_map(|vm| Step::HandOver { vm }),
        2 => (vm, 0..POOLS).prop_map(|(vm, pool)| Step::Declare { vm, pool }),
        1 => (0..POOLS, 0..4_u8)
            .prop_map(|(pool, min_available)| Step::Budget { pool, min_available }),
        1 => (0..4_u8).prop_map(|key| Step::Intend { key }),
        2 => any::<u8>().prop_map(|back| Step::Repeat { back }),
    ]
}

/// Applies a history and checks the properties after each record.
///
/// # Errors
///
/// Returns the property that does not hold.
pub fn check(history: &[WrittenStep]) -> Result<(), TestCaseError> {
    let mut run = HistoryRun::new();
    for body in set_up() {
        run.append(0, body)?;
    }
    let first = run.records.len();
    for written in history {
        run.apply_step(written)?;
    }
    // A node that starts from a snapshot at any offset must reach the same state.
    let step = (run.records.len() - first).div_ceil(5).max(1);
    for from in (first..run.records.len()).step_by(step) {
        run.check_snapshot_at(from)?;
    }
    Ok(())
}

fn set_up() -> Vec<RecordBody> {
    let wave = WaveSpec {
        name: "wave".into(),
        pools: (0..POOLS)
            .map(|pool| pool_name(pool).as_str().into())
            .collect(),
        action: WaveAction::Reboot,
        goal: WaveGoal::Run,
        due_before_ms: u64::MAX,
        deadline_ms: 0,
    };
    (0..POOLS)
        .map(|pool| pool_spec(pool, 2))
        .chain((0..VMS).map(|vm| vm_spec(vm, vm % POOLS)))
        .chain([Resource::Wave(wave)])
        .map(put)
        .collect()
}

fn put(resource: Resource) -> RecordBody {
    RecordBody::Put {
        resource: Box::new(resource),
        if_revision: None,
    }
}

fn pool_spec(pool: u8, min_available: u8) -> Resource {
    Resource::Pool(PoolSpec {
        name: pool_name(pool).as_str().into(),
        size: u32::from(VMS / POOLS),
        budget: Budget {
            min_available: Amount::Count(u32::from(min_available)),
            zones_at_once: 1,
        },
    })
}

fn vm_spec(vm: u8, pool: u8) -> Resource {
    Resource::Vm(VmSpec {
        name: vm_name(vm).as_str().into(),
        pool: pool_name(pool).as_str().into(),
    })
}

fn pool_name(pool: u8) -> String {
    format!("pool-{pool}")
}

fn vm_name(vm: u8) -> String {
    format!("vm-{vm}")
}

/// A history that is being applied.
struct HistoryRun {
    state: FleetState,
    records: Vec<Record>,
    sequences: [u64; NODES as usize],
}

impl HistoryRun {
    fn new() -> Self {
        let mut run = Self {
            state: FleetState::new(),
            records: Vec::new(),
            sequences: [0; NODES as usize],
        };
        for node in 0..NODES {
            let body = RecordBody::Join {
                node: format!("node-{node}").as_str().into(),
                fold_version: 1,
            };
            let record = run.record(node, body);
            run.apply(record);
        }
        run
    }

    fn record(&mut self, node: u8, body: RecordBody) -> Record {
        let sequence = &mut self.sequences[usize::from(node)];
        *sequence += 1;
        Record {
            id: WriterId {
                incarnation: u64::from(node) + 1,
                sequence: *sequence,
            },
            time_ms: START_MS + self.records.len() as u64 * 10,
            body,
        }
    }

    fn apply(&mut self, record: Record) -> Verdict {
        let offset = self.records.len() as u64 + 1;
        let verdict = self.state.apply(offset, &record);
        self.records.push(record);
        verdict
    }

    fn append(&mut self, node: u8, body: RecordBody) -> Result<(), TestCaseError> {
        let record = self.record(node, body);
        self.check_apply(&record)?;
        Ok(())
    }

    fn apply_step(&mut self, written: &WrittenStep) -> Result<(), TestCaseError> {
        if let Step::Repeat { back } = &written.step {
            let row = self.records.len() - 1 - usize::from(*back) % self.records.len();
            let record = self.records[row].clone();
            let verdict = self.check_apply(&record)?;
            prop_assert_eq!(verdict, Verdict::Duplicate, "{:?}", record);
            return Ok(());
        }
        let body = self.body(&written.step, written.node);
        self.append(written.node, body)
    }

    /// Applies a record and compares the states before and after it.
    fn check_apply(&mut self, record: &Record) -> Result<Verdict, TestCaseError> {
        let before = self.state.clone();
        let verdict = self.apply(record.clone());
        check_counts(&self.state)?;
        if !verdict.is_accepted() {
            let is_same = before.pools() == self.state.pools() && before.vms() == self.state.vms();
            prop_assert!(
                is_same,
                "{record:?} was not accepted and changed VMs or pools"
            );
        }
        if matches!(
            record.body,
            RecordBody::Put { .. } | RecordBody::Report { .. }
        ) {
            return Ok(verdict);
        }
        for pool in self.state.pools().iter() {
            let name = pool.spec.name.as_str();
            let available = before.pools().get(name).map_or(0, |pool| pool.available);
            let is_within_budget = pool.available >= available || pool.available >= pool.floor();
            prop_assert!(is_within_budget, "{record:?} took {name} below its floor");
        }
        Ok(verdict)
    }

    fn check_snapshot_at(&self, from: usize) -> Result<(), TestCaseError> {
        let mut state = FleetState::new();
        for (offset, record) in (1..).zip(&self.records) {
            state.apply(offset, record);
            if offset == from as u64 {
                let bytes = encode_snapshot(&state).map_err(|error| fail(&error))?;
                state = decode_snapshot(&bytes).map_err(|error| fail(&error))?;
            }
        }
        prop_assert_eq!(state.digest(), self.state.digest());
        let bytes = |state| encode_snapshot(state).map_err(|error| fail(&error));
        let is_same = bytes(&state)? == bytes(&self.state)?;
        prop_assert!(is_same, "other bytes from a snapshot at {from}");
        prop_assert!(
            state == self.state,
            "another state from a snapshot at {from}"
        );
        Ok(())
    }

    fn body(&self, step: &Step, node: u8) -> RecordBody {
        let holder = format!("node-{node}").as_str().into();
        match *step {
            Step::Report { vm, phase, skew_ms } => self.report(vm, phase, skew_ms),
            Step::Claim { vm, is_move } => RecordBody::Claim {
                vm: vm_name(vm).as_str().into(),
                purpose: self.purpose(vm, is_move),
                holder,
            },
            Step::Begin { vm, is_stale } => RecordBody::Begin {
                vm: vm_name(vm).as_str().into(),
                fence: self.fence(vm, is_stale),
                not_after_ms: u64::MAX,
            },
            Step::TakeOver { vm, is_stale } => RecordBody::TakeOver {
                vm: vm_name(vm).as_str().into(),
                fence: self.fence(vm, is_stale),
                holder,
            },
            Step::Release { vm, is_stale } => RecordBody::Release {
                vm: vm_name(vm).as_str().into(),
                fence: self.fence(vm, is_stale),
            },
            Step::Done { vm, succeeded } => RecordBody::Done {
                vm: vm_name(vm).as_str().into(),
                fence: self.fence(vm, false),
                succeeded,
            },
            Step::HandOver { vm } => RecordBody::HandOver {
                vm: vm_name(vm).as_str().into(),
                fence: self.fence(vm, false),
            },
            Step::Declare { vm, pool } => put(vm_spec(vm, pool)),
            Step::Budget {
                pool,
                min_available,
            } => put(pool_spec(pool, min_available)),
            Step::Intend { key } => RecordBody::Intent {
                key: RequestKey(u128::from(key)),
                request_digest: 1,
                holder,
            },
            Step::Repeat { .. } => RecordBody::Tick,
        }
    }

    fn report(&self, vm: u8, phase: u8, skew_ms: i16) -> RecordBody {
        let phases = [
            VmPhase::Live,
            VmPhase::Live,
            VmPhase::Failed,
            VmPhase::Leaving,
        ];
        let report = VmReport {
            vm: vm_name(vm).as_str().into(),
            incarnation: 1,
            phase: phases[usize::from(phase) % phases.len()],
            evidence_ms: (START_MS + self.records.len() as u64 * 10)
                .saturating_add_signed(i64::from(skew_ms)),
            zone: format!("zone-{}", vm % 3).as_str().into(),
            rack: "rack".into(),
            address: "127.0.0.1:1".into(),
            capacity: Resources::default(),
        };
        RecordBody::Report {
            reports: vec![report],
        }
    }

    fn purpose(&self, vm: u8, is_move: bool) -> ClaimPurpose {
        let wanted = self.state.vms().get(vm_name(vm).as_str());
        match wanted {
            Some(vm) if is_move => ClaimPurpose::Move(vm.wanted_pool.clone()),
            _ => ClaimPurpose::Maintain("wave".into()),
        }
    }

    fn fence(&self, vm: u8, is_stale: bool) -> u64 {
        let vm = self.state.vms().get(vm_name(vm).as_str());
        let fence = vm
            .and_then(|vm| vm.claim.as_ref())
            .map_or(1, |claim| claim.fence);
        fence - u64::from(is_stale)
    }
}

/// Checks that each VM belongs to one pool and that the counts of the pools are correct.
fn check_counts(state: &FleetState) -> Result<(), TestCaseError> {
    let members: u32 = state.pools().iter().map(|pool| pool.members).sum();
    prop_assert_eq!(members as usize, state.vms().len());
    for pool in state.pools().iter() {
        check_pool(state, pool)?;
    }
    Ok(())
}

fn check_pool(state: &FleetState, pool: &PoolState) -> Result<(), TestCaseError> {
    let members_of_pool = || state.vms().iter().filter(|vm| vm.pool == pool.spec.name);
    prop_assert_eq!(members_of_pool().count(), pool.members as usize);
    let available = members_of_pool().filter(|vm| vm.is_available()).count();
    prop_assert_eq!(available, pool.available as usize);
    let mut zones: Vec<ZoneName> = members_of_pool()
        .filter(|vm| vm.claim.is_some())
        .map(|vm| vm.zone.clone())
        .collect();
    zones.sort();
    let counted: Vec<ZoneName> = pool
        .claimed_zones
        .iter()
        .flat_map(|(zone, count)| std::iter::repeat_n(zone.clone(), *count as usize))
        .collect();
    prop_assert_eq!(zones, counted);
    Ok(())
}

fn fail(error: &impl Debug) -> TestCaseError {
    TestCaseError::fail(format!("{error:?}"))
}
