//! Declarations of resources by operators: put and delete with their checks.

use {
    crate::{
        fleet::{FleetState, Revised},
        jobs::{Estimate, JobPhase, JobState, TeamState},
        verdict::{Rejection, Verdict},
        vms::{PoolState, VmState, WaveState},
    },
    lynxwheel_protocol::{
        JobSpec, Kind, PoolSpec, Resource, ResourceRef, Resources, VmPhase, VmSpec, WaveSpec,
        validate_resource,
    },
};

/// A resource with the revision of its declaration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Declared {
    /// Declared resource.
    pub resource: Resource,
    /// Log offset of the declaration.
    pub revision: u64,
}

impl FleetState {
    /// Returns the declaration of `reference`.
    #[must_use]
    pub fn declared(&self, reference: &ResourceRef) -> Option<Declared> {
        let name = reference.name.as_str();
        let (resource, revision) = match reference.kind {
            Kind::Policy => self
                .policies
                .get(name)
                .map(|row| (Resource::Policy(row.spec.clone()), row.revision)),
            Kind::Team => self
                .teams
                .get(name)
                .map(|row| (Resource::Team(row.spec.clone()), row.revision)),
            Kind::Pool => self
                .pools
                .get(name)
                .map(|row| (Resource::Pool(row.spec.clone()), row.revision)),
            Kind::Vm => self
                .vms
                .get(name)
                .map(|row| (Resource::Vm(vm_spec(row)), row.revision)),
            Kind::Service => self
                .services
                .get(name)
                .map(|row| (Resource::Service(row.spec.clone()), row.revision)),
            Kind::Job => self
                .jobs
                .get(name)
                .map(|row| (Resource::Job(row.spec.clone()), row.revision)),
            Kind::Wave => self
                .waves
                .get(name)
                .map(|row| (Resource::Wave(row.spec.clone()), row.revision)),
        }?;
        Some(Declared { resource, revision })
    }

    /// Returns the names of all declared resources of a kind, in order.
    #[must_use]
    pub fn names(&self, kind: Kind) -> Vec<&str> {
        match kind {
            Kind::Policy => self
                .policies
                .iter()
                .map(|row| row.spec.name.as_str())
                .collect(),
            Kind::Team => self
                .teams
                .iter()
                .map(|row| row.spec.name.as_str())
                .collect(),
            Kind::Pool => self
                .pools
                .iter()
                .map(|row| row.spec.name.as_str())
                .collect(),
            Kind::Vm => self.vms.iter().map(|row| row.name.as_str()).collect(),
            Kind::Service => self
                .services
                .iter()
                .map(|row| row.spec.name.as_str())
                .collect(),
            Kind::Job => self.jobs.iter().map(|row| row.spec.name.as_str()).collect(),
            Kind::Wave => self
                .waves
                .iter()
                .map(|row| row.spec.name.as_str())
                .collect(),
        }
    }

    pub(crate) fn put(
        &mut self,
        offset: u64,
        resource: &Resource,
        if_revision: Option<u64>,
    ) -> Verdict {
        if let Err(rejection) = self.check_put(resource, if_revision) {
            return Verdict::Rejected(rejection);
        }
        self.store(offset, resource);
        self.config_revision = offset;
        Verdict::Accepted
    }

    /// Checks whether a declaration would be accepted by the current state.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it would be rejected.
    pub fn check_put(
        &self,
        resource: &Resource,
        if_revision: Option<u64>,
    ) -> Result<(), Rejection> {
        let reference = resource.reference();
        self.check_revision(&reference, if_revision)?;
        if let Some(error) = validate_resource(resource).into_iter().next() {
            return Err(Rejection::BadField {
                reference,
                field: error.field,
                reason: error.reason,
            });
        }
        self.check_dependencies(resource)?;
        match resource {
            Resource::Job(spec) => self.check_job_change(spec),
            _ => Ok(()),
        }
    }

