//! What the main job of the embedded platform came to.

use {serde::Serialize, std::fmt::Write};

/// One pool.
#[derive(Clone, Debug, Serialize)]
pub struct PoolReport {
    /// Pool.
    pub pool: String,
    /// VMs.
    pub vms: u32,
    /// VMs that had to stay available.
    pub promised: u32,
    /// Lowest number of available VMs seen at any offset of the log.
    pub lowest: u32,
    /// Time from the wave's declaration to its last VM, in milliseconds.
    pub roll_out_ms: u64,
    /// Moves of VMs.
    pub vm_moves: u32,
    /// Starts of jobs beyond the first.
    pub job_moves: u32,
}

/// Requests.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RequestReport {
    /// Answered in full.
    pub answered: u32,
    /// Refused.
    pub refused: u32,
    /// Answered otherwise, or not at all.
    pub failed: u32,
    /// Answers that were not the request's own or not whole.
    pub wrong: u32,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u32,
}

/// Outcome of the main job.
#[derive(Clone, Debug, Serialize)]
pub struct DevReport {
    /// Pools by name.
    pub pools: Vec<PoolReport>,
    /// Requests.
    pub requests: RequestReport,
    /// Jobs that succeeded.
    pub jobs_succeeded: u32,
    /// Jobs declared.
    pub jobs_declared: u32,
    /// What did not hold.
    pub broken: Vec<String>,
}

impl DevReport {
    /// Returns the report as one JSON object.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
    }

    /// Returns the report as a table for people.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        let mut line = |cells: [&str; 7]| {
            let [pool, vms, promised, lowest, roll_out, vm_moves, job_moves] = cells;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{pool:<12}{vms:>5}{promised:>10}{lowest:>8}{roll_out:>14}{vm_moves:>10}{job_moves:>11}"
            );
        };
        line([
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
            line([
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
            for broken in &self.broken {
                let _ = writeln!(text, "BROKEN: {broken}");
            }
        }
        text
    }

    /// Tells whether everything held.
    ///
    /// # Errors
    ///
    /// Returns what did not hold.
    pub fn check(&self) -> Result<(), String> {
        if self.broken.is_empty() {
            Ok(())
        } else {
            Err(self.broken.join("; "))
        }
    }
}
