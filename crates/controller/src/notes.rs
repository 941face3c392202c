//! Log lines of what the owner found out.

use {
    log::info,
    lynxwheel_engine::{EndKind, LogEvent, PoolPlan, QuotaWait, RunEnd},
    metrics::{counter, gauge, histogram},
    std::time::Duration,
};

fn end_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Reported(EndKind::Done) => "done",
        RunEnd::Reported(EndKind::Failed) => "failed",
        RunEnd::Reported(_) => "stopped",
        RunEnd::Refused | RunEnd::NeverOrdered => "not_started",
        RunEnd::Missing | RunEnd::EndpointOver | RunEnd::LeaseOver => "lost",
    }
}

/// Writes a line for each note.
///
/// Runs that ended as done are left out: there are hundreds a second, and their job's end tells of
/// them.
pub fn log_notes(epoch: u64, notes: &[LogEvent]) {
    for note in notes {
        match note {
            LogEvent::RunEnded {
                end: RunEnd::Reported(EndKind::Done),
                after_ms,
                ..
            } => {
                counter!("lynxwheel_runs_total", "end" => "done").increment(1);
                histogram!("lynxwheel_run_seconds").record(Duration::from_millis(*after_ms));
            }
            LogEvent::RunEnded {
                task,
                run,
                endpoint,
                end,
                after_ms,
            } => {
                counter!("lynxwheel_runs_total", "end" => end_label(*end)).increment(1);
                info!(
                event = "run_over", epoch = epoch, task:% = task, run = run,
                endpoint = endpoint.as_str(), end:? = end, after_ms = after_ms;
                ""
                );
            }
            LogEvent::JobEnded {
                job,
                state,
                after_ms,
            } => {
                histogram!("lynxwheel_job_seconds").record(Duration::from_millis(*after_ms));
                info!(
                event = "job_ended", epoch = epoch, job = job.as_str(), state:? = state,
                after_ms = after_ms;
                ""
                );
            }
            LogEvent::ShareReached(wait) => {
                counter!("lynxwheel_share_waits_total").increment(1);
                info!(
                    event = "share_reached", epoch = epoch, account = wait.account.as_str(),
                    job = wait.job.as_str(), running_cpu_millis = wait.running.cpu_millis,
                    share_cpu_millis = wait.share_cpu_millis;
                    ""
                );
            }
            LogEvent::QuotaReached(wait) => log_quota_wait(epoch, wait),
            LogEvent::PoolPlanned(plan) => log_plan(epoch, plan),
            LogEvent::EndpointEnded { endpoint, vm, runs } => info!(
                event = "endpoint_over", epoch = epoch, endpoint = endpoint.as_str(),
                vm = vm.as_str(), runs = runs;
                ""
            ),
        }
    }
}

/// Writes that tasks wait for their account's quota.
fn log_quota_wait(epoch: u64, wait: &QuotaWait) {
    let QuotaWait {
        account,
        job,
        wanted,
        running,
        quota,
    } = wait;
    counter!("lynxwheel_quota_waits_total").increment(1);
    info!(
        event = "quota_reached", epoch = epoch, account = account.as_str(), job = job.as_str(),
        wanted_cpu_millis = wanted.cpu_millis, wanted_memory_mb = wanted.memory_mb,
        running_cpu_millis = running.cpu_millis, running_memory_mb = running.memory_mb,
        running_gpus = running.gpus, quota_cpu_millis = quota.cpu_millis,
        quota_memory_mb = quota.memory_mb, quota_gpus = quota.gpus;
        ""
    );
}

/// Writes how a pool stands, and keeps it as gauges.
fn log_plan(epoch: u64, plan: &PoolPlan) {
    let PoolPlan {
        pool,
        members,
        pinned,
        arriving,
        supply_cpu_millis,
        used_cpu_millis,
        used_memory_mb,
        wanted_cpu_millis,
        moved_in,
        moved_out,
    } = plan;
    let gauges = [
        ("members", count(*members)),
        ("pinned", count(*pinned)),
        ("arriving", count(*arriving)),
    ];
    for (what, value) in gauges {
        gauge!("lynxwheel_pool_vms", "pool" => pool.to_string(), "what" => what).set(value);
    }
    info!(
        event = "pool", epoch = epoch, pool = pool.as_str(), members = members, pinned = pinned,
        arriving = arriving, supply_cpu_millis = supply_cpu_millis,
        used_cpu_millis = used_cpu_millis, used_memory_mb = used_memory_mb,
        wanted_cpu_millis = wanted_cpu_millis, moved_in = moved_in, moved_out = moved_out;
        ""
    );
}

fn count(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::INFINITY, f64::from)
}
