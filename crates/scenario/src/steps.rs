//! Steps of a node.

use {
    crate::{
        command::{Command, JobEnd},
        decide::SLOTS_PER_ENDPOINT,
        declare::declaration,
        node::{KnownClaim, SimNode},
        records::{ACTION_WINDOW_MS, step_record},
        show,
        simulation::{STREAM, Simulation, StepResult},
    },
    lynxwheel_protocol::{
        ActionRequest, FOLD_VERSION, JobOutcome, RecordBody, TaskStart, TaskState, VmAction,
        VmEntry, VmListState, VmPhase, VmReport,
    },
    lynxwheel_state::{FleetState, TASK_LEASE_MS},
    std::error::Error,
};

impl Simulation {
    pub(crate) fn run_node(&mut self, name: &str, command: &Command) -> StepResult {
        match command {
            Command::Start {
                from,
                ahead_ms,
                fold_version,
            } => self.start_node(name, from.as_deref(), *ahead_ms, *fold_version),
            Command::Kill => self.kill(name),
            Command::Freeze => self.update_node(name, |node| node.is_frozen = true),
            Command::Thaw => self.update_node(name, |node| node.is_frozen = false),
            Command::CutLog => self.update_node(name, |node| node.is_cut_from_log = true),
            Command::MendLog => self.update_node(name, |node| node.is_cut_from_log = false),
            Command::Read => self.read(name),
            Command::ReadFrom { peer } => self.read_from(name, peer),
            Command::Snapshot { name: snapshot } => self.store_snapshot(name, snapshot),
            Command::ReadChunk {
                name: snapshot,
                index,
            } => self.read_chunk(name, snapshot, *index),
            Command::SpoilChunk {
                name: snapshot,
                index,
            } => self.corrupt_chunk(snapshot, *index),
            Command::Restore => self.restore_snapshot(name),
            Command::Retry => self.retry(name),
            Command::Fleet {
                pool,
                vms,
                floor,
                zones,
            } => self.declare_fleet(name, pool, *vms, *floor, *zones),
            Command::Observe => self.observe(name),
            Command::ObserveList => self.observe_list(name),
            Command::ProposeClaims => self.propose_claims(name),
            Command::ProposeStarts => self.propose_starts(name),
            Command::ProposeVerdicts => self.propose_verdicts(name),
            Command::Review { live } => self.review(name, live),
            Command::Act { vm, action } => self.act(name, vm, action.0),
            Command::StartTask { job } => self.start_task(name, job),
            Command::StopTask { job } => self.stop_task(name, job),
            Command::EndJob { job, outcome } => self.end_job(name, job, outcome.0),
            Command::Route { pool, seed } => self.route(name, pool, *seed),
            Command::Dispatch => self.dispatch(),
            Command::ShowPool { name: pool } => show::pool(self.node(name)?, pool),
            Command::ShowVm { name: vm } => show::vm(self.node(name)?, vm),
            Command::ShowForecast { name: wave } => self.show_forecast(name, wave),
            Command::ShowJob { name: job } => show::job(self.node(name)?, job),
            Command::ShowKey { key } => Ok(show::key(self.node(name)?, *key)),
            _ => self.propose_step(name, command),
        }
    }

    fn propose_step(&mut self, name: &str, command: &Command) -> StepResult {
        let now_ms = self.now_ms;
        let body = match declaration(command, now_ms) {
            Some(body) => body,
            None => step_record(self.node(name)?, command, now_ms)?,
        };
        let outcome = self.propose(name, body)?;
        if let Command::Claim { vm, .. } | Command::TakeOver { vm } | Command::Begin { vm } =
            command
        {
            self.record_claim(name, vm)?;
        }
        Ok(outcome)
    }

    fn declare_fleet(
        &mut self,
        name: &str,
        pool: &str,
        vms: u32,
        floor: u32,
        zones: Option<u32>,
    ) -> StepResult {
        let mut steps = vec![Command::Pool {
            name: pool.into(),
            size: vms,
            floor,
            zones,
            if_revision: None,
        }];
        steps.extend((0..vms).map(|vm| Command::Vm {
            name: format!("vm-{vm}"),
            pool: pool.into(),
            if_revision: None,
        }));
        steps.push(Command::Observe);
        for step in &steps {
            self.run_node(name, step)?;
        }
        show::pool(self.node(name)?, pool)
    }