    fn check_revision(
        &self,
        reference: &ResourceRef,
        if_revision: Option<u64>,
    ) -> Result<(), Rejection> {
        let revision = self
            .declared(reference)
            .map_or(0, |declared| declared.revision);
        match if_revision {
            Some(expected) if expected != revision => Err(Rejection::RevisionConflict {
                reference: reference.clone(),
                revision,
            }),
            _ => Ok(()),
        }
    }

    fn check_dependencies(&self, resource: &Resource) -> Result<(), Rejection> {
        match self.missing_dependencies(resource).into_iter().next() {
            Some(reference) => Err(Rejection::Missing { reference }),
            None => Ok(()),
        }
    }

    /// Returns the resources that a declaration refers to and that are not declared.
    #[must_use]
    pub fn missing_dependencies(&self, resource: &Resource) -> Vec<ResourceRef> {
        let mut dependencies = resource.dependencies();
        dependencies.retain(|dependency| !self.is_declared(dependency.kind, &dependency.name));
        dependencies
    }

    fn is_declared(&self, kind: Kind, name: &str) -> bool {
        match kind {
            Kind::Pool => self.pools.get(name).is_some(),
            Kind::Team => self.teams.get(name).is_some(),
            _ => self.declared(&ResourceRef::new(kind, name)).is_some(),
        }
    }

    /// Rejects changes to a final job, and changes that conflict with a running attempt.
    fn check_job_change(&self, spec: &JobSpec) -> Result<(), Rejection> {
        let Some(job) = self.jobs.get(spec.name.as_str()) else {
            return Ok(());
        };
        let bad_field = |field: &str, reason: &str| {
            Err(Rejection::BadField {
                reference: ResourceRef::new(Kind::Job, spec.name.as_str()),
                field: field.into(),
                reason: reason.into(),
            })
        };
        if job.is_final() && job.spec != *spec {
            return bad_field("name", "the job has its final answer; delete it first");
        }
        if job.phase == JobPhase::Running && job.spec.team != spec.team {
            return bad_field("team", "cannot change while an attempt runs");
        }
        if job.phase == JobPhase::Running && job.spec.pool != spec.pool {
            return bad_field("pool", "cannot change while an attempt runs");
        }
        if job.phase == JobPhase::Running && job.spec.cancelled && !spec.cancelled {
            return bad_field("cancelled", "the attempt is being stopped already");
        }
        Ok(())
    }

    fn store(&mut self, offset: u64, resource: &Resource) {
        match resource {
            Resource::Policy(spec) => {
                self.policies.insert(Revised {
                    spec: spec.clone(),
                    revision: offset,
                });
            }
            Resource::Service(spec) => {
                self.services.insert(Revised {
                    spec: spec.clone(),
                    revision: offset,
                });
            }
            Resource::Team(spec) => {
                let used = self
                    .teams
                    .get(spec.name.as_str())
                    .map_or_else(Resources::default, |team| team.used);
                self.teams.insert(TeamState {
                    spec: spec.clone(),
                    revision: offset,
                    used,
                });
            }
            Resource::Pool(spec) => self.store_pool(offset, spec),
            Resource::Vm(spec) => self.store_vm(offset, spec),
            Resource::Job(spec) => self.store_job(offset, spec),
            Resource::Wave(spec) => self.store_wave(offset, spec),
        }
    }

    fn store_pool(&mut self, offset: u64, spec: &PoolSpec) {
        if let Some(pool) = self.pools.get_mut(spec.name.as_str()) {
            pool.spec = spec.clone();
            pool.revision = offset;
            return;
        }
        self.pools.insert(PoolState {
            spec: spec.clone(),
            revision: offset,
            members: 0,
            available: 0,
            claimed_zones: Vec::new(),
        });
    }

