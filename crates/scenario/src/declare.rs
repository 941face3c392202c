//! Declarations of resources by operators.

use {
    crate::command::Command,
    lynxwheel_protocol::{
        Amount, Budget, Class, JobSpec, PolicySpec, PoolSpec, RecordBody, Resource, Resources,
        TeamSpec, VmSpec, WaveAction, WaveGoal, WaveSpec, Weights,
    },
};

/// Default for the maximum number of attempts of a job.
const MAX_ATTEMPTS: u32 = 3;

/// Declared run time of every job, in milliseconds.
const RUN_TIME_MS: u64 = 60_000;

/// Returns the record of a declaration, or `None` for other commands.
pub(crate) fn declaration(command: &Command, now_ms: u64) -> Option<RecordBody> {
    let if_revision = match command {
        Command::Pool { if_revision, .. } | Command::Vm { if_revision, .. } => *if_revision,
        _ => None,
    };
    let resource = resource(command, now_ms)?;
    Some(RecordBody::Put {
        resource: Box::new(resource),
        if_revision,
    })
}

fn resource(command: &Command, now_ms: u64) -> Option<Resource> {
    match command {
        Command::Pool { .. } => pool(command),
        Command::Vm { name, pool, .. } => Some(Resource::Vm(VmSpec {
            name: name.as_str().into(),
            pool: pool.as_str().into(),
        })),
        Command::Wave {
            name,
            pool,
            goal,
            deadline_in_ms,
        } => Some(Resource::Wave(WaveSpec {
            name: name.as_str().into(),
            pools: vec![pool.as_str().into()],
            action: WaveAction::Reboot,
            goal: goal.map_or(WaveGoal::Run, |goal| goal.0),
            due_before_ms: now_ms,
            deadline_ms: deadline_in_ms.map_or(0, |deadline_ms| now_ms + deadline_ms),
        })),
        Command::Team { name, cores_milli } => Some(Resource::Team(TeamSpec {
            name: name.as_str().into(),
            quota: cores(*cores_milli),
        })),
        Command::Job { .. } => job(command),
        Command::Policy {
            key_keep_ms,
            key_limit,
        } => Some(Resource::Policy(PolicySpec {
            name: "limits".into(),
            weights: Weights {
                roll_out: 1,
                buffer: 1,
                moves: 1,
            },
            key_keep_ms: *key_keep_ms,
            key_limit: *key_limit,
        })),
        _ => None,
    }
}

fn pool(command: &Command) -> Option<Resource> {
    let Command::Pool {
        name,
        size,
        floor,
        zones,
        ..
    } = command
    else {
        return None;
    };
    Some(Resource::Pool(PoolSpec {
        name: name.as_str().into(),
        size: *size,
        budget: Budget {
            min_available: Amount::Count(*floor),
            zones_at_once: zones.unwrap_or(1),
        },
    }))
}

fn job(command: &Command) -> Option<Resource> {
    let Command::Job {
        name,
        pool,
        team,
        cores_milli,
        class,
        max_attempts,
        cancelled,
    } = command
    else {
        return None;
    };
    Some(Resource::Job(JobSpec {
        name: name.as_str().into(),
        pool: pool.as_str().into(),
        team: team.as_str().into(),
        class: class.map_or(Class::Normal, |class| class.0),
        demand: cores(*cores_milli),
        run_time_ms: RUN_TIME_MS,
        checkpoint: true,
        max_attempts: max_attempts.unwrap_or(MAX_ATTEMPTS),
        cancelled: *cancelled,
    }))
}

fn cores(cores_milli: u32) -> Resources {
    Resources {
        cores_milli,
        memory_mib: cores_milli,
        accelerators: 0,
    }
}
