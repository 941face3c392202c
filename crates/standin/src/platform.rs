//! State of the platform: streams, VMs and faults.

use {
    crate::{faults::Faults, log_service::LogService, machine::Machine},
    lynxwheel_protocol::{RackName, Resources, VmList, VmName, ZoneName},
};

/// Description of a VM to create.
#[derive(Clone, Debug)]
pub struct VmTemplate {
    /// Name of the VM.
    pub name: VmName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack in the zone.
    pub rack: RackName,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Maximum number of concurrent requests of its endpoint.
    pub slots: u32,
}

impl VmTemplate {
    /// Returns the template of VM number `index` in a fleet of three zones with four VMs per rack.
    #[must_use]
    pub fn numbered(index: u32) -> Self {
        let zone = index % 3;
        Self {
            name: format!("vm-{index}").into(),
            zone: format!("zone-{}", zone + 1).into(),
            rack: format!("rack-{}-{}", zone + 1, index / 12 + 1).into(),
            capacity: Resources {
                cores_milli: 16_000,
                memory_mib: 65_536,
                accelerators: 0,
            },
            slots: 8,
        }
    }
}

/// State of the platform.
#[derive(Debug, Default)]
pub struct Platform {
    /// Streams of the log service.
    pub log: LogService,
    /// VMs, sorted by name.
    pub machines: Vec<Machine>,
    /// Active faults.
    pub faults: Faults,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    last_list: VmList,
}

impl Platform {
    /// Creates a platform without VMs.
    #[must_use]
    pub fn new(reboot_ms: u64) -> Self {
        Self {
            reboot_ms,
            ..Self::default()
        }
    }

    /// Adds a running VM.
    pub fn add_machine(&mut self, template: &VmTemplate, address: String) {
        let machine = Machine {
            name: template.name.clone(),
            incarnation: 1,
            zone: template.zone.clone(),
            rack: template.rack.clone(),
            address,
            capacity: template.capacity,
            is_up: true,
            is_leaving: false,
            is_draining: false,
            in_progress: 0,
            fence: 0,
            last_reboot_fence: 0,
            restart_ms: None,
            tasks: Vec::new(),
            started_attempts: Vec::new(),
            stop_count: 0,
        };
        let index = self
            .machines
            .partition_point(|other| other.name < machine.name);
        self.machines.insert(index, machine);
    }

    /// Returns the VM called `name`.
    #[must_use]
    pub fn machine(&self, name: &str) -> Option<&Machine> {
        let index = self.machine_index(name)?;
        self.machines.get(index)
    }

    /// Returns the VM called `name` for modification.
    pub fn machine_mut(&mut self, name: &str) -> Option<&mut Machine> {
        let index = self.machine_index(name)?;
        self.machines.get_mut(index)
    }

    /// Returns the VM list, or the last one if the list is frozen.
    pub fn vm_list(&mut self, now_ms: u64) -> VmList {
        if !self.faults.vm_list_frozen || self.last_list.vms.is_empty() {
            let vms = self.machines.iter().map(Machine::list_entry).collect();
            self.last_list = VmList {
                made_ms: now_ms,
                vms,
            };
        }
        self.last_list.clone()
    }

    /// Returns whether tasks on the VM have to fail.
    #[must_use]
    pub fn has_failing_tasks(&self, name: &str) -> bool {
        self.faults
            .failing_workers
            .binary_search_by(|vm| vm.as_str().cmp(name))
            .is_ok()
    }

    /// Restarts VMs and ends tasks that are due at `now_ms`.
    pub fn tick(&mut self, now_ms: u64) {
        let stuck = &self.faults.stuck_reboots;
        for machine in &mut self.machines {
            let is_stuck = stuck
                .binary_search_by(|vm| vm.as_str().cmp(machine.name.as_str()))
                .is_ok();
            if !is_stuck {
                machine.restart_if_due(now_ms);
            }
            machine.update_tasks(now_ms);
        }
    }

    fn machine_index(&self, name: &str) -> Option<usize> {
        self.machines
            .binary_search_by(|machine| machine.name.as_str().cmp(name))
            .ok()
    }
}
