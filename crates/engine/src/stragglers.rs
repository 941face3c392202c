//! Detection of stuck runs, which are stopped and restarted elsewhere.

use crate::{
    endpoints::Endpoint,
    engine::Engine,
    event::{EndpointKey, Now},
    job::TaskRef,
    state::{Attempt, Phase},
};

/// Time without progress of all runs on an endpoint after which they are stopped, in milliseconds.
/// Progress is reported once a second, so this spans at least two reports.
const ALL_STUCK_MS: u64 = 2_200;

/// Time without progress of a single run after which it is stopped, in milliseconds. Other runs on
/// the endpoint progress, so the run may only be slow.
const ONE_STUCK_MS: u64 = 5_000;

/// Divisor of the estimated duration for the longest time without progress of a long run, as
/// progress is reported in whole percent.
const ESTIMATE_PART: u64 = 20;

/// Cooldown of an endpoint whose runs are all stuck, in milliseconds.
const COOLDOWN_MS: u64 = 4_000;

/// A run that may be stuck.
struct Suspect {
    task: TaskRef,
    run: u32,
    stuck_ms: u64,
    limit_ms: u64,
}

impl Engine {
    /// Stops the stuck runs of an endpoint that has just reported.
    ///
    /// Times are measured on the endpoint's clock: an owner that processes several reports late
    /// would otherwise see no progress between them.
    pub(crate) fn stop_stuck_runs(&mut self, key: EndpointKey, clock_ms: u64, now: Now) {
        let suspects = self.suspects(key, clock_ms);
        let is_all_stuck = !suspects.is_empty()
            && suspects
                .iter()
                .all(|suspect| suspect.stuck_ms >= ALL_STUCK_MS.max(suspect.limit_ms));
        let stuck: Vec<(TaskRef, u32)> = suspects
            .iter()
            .filter(|suspect| {
                is_all_stuck || suspect.stuck_ms >= ONE_STUCK_MS.max(suspect.limit_ms)
            })
            .map(|suspect| (suspect.task, suspect.run))
            .collect();
        if is_all_stuck {
            let endpoint = self.endpoints.get_mut(key);
            endpoint.failed_runs += 1;
            endpoint.cooldown_until_ms =
                endpoint.cooldown_until_ms.max(now.steady_ms + COOLDOWN_MS);
        }
        for (task, run) in stuck {
            self.stop_run(&task, run, now);
        }
    }

    fn suspects(&self, key: EndpointKey, clock_ms: u64) -> Vec<Suspect> {
        let endpoint: &Endpoint = self.endpoints.get(key);
        endpoint
            .placed_runs
            .iter()
            .filter(|placed| !placed.is_long_running && !placed.is_filler)
            .filter_map(|placed| {
                let job = self.jobs.get(placed.task.job)?;
                let spec = job.step_spec(&placed.task)?;
                let task = job.task(&placed.task)?;
                let attempt = task
                    .attempts
                    .iter()
                    .find(|attempt| attempt.run == placed.run)?;
                // Members of a gang wait for each other, and a run at 100 % cannot progress
                // further.
                let counts = !spec.gang && counts_as_working(attempt);
                let progress_clock_ms = attempt.progress_clock_ms.filter(|_| counts)?;
                Some(Suspect {
                    task: placed.task,
                    run: placed.run,
                    stuck_ms: clock_ms.saturating_sub(progress_clock_ms),
                    limit_ms: spec.estimated_ms / ESTIMATE_PART,
                })
            })
            .collect()
    }
}

fn counts_as_working(attempt: &Attempt) -> bool {
    attempt.phase == Phase::Confirmed && !attempt.is_stopping() && attempt.percent < 100
}
