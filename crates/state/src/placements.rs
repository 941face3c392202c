//! Attempts of jobs: start, stop, end and usage, and quarantine of VMs.

use {
    crate::{
        fleet::FleetState,
        jobs::{Attempt, JobPhase, JobState},
        verdict::{Rejection, Verdict},
        vms::VmState,
    },
    compact_str::CompactString,
    lynxwheel_protocol::{JobName, JobOutcome, NodeName, Resources, VmName, VmPhase},
};

/// Lease of an attempt, in milliseconds; a worker stops an attempt whose lease is not renewed.
pub const TASK_LEASE_MS: u64 = 30_000;

/// Time after which an attempt on a failed VM has ended, in milliseconds: its lease, doubled to
/// allow for clock skew.
const ATTEMPT_LOST_AFTER_MS: u64 = 2 * TASK_LEASE_MS;

/// Maximum share of a pool's VMs in quarantine, in percent; one VM is always allowed.
const QUARANTINE_PERCENT: u32 = 10;

/// Maximum duration of a quarantine, in milliseconds; bounds the effect of a wrong clock.
const MAX_QUARANTINE_MS: u64 = 24 * 60 * 60 * 1_000;

impl FleetState {
    /// Places an attempt of a pending job on a VM.
    pub(crate) fn start(
        &mut self,
        offset: u64,
        name: &JobName,
        attempt: u32,
        vm: &VmName,
        reserved: &Resources,
        holder: &NodeName,
    ) -> Verdict {
        let vm_incarnation = match self.check_start(name, attempt, vm, reserved) {
            Ok(vm) => vm.incarnation,
            Err(rejection) => return Verdict::Rejected(rejection),
        };
        let since_ms = self.time_ms;
        let Some(job) = self.jobs.get_mut(name.as_str()) else {
            return Verdict::Rejected(Rejection::WrongAttempt { job: name.clone() });
        };
        job.phase = JobPhase::Running;
        job.attempts = attempt;
        job.attempt = Some(Attempt {
            vm: vm.clone(),
            vm_incarnation,
            holder: holder.clone(),
            fence: offset,
            reserved: *reserved,
            since_ms,
            stopping: false,
        });
        let team = job.spec.team.clone();
        if let Some(team) = self.teams.get_mut(team.as_str()) {
            team.used = team.used.plus(reserved);
        }
        self.change_vm(vm.as_str(), |vm| {
            vm.reserved = vm.reserved.plus(reserved);
            if let Err(row) = vm.attempts.binary_search(name) {
                vm.attempts.insert(row, name.clone());
            }
        });
        Verdict::Accepted
    }

    /// Checks whether a start would be accepted by the current state, and returns its VM.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it would be rejected.
    pub fn check_start(
        &self,
        name: &JobName,
        attempt: u32,
        vm_name: &VmName,
        reserved: &Resources,
    ) -> Result<&VmState, Rejection> {
        let job = self
            .jobs
            .get(name.as_str())
            .filter(|job| job.phase == JobPhase::Pending && attempt == job.attempts + 1)
            .ok_or_else(|| Rejection::WrongAttempt { job: name.clone() })?;
        let vm = self
            .vms
            .get(vm_name.as_str())
            .ok_or_else(|| Rejection::UnknownVm {
                vm: vm_name.clone(),
            })?;
        let can_take = vm.pool == job.spec.pool
            && vm.is_available()
            && vm.quarantined_until_ms <= self.time_ms
            && reserved.fits(&vm.free());
        if !can_take {
            return Err(Rejection::VmNotFit {
                vm: vm_name.clone(),
            });
        }
        let within_quota = self
            .teams
            .get(job.spec.team.as_str())
            .is_some_and(|team| team.used.plus(reserved).fits(&team.spec.quota));
        if !within_quota {
            return Err(Rejection::QuotaExceeded {
                team: job.spec.team.clone(),
            });
        }
        Ok(vm)
    }

    /// Marks a running attempt as stopping.
    pub(crate) fn stop(&mut self, name: &JobName, attempt: u32) -> Verdict {
        match self.running_job(name, attempt) {
            Some(job) => {
                if let Some(attempt) = &mut job.attempt {
                    attempt.stopping = true;
                }
                Verdict::Accepted
            }
            None => Verdict::Rejected(Rejection::WrongAttempt { job: name.clone() }),
        }
    }

    /// Ends an attempt and frees its resources.
    pub(crate) fn end(&mut self, name: &JobName, attempt: u32, outcome: JobOutcome) -> Verdict {
        let time_ms = self.time_ms;
        let ended = self
            .running_job(name, attempt)
            .and_then(|job| job.attempt.clone())
            .filter(|attempt| outcome != JobOutcome::Lost || self.is_attempt_over(attempt));
        let Some(ended) = ended else {
            return Verdict::Rejected(Rejection::WrongAttempt { job: name.clone() });
        };
        let Some(job) = self.jobs.get_mut(name.as_str()) else {
            return Verdict::Rejected(Rejection::WrongAttempt { job: name.clone() });
        };
        end_attempt(job, &ended, outcome, time_ms);
        let team = job.spec.team.clone();
        if let Some(team) = self.teams.get_mut(team.as_str()) {
            team.used = team.used.minus(&ended.reserved);
        }
        self.change_vm(ended.vm.as_str(), |vm| {
            vm.reserved = vm.reserved.minus(&ended.reserved);
            if let Ok(row) = vm.attempts.binary_search(name) {
                vm.attempts.remove(row);
            }
            match outcome {
                JobOutcome::Failed => vm.failures += 1,
                JobOutcome::Succeeded => vm.failures = 0,
                _ => {}
            }
        });
        Verdict::Accepted
    }

