//! Measures of a run.

use serde::Serialize;

/// Results of one policy on the inputs of one seed; measures that do not apply are `None`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Name of the experiment.
    pub experiment: &'static str,
    /// Name of the profile.
    pub profile: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Seed of the inputs.
    pub seed: u64,
    /// Planned steps that left a pool below its floor according to the ground truth, and drains that
    /// were not released in time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget_breaches: Option<u64>,
    /// Time from the start of the wave to its completion or the end of the run, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roll_out_s: Option<u64>,
    /// Lower bound of the roll-out time under any policy, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roll_out_bound_s: Option<u64>,
    /// Whether the wave was completed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub is_complete: Option<bool>,
    /// Claimed VMs and capacity that cordons withhold from pending jobs, in VM hours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub buffer_vm_hours: Option<f64>,
    /// VMs handed over to another pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm_moves: Option<u64>,
    /// Attempts that ended with a checkpoint.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job_moves: Option<u64>,
    /// Jobs that were given up although they could have succeeded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_jobs: Option<u64>,
    /// Starts of an attempt that had run before, or while another attempt of its job was running.
    #[serde(rename = "doubled_starts", skip_serializing_if = "Option::is_none")]
    pub duplicate_starts: Option<u64>,
    /// Jobs that succeeded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub completed_jobs: Option<u64>,
    /// Time from the declaration of an urgent job to its first start, 99th percentile, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub urgent_start_p99_s: Option<f64>,
    /// Time from the declaration of a job that is not urgent to its first start, mean, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub start_mean_s: Option<f64>,
    /// Requests sent to an endpoint without a free slot.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overload_refusals: Option<u64>,
    /// Time from the arrival of a request to its completion, 99th percentile, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_p99_ms: Option<f64>,
    /// Time spent in decision functions, in milliseconds.
    pub decision_cpu_ms: f64,
}

/// Returns the nearest-rank percentile of `values`, or 0 if there are none.
#[must_use]
pub fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(rank).copied().unwrap_or(0)
}
