//! Claims on VMs for maintenance and moves.

use {
    crate::{
        fleet::FleetState,
        verdict::{Rejection, Verdict},
        vms::{Claim, ClaimStage, VmState},
    },
    lynxwheel_protocol::{ClaimPurpose, NodeName, VmName, VmPhase, WaveGoal, WaveName},
};

impl FleetState {
    /// Claims a VM and charges it to its pool's budget.
    ///
    /// The charge lasts until the claim is done, released or handed over. It does not expire, since
    /// a paused holder may still execute the action.
    pub(crate) fn claim(
        &mut self,
        offset: u64,
        name: &VmName,
        purpose: &ClaimPurpose,
        holder: &NodeName,
    ) -> Verdict {
        if let Err(rejection) = self.check_claim(name, purpose) {
            return Verdict::Rejected(rejection);
        }
        let incarnation = self.vms.get(name.as_str()).map_or(0, |vm| vm.incarnation);
        let claim = Claim {
            purpose: purpose.clone(),
            incarnation,
            holder: holder.clone(),
            fence: offset,
            stage: ClaimStage::Draining,
            since_ms: self.time_ms,
            not_after_ms: 0,
        };
        self.change_vm(name.as_str(), |vm| vm.claim = Some(claim));
        if let ClaimPurpose::Maintain(wave) = purpose
            && let Some(wave) = self.waves.get_mut(wave.as_str())
        {
            wave.claimed += 1;
        }
        Verdict::Accepted
    }

    /// Checks whether a claim would be accepted by the current state.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it would be rejected.
    pub fn check_claim(&self, name: &VmName, purpose: &ClaimPurpose) -> Result<(), Rejection> {
        let vm = self
            .vms
            .get(name.as_str())
            .ok_or_else(|| Rejection::UnknownVm { vm: name.clone() })?;
        if vm.claim.is_some() {
            return Err(Rejection::AlreadyClaimed { vm: name.clone() });
        }
        self.check_purpose(vm, purpose)?;
        let Some(pool) = self.pools.get(vm.pool.as_str()) else {
            return Ok(());
        };
        let taken = u32::from(vm.is_available());
        if taken > pool.availability().spare_vms() {
            return Err(Rejection::BudgetExhausted {
                pool: vm.pool.clone(),
                available: pool.available,
                floor: pool.floor(),
            });
        }
        if !pool.allows_zone(&vm.zone) {
            return Err(Rejection::TooManyZones {
                pool: vm.pool.clone(),
            });
        }
        Ok(())
    }

    fn check_purpose(&self, vm: &VmState, purpose: &ClaimPurpose) -> Result<(), Rejection> {
        match purpose {
            ClaimPurpose::Maintain(name) => {
                let wave = self.waves.get(name.as_str());
                let is_running = wave.is_some_and(|wave| {
                    wave.spec.goal == WaveGoal::Run
                        && wave.spec.pools.binary_search(&vm.pool).is_ok()
                });
                if is_running {
                    Ok(())
                } else {
                    Err(Rejection::WaveNotRunning { wave: name.clone() })
                }
            }
            ClaimPurpose::Move(pool) => {
                let is_wanted = vm.wanted_pool == *pool && vm.pool != *pool;
                if is_wanted {
                    Ok(())
                } else {
                    Err(Rejection::MoveNotWanted {
                        vm: vm.name.clone(),
                    })
                }
            }
        }
    }

    /// Returns the claim on a VM if `fence` is its current fencing token.
    ///
    /// This rejects the steps of a holder that was paused while another node took its claim over.
    fn claim_with_fence(&self, name: &VmName, fence: u64) -> Result<&Claim, Rejection> {
        let claim = self.vms.get(name.as_str()).and_then(|vm| vm.claim.as_ref());
        match claim {
            Some(claim) if claim.fence == fence => Ok(claim),
            other => Err(Rejection::StaleFence {
                vm: name.clone(),
                fence: other.map_or(0, |claim| claim.fence),
            }),
        }
    }

