//! One line of results.

use serde::Serialize;

/// What one policy did with the inputs of one seed; a measure that does not apply is left out.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Experiment.
    pub experiment: &'static str,
    /// Profile.
    pub profile: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// Seed.
    pub seed: u64,
    /// Planned steps that took a pool below its floor by the truth.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget_breaches: Option<u64>,
    /// Time from the wave's start to its last VM, in seconds; the whole run when it did not end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roll_out_s: Option<u64>,
    /// Time below which no policy can come, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub roll_out_bound_s: Option<u64>,
    /// Whether the wave ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub is_complete: Option<bool>,
    /// VMs out of service for planned work or kept free of wanted work, over time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub buffer_vm_hours: Option<f64>,
    /// VMs handed over to another pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm_moves: Option<u64>,
    /// Attempts that were ended for planned work or for urgent work and went on elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub job_moves: Option<u64>,
    /// Jobs that could run and were given up.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost_jobs: Option<u64>,
    /// Attempts that ran twice, or beside another one of their job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub doubled_starts: Option<u64>,
    /// Jobs completed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub completed_jobs: Option<u64>,
    /// Time from the declaration of an urgent job to its start, 99th percentile, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub urgent_start_p99_s: Option<f64>,
    /// Time from the declaration of a job to its first start, mean, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub start_mean_s: Option<f64>,
    /// Requests sent to an endpoint whose slots were all taken.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub overload_refusals: Option<u64>,
    /// Time of a request, 99th percentile, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_p99_ms: Option<f64>,
    /// Time spent in decisions, in milliseconds of one core.
    pub decision_cpu_ms: f64,
}

/// Returns the value below which `percent` of the values lie; 0 for none.
#[must_use]
pub fn percentile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(rank).copied().unwrap_or(0)
}
