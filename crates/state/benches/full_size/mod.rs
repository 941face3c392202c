//! A fleet of the size that the system is designed for, and records for it.

use {
    lynxwheel_protocol::{
        Amount, Budget, ClaimPurpose, Class, JobSpec, PoolSpec, Record, RecordBody, RequestKey,
        Resource, Resources, TeamSpec, VmPhase, VmReport, VmSpec, WaveAction, WaveGoal, WaveSpec,
        WriterId,
    },
    lynxwheel_state::FleetState,
};

/// Number of VMs at full size.
const FULL_SIZE_VMS: u64 = 1_400;

/// Number of pools at full size.
const FULL_SIZE_POOLS: u64 = 290;

/// Number of teams at full size.
const FULL_SIZE_TEAMS: u64 = 270;

/// Number of jobs at full size.
const FULL_SIZE_JOBS: u64 = 20_000;

/// Time of all records, in milliseconds since the epoch.
const TIME_MS: u64 = 1_700_000_000_000;

/// Builds a fleet of `quarters` quarters of the full size, with every VM live.
pub fn fleet(quarters: u64) -> FleetState {
    let scaled = |count: u64| count * quarters / 4;
    let pools = scaled(FULL_SIZE_POOLS);
    let teams = scaled(FULL_SIZE_TEAMS);
    let wave = WaveSpec {
        name: "wave".into(),
        pools: (0..pools)
            .map(|pool| numbered("pool", pool).as_str().into())
            .collect(),
        action: WaveAction::Reboot,
        goal: WaveGoal::Run,
        due_before_ms: u64::MAX,
        deadline_ms: 0,
    };
    let resources = (0..teams)
        .map(team)
        .chain((0..pools).map(pool))
        .chain((0..scaled(FULL_SIZE_VMS)).map(|number| vm(number, pools)))
        .chain((0..scaled(FULL_SIZE_JOBS)).map(|number| job(number, pools, teams)))
        .chain([Resource::Wave(wave)]);
    let puts = resources.map(|resource| RecordBody::Put {
        resource: Box::new(resource),
        if_revision: None,
    });
    let join = RecordBody::Join {
        node: "node-1".into(),
        fold_version: 1,
    };
    let reports = (0..scaled(FULL_SIZE_VMS)).map(|number| RecordBody::Report {
        reports: vec![report(number, TIME_MS)],
    });
    let mut state = FleetState::new();
    for (offset, body) in (1..).zip([join].into_iter().chain(puts).chain(reports)) {
        assert!(state.apply(offset, &record(offset, body)).is_accepted());
    }
    state
}

/// Adds `count` idempotency keys to `state`.
#[allow(
    dead_code,
    reason = "only one of the programs that share this module measures keys"
)]
pub fn add_keys(state: &mut FleetState, count: u64) {
    for key in 0..count {
        let offset = state.offset() + 1;
        // Keys are digests, so their order is random.
        let digest = u128::from(key).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
        let intent = RecordBody::Intent {
            key: RequestKey(digest),
            request_digest: key,
            holder: "node-1".into(),
        };
        assert!(state.apply(offset, &record(offset, intent)).is_accepted());
    }
}

/// Builds `count` records that maintain one VM after another, to be applied to `state`.
pub fn maintenance(state: &FleetState, count: u64) -> Vec<Record> {
    let vms = state.vms().len() as u64;
    let first = state.offset() + 1;
    (0..count)
        .map(|index| {
            let number = index / 4 % vms;
            let vm = || numbered("vm", number).as_str().into();
            let fence = first + index - index % 4;
            let body = match index % 4 {
                0 => RecordBody::Claim {
                    vm: vm(),
                    purpose: ClaimPurpose::Maintain("wave".into()),
                    holder: "node-1".into(),
                },
                1 => RecordBody::Begin {
                    vm: vm(),
                    fence,
                    not_after_ms: TIME_MS + 10_000,
                },
                2 => RecordBody::Done {
                    vm: vm(),
                    fence,
                    succeeded: true,
                },
                _ => RecordBody::Report {
                    reports: vec![report(number, TIME_MS + index + 10)],
                },
            };
            let mut record = record(first + index, body);
            record.time_ms = TIME_MS + index;
            record
        })
        .collect()
}

fn record(offset: u64, body: RecordBody) -> Record {
    Record {
        id: WriterId {
            incarnation: 1,
            sequence: offset,
        },
        time_ms: TIME_MS,
        body,
    }
}

fn numbered(kind: &str, number: u64) -> String {
    format!("{kind}-{number:05}")
}

fn team(number: u64) -> Resource {
    Resource::Team(TeamSpec {
        name: numbered("team", number).as_str().into(),
        quota: Resources {
            cores_milli: u32::MAX,
            memory_mib: u32::MAX,
            accelerators: u32::MAX,
        },
    })
}

fn pool(number: u64) -> Resource {
    Resource::Pool(PoolSpec {
        name: numbered("pool", number).as_str().into(),
        size: 5,
        budget: Budget {
            min_available: Amount::Count(1),
            zones_at_once: 3,
        },
    })
}

fn vm(number: u64, pools: u64) -> Resource {
    Resource::Vm(VmSpec {
        name: numbered("vm", number).as_str().into(),
        pool: numbered("pool", number % pools).as_str().into(),
    })
}

fn job(number: u64, pools: u64, teams: u64) -> Resource {
    Resource::Job(JobSpec {
        name: numbered("job", number).as_str().into(),
        pool: numbered("pool", number % pools).as_str().into(),
        team: numbered("team", number % teams).as_str().into(),
        class: Class::default(),
        demand: Resources {
            cores_milli: 500,
            memory_mib: 1_024,
            accelerators: 0,
        },
        run_time_ms: 60_000,
        checkpoint: true,
        max_attempts: 3,
        cancelled: false,
    })
}

fn report(number: u64, evidence_ms: u64) -> VmReport {
    VmReport {
        vm: numbered("vm", number).as_str().into(),
        incarnation: 1,
        phase: VmPhase::Live,
        evidence_ms,
        zone: numbered("zone", number % 12).as_str().into(),
        rack: numbered("rack", number / 4).as_str().into(),
        address: "10.0.0.1:8080".into(),
        capacity: Resources {
            cores_milli: 16_000,
            memory_mib: 65_536,
            accelerators: 2,
        },
    }
}