    /// Rechecks the budget right before the action.
    ///
    /// Other VMs may have failed since the claim, so that the pool is below its floor without this
    /// VM.
    ///
    /// An action whose window has passed may begin again if the VM is still in the incarnation in
    /// which it was claimed, since the platform no longer accepts the action of the old window.
    pub(crate) fn begin(&mut self, name: &VmName, fence: u64, not_after_ms: u64) -> Verdict {
        let claim = match self.claim_with_fence(name, fence) {
            Ok(claim) => claim,
            Err(rejection) => return Verdict::Rejected(rejection),
        };
        let is_retry = claim.stage == ClaimStage::Acting;
        if is_retry && !self.has_missed_window(name, claim) {
            return Verdict::Rejected(Rejection::WrongStage { vm: name.clone() });
        }
        let purpose = claim.purpose.clone();
        if let Err(rejection) = self.check_action(name, &purpose) {
            return Verdict::Rejected(rejection);
        }
        let time_ms = self.time_ms;
        self.change_claim(name, |claim| {
            claim.stage = ClaimStage::Acting;
            claim.not_after_ms = not_after_ms;
            if !is_retry {
                claim.since_ms = time_ms;
            }
        });
        Verdict::Accepted
    }

    /// Returns whether the action was not executed within its window.
    fn has_missed_window(&self, name: &VmName, claim: &Claim) -> bool {
        let is_same_incarnation = self
            .vms
            .get(name.as_str())
            .is_some_and(|vm| vm.incarnation == claim.incarnation);
        is_same_incarnation && self.time_ms > claim.not_after_ms
    }

    /// Checks whether the action is still allowed.
    ///
    /// An operator may have paused the wave while the VM drained, or a job may still run on it.
    fn check_action(&self, name: &VmName, purpose: &ClaimPurpose) -> Result<(), Rejection> {
        let Some(vm) = self.vms.get(name.as_str()) else {
            return Err(Rejection::UnknownVm { vm: name.clone() });
        };
        self.check_purpose(vm, purpose)?;
        Self::check_no_attempts(vm)?;
        self.check_floor(name)
    }

    /// Rejects a VM with attempts, unless the VM has failed.
    fn check_no_attempts(vm: &VmState) -> Result<(), Rejection> {
        if vm.attempts.is_empty() || vm.phase == VmPhase::Failed {
            return Ok(());
        }
        Err(Rejection::WrongStage {
            vm: vm.name.clone(),
        })
    }

    fn check_floor(&self, name: &VmName) -> Result<(), Rejection> {
        let pool = self
            .vms
            .get(name.as_str())
            .and_then(|vm| self.pools.get(vm.pool.as_str()));
        match pool {
            Some(pool) if pool.available < pool.floor() => Err(Rejection::BudgetExhausted {
                pool: pool.spec.name.clone(),
                available: pool.available,
                floor: pool.floor(),
            }),
            _ => Ok(()),
        }
    }

    /// Transfers a claim to another node under a new fencing token; its stage is unchanged.
    pub(crate) fn take_over(
        &mut self,
        offset: u64,
        name: &VmName,
        fence: u64,
        holder: &NodeName,
    ) -> Verdict {
        if let Err(rejection) = self.claim_with_fence(name, fence) {
            return Verdict::Rejected(rejection);
        }
        let time_ms = self.time_ms;
        self.change_claim(name, |claim| {
            claim.holder = holder.clone();
            claim.fence = offset;
            claim.since_ms = time_ms;
        });
        Verdict::Accepted
    }

    /// Releases a claim, unless its action may have been executed.
    pub(crate) fn release(&mut self, name: &VmName, fence: u64) -> Verdict {
        let claim = match self.claim_with_fence(name, fence) {
            Ok(claim) => claim.clone(),
            Err(rejection) => return Verdict::Rejected(rejection),
        };
        if claim.stage != ClaimStage::Draining {
            return Verdict::Rejected(Rejection::WrongStage { vm: name.clone() });
        }
        self.end_claim(name, &claim);
        Verdict::Accepted
    }

