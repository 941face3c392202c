//! One VM as the platform keeps it: life, drain, fencing and tasks.

use lynxwheel_protocol::{
    ActionRequest, RackName, Resources, TaskReport, TaskStart, TaskState, VmAction, VmEntry,
    VmListState, VmName, ZoneName,
};

/// Refusal of an endpoint whose slots are all taken.
pub(crate) const NO_FREE_SLOT: &str = "no free slot";

/// An attempt on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// What was asked for.
    pub start: TaskStart,
    /// State.
    pub state: TaskState,
    /// When it started, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Until when its lease lasts, in milliseconds since the epoch.
    pub lease_until_ms: u64,
}

/// A VM.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name.
    pub name: VmName,
    /// Count of its lives.
    pub incarnation: u64,
    /// Zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Address of its endpoint as `ip:port`.
    pub address: String,
    /// What it offers.
    pub capacity: Resources,
    /// Whether it is up.
    pub is_up: bool,
    /// Whether it announced that it goes.
    pub is_leaving: bool,
    /// Whether it takes no new requests because of a drain.
    pub is_draining: bool,
    /// Requests in progress.
    pub in_progress: u32,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Fencing number of the last reboot; each reboots at most once.
    pub rebooted_fence: u64,
    /// When its reboot ends, in milliseconds since the epoch.
    pub up_again_ms: Option<u64>,
    /// Attempts of this life.
    pub tasks: Vec<Task>,
    /// Starts of attempts over all lives, for checkers.
    pub started: Vec<(String, u32)>,
    /// Reboots carried out over all lives, for checkers.
    pub reboots: u32,
}

impl Machine {
    /// Returns its entry in the VM list.
    #[must_use]
    pub fn entry(&self) -> VmEntry {
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

    /// Carries an action out, unless its fencing number or time is past.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    pub fn act(
        &mut self,
        request: &ActionRequest,
        now_ms: u64,
        reboot_ms: u64,
    ) -> Result<(), String> {
        if request.fence < self.fence {
            return Err(format!(
                "fencing number {} is below {}",
                request.fence, self.fence
            ));
        }
        if now_ms > request.not_after_ms {
            return Err("too late".into());
        }
        let is_done = request.vm_incarnation != self.incarnation;
        let is_repeated = request.fence == self.rebooted_fence;
        self.fence = request.fence;
        match request.action {
            VmAction::Drain => self.is_draining = true,
            VmAction::Undrain => self.is_draining = false,
            VmAction::Reboot if is_repeated || is_done => {}
            VmAction::Reboot => {
                self.rebooted_fence = request.fence;
                self.shut_down(now_ms + reboot_ms);
            }
        }
        Ok(())
    }

    /// Takes a request in, unless it is meant for another life or cannot be served now.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal, after which the request did not start.
    pub fn enter(&mut self, meant: Option<u64>, slots: u32) -> Result<(), &'static str> {
        if meant.is_some_and(|incarnation| incarnation != self.incarnation) {
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

    /// Stops the machine with everything on it until `up_again_ms`.
    pub fn shut_down(&mut self, up_again_ms: u64) {
        self.is_up = false;
        self.up_again_ms = Some(up_again_ms);
        self.tasks.clear();
        self.reboots += 1;
    }

    /// Starts the machine's next life when its time has come; tells whether it did.
    pub fn come_up(&mut self, now_ms: u64) -> bool {
        if self.is_up
            || self
                .up_again_ms
                .is_none_or(|up_again_ms| now_ms < up_again_ms)
        {
            return false;
        }
        self.up_again_ms = None;
        self.incarnation += 1;
        self.is_up = true;
        self.is_draining = false;
        self.is_leaving = false;
        true
    }

    /// Starts an attempt once; asked again it renews the lease.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal, after which the attempt did not start.
    pub fn start(&mut self, start: &TaskStart, now_ms: u64, fails: bool) -> Result<(), String> {
        if !self.is_up {
            return Err("down".into());
        }
        let known = self
            .tasks
            .iter_mut()
            .find(|task| task.start.job == start.job && task.start.attempt == start.attempt);
        if let Some(task) = known {
            task.lease_until_ms = now_ms + start.lease_ms;
            return Ok(());
        }
        if start.vm_incarnation != self.incarnation {
            return Err("placed on another life".into());
        }
        if now_ms > start.not_after_ms {
            return Err("too late".into());
        }
        if self.is_draining || self.is_leaving {
            return Err("draining".into());
        }
        self.started
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

    /// Stops an attempt, keeping its progress.
    pub fn stop(&mut self, job: &str, attempt: u32) {
        for task in &mut self.tasks {
            let is_meant = task.start.job.as_str() == job && task.start.attempt == attempt;
            if is_meant && task.state == TaskState::Running {
                task.state = TaskState::Checkpointed;
            }
        }
    }

    /// Completes the attempts whose time is up and stops those whose lease lapsed.
    pub fn run_tasks(&mut self, now_ms: u64) {
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

    /// Reports the attempts.
    #[must_use]
    pub fn reports(&self) -> Vec<TaskReport> {
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
