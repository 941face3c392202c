//! State of one VM in the platform: incarnation, drain, fencing and tasks.

use lynxwheel_protocol::{
    ActionRequest, RackName, Resources, TaskReport, TaskStart, TaskState, VmAction, VmEntry,
    VmListState, VmName, ZoneName,
};

/// Rejection reason of an endpoint whose slots are all in use.
pub(crate) const NO_FREE_SLOT: &str = "no free slot";

/// An attempt of a job on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// Request that started it.
    pub start: TaskStart,
    /// Current state.
    pub state: TaskState,
    /// Time of the start, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Time of the expiry of its lease, in milliseconds since the epoch.
    pub lease_until_ms: u64,
}

/// A VM of the platform.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name of the VM.
    pub name: VmName,
    /// Number of its current incarnation; increases with each restart.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack in the zone.
    pub rack: RackName,
    /// Address of its endpoint as `ip:port`.
    pub address: String,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Whether it is running.
    pub is_up: bool,
    /// Whether it has announced that it will leave.
    pub is_leaving: bool,
    /// Whether it accepts no new requests because it is being drained.
    pub is_draining: bool,
    /// Number of requests in progress.
    pub in_progress: u32,
    /// Highest fencing token received.
    pub fence: u64,
    /// Fencing token of the last reboot; each token causes at most one reboot.
    pub last_reboot_fence: u64,
    /// Time of the next restart, in milliseconds since the epoch.
    pub restart_ms: Option<u64>,
    /// Attempts of the current incarnation.
    pub tasks: Vec<Task>,
    /// Job and attempt of every start in all incarnations, for checkers.
    pub started_attempts: Vec<(String, u32)>,
    /// Number of times that it was stopped in all incarnations, for checkers.
    pub stop_count: u32,
}

impl Machine {
    /// Returns the entry of the VM in the VM list.
    #[must_use]
    pub fn list_entry(&self) -> VmEntry {
        VmEntry {
            name: self.name.clone(),
            incarnation: self.incarnation,
            state: if self.is_leaving {
                VmListState::Leaving
            } else {
                VmListState::Live
            },
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            address: self.address.as_str().into(),
            capacity: self.capacity,
        }
    }

    /// Performs an action unless its fencing token is outdated or its time limit has passed.
    ///
    /// # Errors
    ///
    /// Returns the reason if the action is rejected.
    pub fn perform_action(
        &mut self,
        request: &ActionRequest,
        now_ms: u64,
        reboot_ms: u64,
    ) -> Result<(), String> {
        if request.fence < self.fence {
            return Err(format!(
                "fencing number {} is lower than {}",
                request.fence, self.fence
            ));
        }
        if now_ms > request.not_after_ms {
            return Err("too late".into());
        }
        let is_stale_incarnation = request.vm_incarnation != self.incarnation;
        let is_repeated = request.fence == self.last_reboot_fence;
        self.fence = request.fence;
        match request.action {
            VmAction::Drain => self.is_draining = true,
            VmAction::Undrain => self.is_draining = false,
            VmAction::Reboot if is_repeated || is_stale_incarnation => {}
            VmAction::Reboot => {
                self.last_reboot_fence = request.fence;
                self.shut_down(now_ms + reboot_ms);
            }
        }
        Ok(())
    }

    /// Admits a request unless it is for another incarnation or cannot be served now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is rejected; it has not started then.
    pub fn admit_request(
        &mut self,
        incarnation: Option<u64>,
        slots: u32,
    ) -> Result<(), &'static str> {
        if incarnation.is_some_and(|incarnation| incarnation != self.incarnation) {
            return Err("another incarnation");
        }
        if !self.is_up {
            return Err("down");
        }
        if self.is_draining || self.is_leaving {
            return Err("leaving");
        }
        if self.in_progress >= slots {
            return Err(NO_FREE_SLOT);
        }
        self.in_progress += 1;
        Ok(())
    }

    /// Stops the VM and its tasks until `restart_ms`.
    pub fn shut_down(&mut self, restart_ms: u64) {
        self.is_up = false;
        self.restart_ms = Some(restart_ms);
        self.tasks.clear();
        self.stop_count += 1;
    }

    /// Starts the next incarnation if the restart is due; returns whether it did.
    pub fn restart_if_due(&mut self, now_ms: u64) -> bool {
        if self.is_up || self.restart_ms.is_none_or(|restart_ms| now_ms < restart_ms) {
            return false;
        }
        self.restart_ms = None;
        self.incarnation += 1;
        self.is_up = true;
        self.is_draining = false;
        self.is_leaving = false;
        true
    }

    /// Starts an attempt, or renews its lease if it has already started.
    ///
    /// # Errors
    ///
    /// Returns the reason if the attempt is rejected; it has not started then.
    pub fn start_task(
        &mut self,
        start: &TaskStart,
        now_ms: u64,
        fails: bool,
    ) -> Result<(), String> {
        if !self.is_up {
            return Err("down".into());
        }
        let existing = self
            .tasks
            .iter_mut()
            .find(|task| task.start.job == start.job && task.start.attempt == start.attempt);
        if let Some(task) = existing {
            task.lease_until_ms = now_ms + start.lease_ms;
            return Ok(());
        }
        if start.vm_incarnation != self.incarnation {
            return Err("placed on another incarnation".into());
        }
        if now_ms > start.not_after_ms {
            return Err("too late".into());
        }
        if self.is_draining || self.is_leaving {
            return Err("draining".into());
        }
        self.started_attempts
            .push((start.job.as_str().into(), start.attempt));
        self.tasks.push(Task {
            start: start.clone(),
            state: if fails {
                TaskState::Failed
            } else {
                TaskState::Running
            },
            started_ms: now_ms,
            lease_until_ms: now_ms + start.lease_ms,
        });
        Ok(())
    }

    /// Stops an attempt and keeps its progress as a checkpoint.
    pub fn stop_task(&mut self, job: &str, attempt: u32) {
        for task in &mut self.tasks {
            let is_selected = task.start.job.as_str() == job && task.start.attempt == attempt;
            if is_selected && task.state == TaskState::Running {
                task.state = TaskState::Checkpointed;
            }
        }
    }

    /// Completes the attempts that have run long enough and fails those whose lease has expired.
    pub fn update_tasks(&mut self, now_ms: u64) {
        for task in &mut self.tasks {
            if task.state != TaskState::Running {
                continue;
            }
            let end_ms = task.started_ms + task.start.run_time_ms;
            if now_ms >= end_ms && end_ms <= task.lease_until_ms {
                task.state = TaskState::Succeeded;
            } else if now_ms >= task.lease_until_ms {
                task.state = TaskState::Failed;
            }
        }
    }

    /// Returns the reports of all attempts.
    #[must_use]
    pub fn task_reports(&self) -> Vec<TaskReport> {
        self.tasks
            .iter()
            .map(|task| TaskReport {
                job: task.start.job.clone(),
                attempt: task.start.attempt,
                state: task.state,
                used: task.start.reserved,
            })
            .collect()
    }
}
