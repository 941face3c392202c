//! Log lines and metrics for the engine's log events.

use {
    log::info,
    lynxwheel_engine::{
        EndKind, ExpiredLeases, JobRefusal, LogEvent, MissingRun, PoolPlan, QuotaWait,
        RefusalReason, RefusedOrder, RunEnd, RunOrder, TaskRef, UnwantedRun,
    },
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

fn order_label(order: RunOrder) -> &'static str {
    match order {
        RunOrder::Start => "start",
        RunOrder::Stop => "stop",
    }
}

fn refusal_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::AccountAtQuota => "account_at_quota",
        RefusalReason::AccountOverShare => "account_over_share",
        RefusalReason::PoolOverloaded => "pool_overloaded",
    }
}

/// Logs events and records their metrics.
///
/// Successful runs are not logged: there are hundreds per second, and the end of their job is
/// logged.
pub fn log_events(epoch: u64, events: &[LogEvent]) {
    for event in events {
        match event {
            LogEvent::RunEnded {
                end: RunEnd::Reported(EndKind::Done),
                after_ms,
                ..
            } => {
                counter!("lynxwheel_runs_total", "end" => "done").increment(1);
                if let Some(after_ms) = *after_ms {
                    histogram!("lynxwheel_run_seconds").record(Duration::from_millis(after_ms));
                }
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
                    "run ended"
                );
            }
            LogEvent::LeasesExpired(expired) => log_expired_leases(epoch, expired),
            LogEvent::OrderRefused(refused) => log_refused_order(epoch, refused),
            LogEvent::RunMissing(missing) => log_missing_run(epoch, missing),
            LogEvent::UnwantedRunListed(unwanted) => log_unwanted_run(epoch, unwanted),
            LogEvent::JobEnded {
                job,
                state,
                after_ms,
            } => {
                histogram!("lynxwheel_job_seconds").record(Duration::from_millis(*after_ms));
                info!(
                    event = "job_ended", epoch = epoch, job = job.as_str(), state:? = state,
                    after_ms = after_ms;
                    "job ended"
                );
            }
            LogEvent::JobRefused(refusal) => log_job_refusal(epoch, refusal),
            LogEvent::JobRefusalOmitted(reason) => count_job_refusal(*reason),
            LogEvent::CrashCharged {
                task,
                endpoint,
                crashes,
                other_crashes,
                is_one_job,
                is_unlikely,
                is_immediate,
                active_ms,
            } => {
                counter!("lynxwheel_crashes_total").increment(1);
                info!(
                    event = "crash_charged", epoch = epoch, task:% = task,
                    endpoint = endpoint.as_str(), crashes = crashes,
                    other_crashes = other_crashes, is_immediate = is_immediate,
                    is_one_job = is_one_job,
                    is_unlikely = is_unlikely, active_ms = active_ms;
                    "endpoint crashed under a task"
                );
            }
            LogEvent::JobGivenUp { task, crashes } => log_job_given_up(epoch, task, *crashes),
            LogEvent::ShareReached(wait) => {
                counter!("lynxwheel_share_waits_total").increment(1);
                info!(
                    event = "share_reached", epoch = epoch, account = wait.account.as_str(),
                    job = wait.job.as_str(), running_cpu_millis = wait.running.cpu_millis,
                    share_cpu_millis = wait.share_cpu_millis;
                    "job waits for the fair share of its account"
                );
            }
            LogEvent::QuotaReached(wait) => log_quota_wait(epoch, wait),
            LogEvent::PoolPlanned(plan) => log_pool_plan(epoch, plan),
            LogEvent::VacatingChanged { .. } => log_vacating(epoch, event),
            LogEvent::VmOrdered { .. } => log_vm_ordered(epoch, event),
            LogEvent::VmOrderWithheld { vm } => log_vm_order_withheld(epoch, vm),
            LogEvent::EndpointResumed { endpoint, after_ms } => {
                log_endpoint_resumed(epoch, endpoint, *after_ms);
            }
            LogEvent::EndpointRestarted {
                endpoint,
                born_ms,
                replaced_born_ms,
                moved_runs,
            } => {
                log_endpoint_restarted(epoch, endpoint, [*born_ms, *replaced_born_ms], *moved_runs);
            }
            LogEvent::EndpointEnded { endpoint, vm, runs } => info!(
                event = "endpoint_over", epoch = epoch, endpoint = endpoint.as_str(),
                vm = vm.as_str(), runs = runs;
                "endpoint ended"
            ),
        }
    }
}