    fn store_vm(&mut self, offset: u64, spec: &VmSpec) {
        if let Some(vm) = self.vms.get_mut(spec.name.as_str()) {
            vm.wanted_pool = spec.pool.clone();
            vm.revision = offset;
            return;
        }
        let vm = VmState {
            name: spec.name.clone(),
            pool: spec.pool.clone(),
            wanted_pool: spec.pool.clone(),
            revision: offset,
            incarnation: 0,
            zone: "".into(),
            rack: "".into(),
            address: "".into(),
            capacity: Resources::default(),
            reserved: Resources::default(),
            phase: VmPhase::Unknown,
            evidence_ms: 0,
            claim: None,
            maintained_ms: 0,
            failed_wave: None,
            quarantined_until_ms: 0,
            failures: 0,
            attempts: Vec::new(),
        };
        if let Some(pool) = self.pools.get_mut(spec.pool.as_str()) {
            pool.add_vm(&vm);
        }
        self.vms.insert(vm);
    }

    fn store_job(&mut self, offset: u64, spec: &JobSpec) {
        let time_ms = self.time_ms;
        if let Some(job) = self.jobs.get_mut(spec.name.as_str()) {
            job.spec = spec.clone();
            job.revision = offset;
            cancel_if_requested(job);
            return;
        }
        let mut job = JobState {
            spec: spec.clone(),
            revision: offset,
            phase: JobPhase::Pending,
            attempts: 0,
            failures: 0,
            failed_on: Vec::new(),
            attempt: None,
            estimate: Estimate::default(),
            pending_since_ms: time_ms,
            reason: "".into(),
        };
        cancel_if_requested(&mut job);
        self.jobs.insert(job);
    }

    fn store_wave(&mut self, offset: u64, spec: &WaveSpec) {
        let time_ms = self.time_ms;
        if let Some(wave) = self.waves.get_mut(spec.name.as_str()) {
            wave.spec = spec.clone();
            wave.revision = offset;
            return;
        }
        self.waves.insert(WaveState {
            spec: spec.clone(),
            revision: offset,
            started_ms: time_ms,
            done: 0,
            failed: 0,
            claimed: 0,
            last_done_ms: 0,
            total_action_ms: 0,
        });
    }

    pub(crate) fn delete(
        &mut self,
        offset: u64,
        reference: &ResourceRef,
        if_revision: Option<u64>,
    ) -> Verdict {
        if let Err(rejection) = self.check_delete(reference, if_revision) {
            return Verdict::Rejected(rejection);
        }
        let name = reference.name.as_str();
        match reference.kind {
            Kind::Policy => drop(self.policies.remove(name)),
            Kind::Team => drop(self.teams.remove(name)),
            Kind::Pool => drop(self.pools.remove(name)),
            Kind::Service => drop(self.services.remove(name)),
            Kind::Job => drop(self.jobs.remove(name)),
            Kind::Wave => drop(self.waves.remove(name)),
            Kind::Vm => {
                if let Some(vm) = self.vms.remove(name)
                    && let Some(pool) = self.pools.get_mut(vm.pool.as_str())
                {
                    pool.remove_vm(&vm);
                }
            }
        }
        self.config_revision = offset;
        Verdict::Accepted
    }

    /// Checks whether a deletion would be accepted by the current state.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it would be rejected.
    pub fn check_delete(
        &self,
        reference: &ResourceRef,
        if_revision: Option<u64>,
    ) -> Result<(), Rejection> {
        if self.declared(reference).is_none() {
            return Err(Rejection::Missing {
                reference: reference.clone(),
            });
        }
        self.check_revision(reference, if_revision)?;
        if let Some(by) = self.first_dependent(reference) {
            return Err(Rejection::StillNeeded {
                reference: reference.clone(),
                by,
            });
        }
        if reference.kind == Kind::Vm {
            return self.check_vm_delete(reference.name.as_str());
        }
        Ok(())
    }

