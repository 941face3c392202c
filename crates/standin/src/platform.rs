//! The platform's state: streams, machines and faults.

use {
    crate::{faults::Faults, log_service::LogService, machine::Machine},
    lynxwheel_protocol::{RackName, Resources, VmList, VmName, ZoneName},
};

/// Description of a VM to make.
#[derive(Clone, Debug)]
pub struct VmTemplate {
    /// Name.
    pub name: VmName,
    /// Zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// What it offers.
    pub capacity: Resources,
    /// Requests that its endpoint serves at once.
    pub slots: u32,
}

impl VmTemplate {
    /// Describes VM number `index` of a fleet in three zones with four VMs to a rack.
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

/// Everything that the platform keeps.
#[derive(Debug, Default)]
pub struct Platform {
    /// Streams.
    pub log: LogService,
    /// Machines by name, sorted.
    pub machines: Vec<Machine>,
    /// Faults in force.
    pub faults: Faults,
    /// How long a reboot takes, in milliseconds.
    pub reboot_ms: u64,
    list: VmList,
}

impl Platform {
    /// Creates a platform without machines.
    #[must_use]
    pub fn new(reboot_ms: u64) -> Self {
        Self {
            reboot_ms,
            ..Self::default()
        }
    }

    /// Adds a machine that is up.
    pub fn add(&mut self, template: &VmTemplate, address: String) {
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
            rebooted_fence: 0,
            up_again_ms: None,
            tasks: Vec::new(),
            started: Vec::new(),
            reboots: 0,
        };
        let row = self
            .machines
            .partition_point(|other| other.name < machine.name);
        self.machines.insert(row, machine);
    }

    /// Returns the machine called `name`.
    #[must_use]
    pub fn machine(&self, name: &str) -> Option<&Machine> {
        let row = self.row(name)?;
        self.machines.get(row)
    }

    /// Returns the machine called `name` for a change.
    pub fn machine_mut(&mut self, name: &str) -> Option<&mut Machine> {
        let row = self.row(name)?;
        self.machines.get_mut(row)
    }

    /// Returns the VM list, which stays as it was while it is frozen.
    pub fn vm_list(&mut self, now_ms: u64) -> VmList {
        if !self.faults.vm_list_frozen || self.list.vms.is_empty() {
            let vms = self.machines.iter().map(Machine::entry).collect();
            self.list = VmList {
                made_ms: now_ms,
                vms,
            };
        }
        self.list.clone()
    }

    /// Tells whether tasks on the VM are to fail.
    #[must_use]
    pub fn fails_tasks(&self, name: &str) -> bool {
        self.faults
            .failing_workers
            .binary_search_by(|vm| vm.as_str().cmp(name))
            .is_ok()
    }

    /// Lets the machines' time pass.
    pub fn tick(&mut self, now_ms: u64) {
        let stuck = &self.faults.stuck_reboots;
        for machine in &mut self.machines {
            let is_stuck = stuck
                .binary_search_by(|vm| vm.as_str().cmp(machine.name.as_str()))
                .is_ok();
            if !is_stuck {
                machine.come_up(now_ms);
            }
            machine.run_tasks(now_ms);
        }
    }

    fn row(&self, name: &str) -> Option<usize> {
        self.machines
            .binary_search_by(|machine| machine.name.as_str().cmp(name))
            .ok()
    }
}