    /// Records the claim on a VM as its holder knows it after proposing a step on it.
    pub(crate) fn record_claim(&mut self, name: &str, vm: &str) -> Result<(), Box<dyn Error>> {
        let node = self.node_mut(name)?;
        let claim = node.state().vms().get(vm).and_then(|vm| vm.claim.as_ref());
        let claim = claim
            .filter(|claim| claim.holder == node.name)
            .map(|claim| KnownClaim {
                vm: vm.into(),
                fence: claim.fence,
                not_after_ms: claim.not_after_ms,
                vm_incarnation: claim.incarnation,
            });
        if let Some(claim) = claim {
            node.remember_claim(claim);
        }
        Ok(())
    }

    fn update_node(&mut self, name: &str, change: impl FnOnce(&mut SimNode)) -> StepResult {
        change(self.node_mut(name)?);
        Ok(String::new())
    }

    fn start_node(
        &mut self,
        name: &str,
        from: Option<&str>,
        ahead_ms: u64,
        fold_version: Option<u32>,
    ) -> StepResult {
        if self.node_index(name).is_ok() {
            return Err("the node is already running".into());
        }
        let state = match from {
            Some(snapshot) => self.assemble_snapshot(snapshot)?,
            None => FleetState::new(),
        };
        self.node_starts += 1;
        let mut node = SimNode::new(name, self.node_starts, state);
        node.clock_ahead_ms = ahead_ms;
        self.nodes.push(node);
        self.nodes.sort_by(|left, right| left.name.cmp(&right.name));
        self.propose(
            name,
            RecordBody::Join {
                node: name.into(),
                fold_version: fold_version.unwrap_or(FOLD_VERSION),
            },
        )
    }

    fn kill(&mut self, name: &str) -> StepResult {
        let index = self.node_index(name)?;
        self.nodes.remove(index);
        Ok(String::new())
    }

    fn read_from(&mut self, name: &str, peer: &str) -> StepResult {
        let offset = self.node(peer)?.state().offset();
        let own = self.node(name)?.state().offset();
        let count = usize::try_from(offset.saturating_sub(own)).unwrap_or(usize::MAX);
        let response = self.platform.log.read(STREAM, own + 1, count);
        let node = self.node_mut(name)?;
        match node.fold(&response) {
            Ok(_) => Ok(format!("at {}", node.state().offset())),
            Err(trimmed) => Ok(trimmed.to_string()),
        }
    }

    fn retry(&mut self, name: &str) -> StepResult {
        let record = self.node_mut(name)?.pending_record.clone();
        self.append(name, record.ok_or("no record to retry")?)
    }

    fn observe(&mut self, name: &str) -> StepResult {
        let now_ms = self.now_ms;
        let list = self.platform.vm_list(now_ms);
        let node = self.node(name)?;
        let reports: Vec<VmReport> = list
            .vms
            .iter()
            .filter_map(|entry| self.report(node, entry))
            .collect();
        if reports.is_empty() {
            return Ok("nothing new".into());
        }
        let names: Vec<String> = reports
            .iter()
            .map(|report| format!("{} {:?}", report.vm, report.phase))
            .collect();
        let outcome = self.propose(name, RecordBody::Report { reports })?;
        Ok(format!("{}: {outcome}", names.join(", ")))
    }

    fn observe_list(&mut self, name: &str) -> StepResult {
        let now_ms = self.now_ms;
        let list = self.platform.vm_list(now_ms);
        let node = self.node(name)?;
        let is_new = |entry: &&VmEntry| {
            let known = node.state().vms().get(entry.name.as_str());
            known.is_some_and(|vm| vm.incarnation < entry.incarnation)
        };
        let reports = list.vms.iter().filter(is_new).map(|entry| VmReport {
            vm: entry.name.clone(),
            incarnation: entry.incarnation,
            phase: VmPhase::Unknown,
            evidence_ms: list.made_ms,
            zone: entry.zone.clone(),
            rack: entry.rack.clone(),
            address: entry.address.clone(),
            capacity: entry.capacity,
        });
        let reports = reports.collect();
        self.propose(name, RecordBody::Report { reports })
    }

    /// Returns the report of a probe of a VM if it differs from the state of the node.
    fn report(&self, node: &SimNode, entry: &VmEntry) -> Option<VmReport> {
        let known = node.state().vms().get(entry.name.as_str())?;
        let machine = self.reachable(entry.name.as_str());
        let phase = match machine {
            None => VmPhase::Failed,
            Some(machine) if machine.is_leaving || entry.state == VmListState::Leaving => {
                VmPhase::Leaving
            }
            Some(_) => VmPhase::Live,
        };
        let report = VmReport {
            vm: entry.name.clone(),
            incarnation: machine.map_or(entry.incarnation, |machine| machine.incarnation),
            phase,
            evidence_ms: self.now_ms + node.clock_ahead_ms,
            zone: entry.zone.clone(),
            rack: entry.rack.clone(),
            address: entry.address.clone(),
            capacity: entry.capacity,
        };
        let is_change = known.incarnation != report.incarnation || known.phase != phase;
        is_change.then_some(report)
    }

