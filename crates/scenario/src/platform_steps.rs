//! Steps of the platform and the clock.

use {
    crate::{
        command::{Command, Fault},
        decide::{admission_text, shares},
        simulation::{STREAM, Simulation, StepResult},
    },
    lynxwheel_standin::{Machine, VmTemplate},
    std::error::Error,
};

/// Downtime of a VM that does not restart within the script, in milliseconds.
const PERMANENT_DOWNTIME_MS: u64 = 1_000_000_000;

impl Simulation {
    pub(crate) fn run_platform(&mut self, command: &Command) -> StepResult {
        match command {
            Command::Machines { count } => self.add_machines(*count),
            Command::Advance { by_ms } => self.advance(*by_ms),
            Command::Fault { fault } => self.set_fault(fault.0),
            Command::DeliverLate => self.deliver_late(),
            Command::Trim { before } => self.platform.log.trim(STREAM, *before),
            Command::FailVm { vm, back_in_ms } => {
                let until_ms = self.now_ms + back_in_ms.unwrap_or(PERMANENT_DOWNTIME_MS);
                self.machine_mut(vm)?.shut_down(until_ms);
            }
            Command::CutVm { vm } => self.unreachable_vms.push(vm.clone()),
            Command::FailRack { rack } => self.fail_rack(rack),
            Command::LeaveVm { vm } => self.machine_mut(vm)?.is_leaving = true,
            Command::FailTasks { vm } => {
                let failing = &mut self.platform.faults.failing_workers;
                failing.push(vm.clone());
                failing.sort();
            }
            Command::ShowMachine { vm } => return self.show_machine(vm),
            Command::Admit { .. } => return Ok(admission_text(command)),
            Command::DealSlots { vm, nodes, slots } => return Ok(shares(vm, nodes, *slots)),
            Command::ShowNodes => return Ok(self.show_nodes()),
            _ => return Err("this step needs the name of a node as its prefix".into()),
        }
        Ok(String::new())
    }

    /// Returns the VM if it is running and reachable.
    pub(crate) fn reachable(&self, vm: &str) -> Option<&Machine> {
        let is_unreachable = self
            .unreachable_vms
            .iter()
            .any(|unreachable| unreachable == vm);
        self.platform
            .machine(vm)
            .filter(|machine| machine.is_up && !is_unreachable)
    }

    pub(crate) fn machine_mut(&mut self, vm: &str) -> Result<&mut Machine, Box<dyn Error>> {
        self.platform
            .machine_mut(vm)
            .ok_or_else(|| format!("the platform has no VM {vm}").into())
    }

    fn add_machines(&mut self, count: u32) {
        for index in 0..count {
            let address = format!("10.0.0.{}:80", index + 1);
            self.platform
                .add_machine(&VmTemplate::numbered(index), address);
        }
    }

    fn advance(&mut self, by_ms: u64) {
        self.now_ms += by_ms;
        self.platform.tick(self.now_ms);
    }

    fn set_fault(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        match fault {
            Fault::LoseAnswer => self.platform.faults.lose_answers += 1,
            Fault::LateAppend => self.platform.faults.late_appends += 1,
            Fault::LogDown => self.platform.faults.log_down = true,
            Fault::LogUp => self.platform.faults.log_down = false,
            Fault::ListFrozen => {
                self.platform.vm_list(now_ms);
                self.platform.faults.vm_list_frozen = true;
            }
            Fault::ListThawed => self.platform.faults.vm_list_frozen = false,
        }
    }

    fn deliver_late(&mut self) {
        for bytes in std::mem::take(&mut self.delayed_appends) {
            self.platform.log.append(STREAM, vec![bytes]);
        }
        self.fold_new_entries(None);
    }

    fn fail_rack(&mut self, rack: &str) {
        let until_ms = self.now_ms + PERMANENT_DOWNTIME_MS;
        for machine in &mut self.platform.machines {
            if machine.rack.as_str() == rack {
                machine.shut_down(until_ms);
            }
        }
    }
}
