//! Runs that stand still: stopped, so that they go on elsewhere.

use crate::{
    endpoints::Endpoint,
    engine::Engine,
    event::{EndpointKey, Now},
    job::TaskRef,
    state::{Attempt, Phase},
};

/// Time without progress of any run on an endpoint after which they are stopped, in milliseconds of
/// the endpoint's clock. Progress is told once a second, so this spans at least two reports.
const ALL_STUCK_MS: u64 = 2_200;

/// Time without progress of a single run after which it is stopped, in milliseconds: others go on
/// beside it, so the endpoint is sound and the run may only be slow.
const ONE_STUCK_MS: u64 = 5_000;

/// Part of its estimated time for which a long run may show no progress: it is told in whole
/// percent.
const ESTIMATE_PART: u64 = 20;

/// Rest of an endpoint whose runs stand still, in milliseconds.
const COOLDOWN_MS: u64 = 4_000;

/// A run that might stand still.
struct Suspect {
    task: TaskRef,
    run: u32,
    stuck_ms: u64,
    limit_ms: u64,
}

impl Engine {
    /// Stops the runs of an endpoint that stand still, when it has reported.
    ///
    /// The time is told by the endpoint's own clock. By the owner's, one that read reports seconds
    /// late saw no progress between two of the same moment, and stopped sound runs by the hundred.
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
                // Members of a gang wait for each other; a run at its end has nothing to show.
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
    attempt.phase == Phase::Confirmed && !attempt.is_stopping && attempt.percent < 100
}