    fn act(&mut self, name: &str, vm: &str, action: VmAction) -> StepResult {
        let now_ms = self.now_ms;
        let node = self.node(name)?;
        if node.is_frozen {
            return Err("the node is frozen".into());
        }
        let claim = node
            .known_claim(vm)
            .ok_or("the node has never held a claim on the VM")?;
        let request = ActionRequest {
            action,
            fence: claim.fence,
            not_after_ms: match action {
                VmAction::Reboot => claim.not_after_ms,
                _ => now_ms + ACTION_WINDOW_MS,
            },
            vm_incarnation: claim.vm_incarnation,
        };
        if self.reachable(vm).is_none() {
            return Ok("the VM does not answer".into());
        }
        let reboot_ms = self.platform.reboot_ms;
        match self
            .machine_mut(vm)?
            .perform_action(&request, now_ms, reboot_ms)
        {
            Ok(()) => Ok("carried out".into()),
            Err(reason) => Ok(format!("refused: {reason}")),
        }
    }

    fn start_task(&mut self, name: &str, job: &str) -> StepResult {
        let now_ms = self.now_ms;
        let job = self
            .node(name)?
            .state()
            .jobs()
            .get(job)
            .ok_or("no such job")?;
        let attempt = job.attempt.as_ref().ok_or("no attempt is running")?;
        let vm = attempt.vm.clone();
        let start = TaskStart {
            job: job.spec.name.clone(),
            attempt: job.attempts,
            reserved: attempt.reserved,
            run_time_ms: job.spec.run_time_ms,
            lease_ms: TASK_LEASE_MS,
            vm_incarnation: attempt.vm_incarnation,
            not_after_ms: attempt.since_ms + TASK_LEASE_MS,
        };
        if self.reachable(vm.as_str()).is_none() {
            return Ok("the worker does not answer".into());
        }
        let fails = self.platform.has_failing_tasks(vm.as_str());
        match self
            .machine_mut(vm.as_str())?
            .start_task(&start, now_ms, fails)
        {
            Ok(()) => Ok(format!("runs on {vm}")),
            Err(reason) => Ok(format!("refused: {reason}")),
        }
    }

    fn stop_task(&mut self, name: &str, job: &str) -> StepResult {
        let state = self.node(name)?.state();
        let state = state.jobs().get(job).ok_or("no such job")?;
        let (vm, attempt) = match &state.attempt {
            Some(attempt) if attempt.stopping => (attempt.vm.clone(), state.attempts),
            _ => return Err("no attempt is stopping".into()),
        };
        self.machine_mut(vm.as_str())?.stop_task(job, attempt);
        Ok(String::new())
    }

    fn end_job(&mut self, name: &str, job: &str, end: JobEnd) -> StepResult {
        let state = self.node(name)?.state();
        let job = state.jobs().get(job).ok_or("no such job")?;
        let attempt = job.attempt.as_ref().ok_or("no attempt is running")?;
        let outcome = match end {
            JobEnd::Lost => Some(JobOutcome::Lost),
            JobEnd::AsReported => self.reachable(attempt.vm.as_str()).and_then(|machine| {
                let reports = machine.task_reports();
                let report = reports
                    .iter()
                    .find(|report| report.job == job.spec.name && report.attempt == job.attempts)?;
                outcome_of(report.state)
            }),
        };
        let Some(outcome) = outcome else {
            return Ok("the worker reports no end".into());
        };
        let body = RecordBody::End {
            job: job.spec.name.clone(),
            attempt: job.attempts,
            outcome,
        };
        self.propose(name, body)
    }

    fn dispatch(&mut self) -> StepResult {
        let chosen = self
            .chosen_endpoint
            .take()
            .ok_or("no endpoint was chosen")?;
        let machine = self.machine_mut(chosen.vm.as_str())?;
        match machine.admit_request(Some(chosen.incarnation), SLOTS_PER_ENDPOINT) {
            Ok(()) => Ok(format!("runs on {}", chosen.vm)),
            Err(reason) => Ok(format!("did not start on {}: {reason}", chosen.vm)),
        }
    }
}

fn outcome_of(state: TaskState) -> Option<JobOutcome> {
    match state {
        TaskState::Running => None,
        TaskState::Succeeded => Some(JobOutcome::Succeeded),
        TaskState::Failed => Some(JobOutcome::Failed),
        TaskState::Checkpointed => Some(JobOutcome::Checkpointed),
    }
}