/// Logs that a job fails because of crashes under a task.
fn log_job_given_up(epoch: u64, task: &TaskRef, crashes: u32) {
    info!(
        event = "job_given_up", epoch = epoch, job = task.job.as_str(), task:% = task,
        crashes = crashes;
        "job fails because endpoints crash under its task"
    );
}

/// Logs that the leases of an endpoint count as expired.
fn log_expired_leases(epoch: u64, expired: &ExpiredLeases) {
    let ExpiredLeases {
        endpoint,
        runs,
        silent_ms,
        failed_calls,
    } = expired;
    info!(
        event = "leases_expired", epoch = epoch, endpoint = endpoint.as_str(), runs = runs,
        silent_ms = silent_ms, failed_calls = failed_calls;
        "leases of an unresponsive endpoint count as expired"
    );
}

/// Logs the start times of an incarnation and of the one before it, and how many runs may continue.
fn log_endpoint_restarted(
    epoch: u64,
    endpoint: &str,
    [born_ms, replaced_born_ms]: [Option<u64>; 2],
    moved_runs: usize,
) {
    info!(
        event = "endpoint_restarted", epoch = epoch, endpoint = endpoint, born_ms = born_ms,
        replaced_born_ms = replaced_born_ms, moved_runs = moved_runs;
        "endpoint started again under its id"
    );
}

/// Logs and counts a refused job.
fn log_job_refusal(epoch: u64, refusal: &JobRefusal) {
    let JobRefusal {
        job,
        account,
        pool,
        reason,
        wait_ms,
        on_time_ahead_cpu_ms,
        valuable_ahead_cpu_ms,
        too_late_cpu_ms,
        capacity_cpu_millis,
        plan_age_ms,
        retry_after_ms,
        omitted,
    } = refusal;
    count_job_refusal(*reason);
    info!(
        event = "job_refused", epoch = epoch, job = job.as_str(), account = account.as_str(),
        pool = pool.as_str(), reason = refusal_label(*reason), wait_ms = wait_ms,
        on_time_ahead_cpu_ms = on_time_ahead_cpu_ms,
        valuable_ahead_cpu_ms = valuable_ahead_cpu_ms, too_late_cpu_ms = too_late_cpu_ms,
        capacity_cpu_millis = capacity_cpu_millis, plan_age_ms = plan_age_ms,
        retry_after_ms = retry_after_ms, omitted = omitted;
        "job refused, as it would be completed too late"
    );
}

fn count_job_refusal(reason: RefusalReason) {
    counter!("lynxwheel_jobs_refused_total", "reason" => refusal_label(reason)).increment(1);
}

/// Logs a VM order.
fn log_vm_ordered(epoch: u64, event: &LogEvent) {
    if let LogEvent::VmOrdered {
        vm,
        order,
        is_retry,
        listed,
        list_age_ms,
        endpoint,
        runs,
    } = event
    {
        info!(
            event = "vm_ordered", epoch = epoch, vm = vm.as_str(), order:? = order,
            is_retry = is_retry, list_age_ms = list_age_ms, listed_state:? = listed.state,
            listed_pool = listed.pool.as_str(), listed_endpoint = listed.endpoint.as_str(),
            endpoint = endpoint.as_str(), runs = runs;
            "VM order decided"
        );
    }
}