    /// Completes maintenance; the VM is available again once its new incarnation is reported live.
    pub(crate) fn done(&mut self, name: &VmName, fence: u64, succeeded: bool) -> Verdict {
        let claim = match self.claim_with_fence(name, fence) {
            Ok(claim) => claim.clone(),
            Err(rejection) => return Verdict::Rejected(rejection),
        };
        let ClaimPurpose::Maintain(wave) = &claim.purpose else {
            return Verdict::Rejected(Rejection::WrongStage { vm: name.clone() });
        };
        if claim.stage != ClaimStage::Acting {
            return Verdict::Rejected(Rejection::WrongStage { vm: name.clone() });
        }
        self.end_claim(name, &claim);
        let time_ms = self.time_ms;
        let transition_ms = self.transition_ms;
        self.change_vm(name.as_str(), |vm| {
            // A report of a later incarnation is newer than the action.
            let is_back = vm.incarnation > claim.incarnation && vm.phase == VmPhase::Live;
            if !succeeded {
                vm.phase = VmPhase::Failed;
            } else if !is_back {
                vm.phase = VmPhase::Unknown;
            }
            if !(succeeded && is_back) {
                vm.evidence_ms = transition_ms + 1;
            }
            vm.failed_wave = if succeeded { None } else { Some(wave.clone()) };
            if succeeded {
                vm.maintained_ms = time_ms;
            }
        });
        let action_ms = time_ms.saturating_sub(claim.since_ms);
        self.count_action(wave, succeeded, action_ms);
        Verdict::Accepted
    }

    fn count_action(&mut self, wave: &WaveName, succeeded: bool, action_ms: u64) {
        let time_ms = self.time_ms;
        if let Some(wave) = self.waves.get_mut(wave.as_str()) {
            wave.done += u32::from(succeeded);
            wave.failed += u32::from(!succeeded);
            wave.last_done_ms = time_ms;
            if succeeded {
                wave.total_action_ms += action_ms;
            }
        }
    }

    /// Completes a move: from this offset on, the VM belongs to the target pool.
    ///
    /// The VM is unavailable until its next report, so the available VMs of both pools stay the
    /// same. The source pool must be at its floor without the VM.
    pub(crate) fn hand_over(&mut self, name: &VmName, fence: u64) -> Verdict {
        let claim = match self.claim_with_fence(name, fence) {
            Ok(claim) => claim.clone(),
            Err(rejection) => return Verdict::Rejected(rejection),
        };
        let ClaimPurpose::Move(target) = &claim.purpose else {
            return Verdict::Rejected(Rejection::WrongStage { vm: name.clone() });
        };
        let is_wanted = self
            .vms
            .get(name.as_str())
            .is_some_and(|vm| vm.wanted_pool == *target);
        if !is_wanted || self.pools.get(target.as_str()).is_none() {
            return Verdict::Rejected(Rejection::MoveNotWanted { vm: name.clone() });
        }
        // A job runs only on VMs of its pool, so all attempts must have ended.
        let has_attempts = self
            .vms
            .get(name.as_str())
            .is_some_and(|vm| !vm.attempts.is_empty());
        if has_attempts {
            return Verdict::Rejected(Rejection::WrongStage { vm: name.clone() });
        }
        if let Err(rejection) = self.check_floor(name) {
            return Verdict::Rejected(rejection);
        }
        self.end_claim(name, &claim);
        let transition_ms = self.transition_ms;
        self.change_vm(name.as_str(), |vm| {
            vm.pool = target.clone();
            vm.phase = VmPhase::Unknown;
            vm.evidence_ms = transition_ms + 1;
        });
        Verdict::Accepted
    }

    fn change_claim(&mut self, name: &VmName, change: impl FnOnce(&mut Claim)) {
        self.change_vm(name.as_str(), |vm| {
            if let Some(claim) = &mut vm.claim {
                change(claim);
            }
        });
    }

    fn end_claim(&mut self, name: &VmName, claim: &Claim) {
        self.change_vm(name.as_str(), |vm| vm.claim = None);
        if let ClaimPurpose::Maintain(wave) = &claim.purpose
            && let Some(wave) = self.waves.get_mut(wave.as_str())
        {
            wave.claimed = wave.claimed.saturating_sub(1);
        }
    }
}