    /// Returns whether an attempt on an unreachable VM has certainly ended.
    ///
    /// An unreachable VM may still run the attempt. The attempt has ended if the VM has a new
    /// incarnation, is no longer declared, or has failed for longer than the attempt's lease.
    #[must_use]
    pub fn is_attempt_over(&self, attempt: &Attempt) -> bool {
        self.vms.get(attempt.vm.as_str()).is_none_or(|vm| {
            vm.incarnation > attempt.vm_incarnation
                || vm.phase == VmPhase::Failed
                    && self.time_ms >= vm.evidence_ms + ATTEMPT_LOST_AFTER_MS
        })
    }

    /// Raises the usage estimate of a job and the reservation of its running attempt.
    ///
    /// Otherwise jobs placed on the VM by the declared demand could run out of memory.
    pub(crate) fn usage(&mut self, name: &JobName, attempt: u32, used: &Resources) -> Verdict {
        let Some(job) = self.running_job(name, attempt) else {
            return Verdict::Rejected(Rejection::WrongAttempt { job: name.clone() });
        };
        job.estimate.used = job.estimate.used.component_max(used);
        let team = job.spec.team.clone();
        let Some(run) = &mut job.attempt else {
            return Verdict::Accepted;
        };
        let reserved = run.reserved.component_max(used);
        let added = reserved.minus(&run.reserved);
        run.reserved = reserved;
        let vm = run.vm.clone();
        if let Some(team) = self.teams.get_mut(team.as_str()) {
            team.used = team.used.plus(&added);
        }
        self.change_vm(vm.as_str(), |vm| vm.reserved = vm.reserved.plus(&added));
        Verdict::Accepted
    }

    /// Gives up a pending job.
    pub(crate) fn give_up(&mut self, name: &JobName, reason: &CompactString) -> Verdict {
        let job = self
            .jobs
            .get_mut(name.as_str())
            .filter(|job| job.phase == JobPhase::Pending);
        let Some(job) = job else {
            return Verdict::Rejected(Rejection::WrongAttempt { job: name.clone() });
        };
        job.phase = JobPhase::GivenUp;
        job.reason.clone_from(reason);
        Verdict::Accepted
    }

    /// Quarantines a VM, unless too many VMs of its pool are in quarantine.
    pub(crate) fn quarantine(&mut self, name: &VmName, until_ms: u64) -> Verdict {
        let Some(vm) = self.vms.get(name.as_str()) else {
            return Verdict::Rejected(Rejection::UnknownVm { vm: name.clone() });
        };
        let members = self
            .pools
            .get(vm.pool.as_str())
            .map_or(0, |pool| pool.members);
        let others = self
            .vms
            .iter()
            .filter(|other| other.pool == vm.pool && other.name != vm.name)
            .filter(|other| other.quarantined_until_ms > self.time_ms)
            .count();
        let limit = (members * QUARANTINE_PERCENT / 100).max(1) as usize;
        if others >= limit {
            return Verdict::Rejected(Rejection::VmNotFit { vm: name.clone() });
        }
        let latest_ms = self.time_ms + MAX_QUARANTINE_MS;
        self.change_vm(name.as_str(), |vm| {
            vm.quarantined_until_ms = until_ms.min(latest_ms);
            vm.failures = 0;
        });
        Verdict::Accepted
    }

    fn running_job(&mut self, name: &JobName, attempt: u32) -> Option<&mut JobState> {
        self.jobs
            .get_mut(name.as_str())
            .filter(|job| job.phase == JobPhase::Running && job.attempts == attempt)
    }
}

fn end_attempt(job: &mut JobState, ended: &Attempt, outcome: JobOutcome, time_ms: u64) {
    job.attempt = None;
    job.estimate.longest_run_ms = job
        .estimate
        .longest_run_ms
        .max(time_ms.saturating_sub(ended.since_ms));
    job.pending_since_ms = time_ms;
    job.phase = JobPhase::Pending;
    if outcome == JobOutcome::Succeeded {
        job.phase = JobPhase::Succeeded;
        return;
    }
    if outcome == JobOutcome::Failed {
        job.failures += 1;
        if let Err(row) = job.failed_on.binary_search(&ended.vm) {
            job.failed_on.insert(row, ended.vm.clone());
        }
    }
    if job.spec.cancelled {
        job.phase = JobPhase::Cancelled;
        job.reason = "cancelled by the operator".into();
    } else if job.failures >= job.spec.max_attempts {
        job.phase = JobPhase::GivenUp;
        job.reason = compact_str::format_compact!("failed {} times", job.failures);
    }
}