    fn check_vm_delete(&self, name: &str) -> Result<(), Rejection> {
        let Some(vm) = self.vms.get(name) else {
            return Ok(());
        };
        if vm.claim.is_some() {
            return Err(Rejection::AlreadyClaimed {
                vm: vm.name.clone(),
            });
        }
        match self.pools.get(vm.pool.as_str()) {
            Some(pool) if vm.is_available() && pool.availability().spare_vms() == 0 => {
                Err(Rejection::BudgetExhausted {
                    pool: vm.pool.clone(),
                    available: pool.available,
                    floor: pool.floor(),
                })
            }
            _ => Ok(()),
        }
    }

    /// Returns a resource that depends on `reference`.
    fn first_dependent(&self, reference: &ResourceRef) -> Option<ResourceRef> {
        self.dependents(reference).into_iter().next()
    }

    /// Returns the resources that depend on `reference` and prevent its deletion.
    #[must_use]
    pub fn dependents(&self, reference: &ResourceRef) -> Vec<ResourceRef> {
        let name = reference.name.as_str();
        match reference.kind {
            Kind::Pool => self.pool_dependents(name),
            Kind::Team => self.jobs_where(|job| job.spec.team.as_str() == name),
            Kind::Vm => self.jobs_where(|job| {
                let attempt = job.attempt.as_ref();
                attempt.is_some_and(|run| run.vm.as_str() == name)
            }),
            Kind::Job => self
                .jobs
                .get(name)
                .and_then(|job| job.attempt.as_ref())
                .map(|attempt| ResourceRef::new(Kind::Vm, attempt.vm.as_str()))
                .into_iter()
                .collect(),
            Kind::Wave => self.vms_where(|vm| is_claimed_for_wave(vm, name)),
            Kind::Policy | Kind::Service => Vec::new(),
        }
    }

    fn jobs_where(&self, predicate: impl Fn(&JobState) -> bool) -> Vec<ResourceRef> {
        self.jobs
            .iter()
            .filter(|job| predicate(job))
            .map(|job| ResourceRef::new(Kind::Job, job.spec.name.as_str()))
            .collect()
    }

    fn vms_where(&self, predicate: impl Fn(&VmState) -> bool) -> Vec<ResourceRef> {
        self.vms
            .iter()
            .filter(|vm| predicate(vm))
            .map(|vm| ResourceRef::new(Kind::Vm, vm.name.as_str()))
            .collect()
    }

    fn pool_dependents(&self, name: &str) -> Vec<ResourceRef> {
        let mut dependents =
            self.vms_where(|vm| vm.pool.as_str() == name || vm.wanted_pool.as_str() == name);
        let services = self
            .services()
            .filter(|spec| spec.pool.as_str() == name)
            .map(|spec| ResourceRef::new(Kind::Service, spec.name.as_str()));
        dependents.extend(services);
        dependents.extend(self.jobs_where(|job| job.spec.pool.as_str() == name));
        let waves = self
            .waves
            .iter()
            .filter(|wave| wave.spec.pools.iter().any(|pool| pool.as_str() == name))
            .map(|wave| ResourceRef::new(Kind::Wave, wave.spec.name.as_str()));
        dependents.extend(waves);
        dependents
    }
}

fn is_claimed_for_wave(vm: &VmState, wave: &str) -> bool {
    use lynxwheel_protocol::ClaimPurpose::Maintain;
    let purpose = vm.claim.as_ref().map(|claim| &claim.purpose);
    matches!(purpose, Some(Maintain(name)) if name.as_str() == wave)
}

fn vm_spec(vm: &VmState) -> VmSpec {
    VmSpec {
        name: vm.name.clone(),
        pool: vm.wanted_pool.clone(),
    }
}

fn cancel_if_requested(job: &mut JobState) {
    if !job.spec.cancelled {
        return;
    }
    match job.phase {
        JobPhase::Pending => {
            job.phase = JobPhase::Cancelled;
            job.reason = "cancelled by the operator".into();
        }
        JobPhase::Running => {
            if let Some(attempt) = &mut job.attempt {
                attempt.stopping = true;
            }
        }
        _ => {}
    }
}