/// Logs that endpoints of a pool take no more work or take work again.
fn log_vacating(epoch: u64, event: &LogEvent) {
    if let LogEvent::VacatingChanged {
        pool,
        is_vacating,
        endpoints,
    } = event
    {
        info!(
            event = "vm_vacating", epoch = epoch, pool = pool.as_str(),
            is_vacating = is_vacating, endpoints = endpoints;
            "endpoints take no more work or take work again"
        );
    }
}

/// Logs that an endpoint refused an order.
fn log_refused_order(epoch: u64, refused: &RefusedOrder) {
    let RefusedOrder {
        order,
        task,
        run,
        endpoint,
        refusal,
        retry_ms,
    } = refused;
    let order = order_label(*order);
    counter!("lynxwheel_refused_orders_total", "order" => order).increment(1);
    info!(
        event = "order_refused", epoch = epoch, order = order, task:% = task, run = run,
        endpoint = endpoint.as_str(), refusal:? = refusal, retry_ms = retry_ms;
        "endpoint refused an order"
    );
}

/// Logs that an endpoint omits a run whose end it has not listed.
fn log_missing_run(epoch: u64, missing: &MissingRun) {
    let listed = missing.listed_ends;
    info!(
        event = "run_missing", epoch = epoch, task:% = missing.task, run = missing.run,
        endpoint = missing.endpoint.as_str(), born_ms = missing.born_ms,
        processed_end = missing.processed_end, acknowledged_end = missing.acknowledged_end,
        first_listed_end = listed.map(|(first, _)| first),
        last_listed_end = listed.map(|(_, last)| last);
        "endpoint omits a run whose end it has not listed"
    );
}

/// Logs that an endpoint lists a run that should not be active.
fn log_unwanted_run(epoch: u64, unwanted: &UnwantedRun) {
    let UnwantedRun {
        task,
        run,
        endpoint,
        is_known,
        since_ms,
    } = unwanted;
    counter!("lynxwheel_unwanted_runs_total").increment(1);
    info!(
        event = "unwanted_run", epoch = epoch, task:% = task, run = run,
        endpoint = endpoint.as_str(), is_known = is_known, since_ms = since_ms;
        "endpoint lists a run that should not be active"
    );
}

/// Logs that a VM order was not sent.
fn log_vm_order_withheld(epoch: u64, vm: &str) {
    info!(
        event = "vm_order_withheld", epoch = epoch, vm = vm;
        "VM order not sent, as the ownership may have ended"
    );
}

/// Logs that an endpoint is active whose end was inferred.
fn log_endpoint_resumed(epoch: u64, endpoint: &str, after_ms: u64) {
    info!(
        event = "endpoint_resumed", epoch = epoch, endpoint = endpoint, after_ms = after_ms;
        "endpoint is active although it was taken for ended"
    );
}

/// Logs that tasks wait for their account's quota.
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
        "tasks wait for the quota of their account"
    );
}

/// Logs a pool's plan and sets its gauges.
fn log_pool_plan(epoch: u64, plan: &PoolPlan) {
    let PoolPlan {
        pool,
        members,
        pinned,
        arriving,
        vacating,
        supply_cpu_millis,
        used_cpu_millis,
        used_memory_mb,
        wanted_cpu_millis,
        moved_in,
        moved_out,
    } = plan;
    let gauges = [
        ("members", gauge_value(*members)),
        ("pinned", gauge_value(*pinned)),
        ("arriving", gauge_value(*arriving)),
        ("vacating", gauge_value(*vacating)),
    ];
    for (what, value) in gauges {
        gauge!("lynxwheel_pool_vms", "pool" => pool.to_string(), "what" => what).set(value);
    }
    info!(
        event = "pool", epoch = epoch, pool = pool.as_str(), members = members, pinned = pinned,
        arriving = arriving, vacating = vacating, supply_cpu_millis = supply_cpu_millis,
        used_cpu_millis = used_cpu_millis, used_memory_mb = used_memory_mb,
        wanted_cpu_millis = wanted_cpu_millis, moved_in = moved_in, moved_out = moved_out;
        "pool planned"
    );
}

fn gauge_value(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::INFINITY, f64::from)
}
