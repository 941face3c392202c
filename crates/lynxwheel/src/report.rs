//! Report of the main job of the embedded platform.

use {serde::Serialize, std::fmt::Write};

/// Availability and maintenance of one pool.
#[derive(Clone, Debug, Serialize)]
pub struct PoolReport {
    /// Name of the pool.
    pub pool: String,
    /// Number of VMs.
    pub vms: u32,
    /// Guaranteed number of available VMs.
    pub promised: u32,
    /// Lowest number of available VMs at any offset of the log.
    pub lowest: u32,
    /// Time from the declaration of the wave to the maintenance of its last VM, in milliseconds.
    pub roll_out_ms: u64,
    /// VMs moved into the pool.
    pub vm_moves: u32,
    /// Restarts of jobs after their first attempt.
    pub job_moves: u32,
}

/// Outcomes of the requests.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestReport {
    /// Requests with the complete response.
    pub answered: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Requests without a response.
    pub failed: u32,
    /// Requests with another request's response or an incomplete one.
    pub wrong: u32,
    /// Repeated runs of non-idempotent requests.
    pub doubled: u32,
}

/// Outcome of the main job.
#[derive(Clone, Debug, Serialize)]
pub struct DevReport {
    /// Pools, sorted by name.
    pub pools: Vec<PoolReport>,
    /// Outcomes of the requests.
    pub requests: RequestReport,
    /// Jobs that succeeded.
    pub jobs_succeeded: u32,
    /// Jobs declared.
    pub jobs_declared: u32,
    /// Violated guarantees.
    pub broken: Vec<String>,
}

impl DevReport {
    /// Returns the report as one JSON object.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
    }

    /// Returns the report as a table and a summary.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        let mut add_row = |cells: [&str; 7]| {
            let [pool, vms, promised, lowest, roll_out, vm_moves, job_moves] = cells;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{pool:<12}{vms:>5}{promised:>10}{lowest:>8}{roll_out:>14}{vm_moves:>10}{job_moves:>11}"
            );
        };
        add_row([
            "POOL",
            "VMS",
            "PROMISED",
            "LOWEST",
            "ROLL-OUT (S)",
            "VM MOVES",
            "JOB MOVES",
        ]);
        for pool in &self.pools {
            let seconds = format!(
                "{}.{:01}",
                pool.roll_out_ms / 1_000,
                pool.roll_out_ms % 1_000 / 100
            );
            add_row([
                &pool.pool,
                &pool.vms.to_string(),
                &pool.promised.to_string(),
                &pool.lowest.to_string(),
                &seconds,
                &pool.vm_moves.to_string(),
                &pool.job_moves.to_string(),
            ]);
        }
        let requests = &self.requests;
        let _ = writeln!(
            text,
            "\nrequests: {} answered, {} refused, {} failed, {} wrong, {} doubled\njobs: {} of {} succeeded",
            requests.answered,
            requests.refused,
            requests.failed,
            requests.wrong,
            requests.doubled,
            self.jobs_succeeded,
            self.jobs_declared,
        );
        if self.broken.is_empty() {
            text.push_str("everything held");
        } else {
            for violation in &self.broken {
                let _ = writeln!(text, "BROKEN: {violation}");
            }
        }
        text
    }

    /// Checks that no guarantee was violated.
    ///
    /// # Errors
    ///
    /// Returns the violations, separated by semicolons.
    pub fn check(&self) -> Result<(), String> {
        if self.broken.is_empty() {
            Ok(())
        } else {
            Err(self.broken.join("; "))
        }
    }
}
