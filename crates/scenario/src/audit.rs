//! What must hold after every record, whatever the story.

use {
    lynxwheel_protocol::{LogEntry, Record, RecordBody, decode_record},
    lynxwheel_standin::{Machine, Platform},
    lynxwheel_state::{FleetState, PoolState, Verdict},
    std::{error, fmt},
};

/// Promise that did not hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Broken {
    /// Offset after which it was seen.
    pub offset: u64,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "promise broken after offset {}: {}",
            self.offset, self.what
        )
    }
}

impl error::Error for Broken {}

/// Folds the log beside the nodes and looks at the state after each record.
#[derive(Debug, Default)]
pub struct Audit {
    state: FleetState,
    digests: Vec<u64>,
}

impl Audit {
    /// Starts before the first record.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: FleetState::new(),
            digests: vec![FleetState::new().digest()],
        }
    }

    /// Returns the offset of the next entry to look at.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.state.offset() + 1
    }

    /// Looks at an entry.
    ///
    /// # Errors
    ///
    /// Fails when the state after it breaks a promise.
    pub fn look(&mut self, entry: &LogEntry) -> Result<(), Broken> {
        let before = self.state.clone();
        let Ok(record) = decode_record(&entry.bytes) else {
            self.state.skip(entry.offset);
            self.digests.push(self.state.digest());
            return Ok(());
        };
        let verdict = self.state.apply(entry.offset, &record);
        self.digests.push(self.state.digest());
        self.check_counts()?;
        self.check_jobs()?;
        if verdict == Verdict::Accepted {
            self.check_floor(&before, &record)?;
        }
        if verdict != Verdict::Accepted && before.vms() != self.state.vms() {
            return Err(self.broken("a record that was not accepted changed a VM"));
        }
        Ok(())
    }

    /// Compares a node's digest with the one of the same offset.
    ///
    /// # Errors
    ///
    /// Fails when the node came to another state.
    pub fn compare(&self, name: &str, state: &FleetState) -> Result<(), Broken> {
        let row = usize::try_from(state.offset()).unwrap_or(usize::MAX);
        match self.digests.get(row) {
            Some(digest) if *digest == state.digest() => Ok(()),
            _ => Err(self.broken(format!("{name} diverged at offset {}", state.offset()))),
        }
    }

    /// Checks that each job runs on at most one worker and each attempt was started once.
    ///
    /// # Errors
    ///
    /// Fails when a job runs, or an attempt ran, twice.
    pub fn check_workers(&self, platform: &Platform) -> Result<(), Broken> {
        let mut starts: Vec<&(String, u32)> = platform
            .machines
            .iter()
            .flat_map(|machine| machine.started_attempts.iter())
            .collect();
        starts.sort();
        if let Some(pair) = starts.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(self.broken(format!("attempt {} of {} ran twice", pair[0].1, pair[0].0)));
        }
        let mut running: Vec<&str> = platform.machines.iter().flat_map(running_jobs).collect();
        running.sort_unstable();
        match running.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(self.broken(format!("{} runs twice at once", pair[0]))),
            None => Ok(()),
        }
    }

    /// Planned work must leave the pool at its floor; failures may not.
    fn check_floor(&self, before: &FleetState, record: &Record) -> Result<(), Broken> {
        let is_planned = matches!(
            record.body,
            RecordBody::Claim { .. } | RecordBody::Delete { .. } | RecordBody::HandOver { .. }
        );
        for pool in self.state.pools().iter() {
            let was_available = before
                .pools()
                .get(pool.spec.name.as_str())
                .map_or(0, |pool| pool.available);
            let is_low = pool.available < pool.floor();
            let is_taken = is_planned && pool.available < was_available;
            if is_low && (is_taken || self.begins_in(record, pool)) {
                return Err(self.broken(format!(
                    "planned work left pool {} with {} of {}",
                    pool.spec.name,
                    pool.available,
                    pool.floor()
                )));
            }
        }
        Ok(())
    }

    fn begins_in(&self, record: &Record, pool: &PoolState) -> bool {
        let vm = match &record.body {
            RecordBody::Begin { vm, .. } => self.state.vms().get(vm.as_str()),
            _ => None,
        };
        vm.is_some_and(|vm| vm.pool == pool.spec.name)
    }

    /// Each VM is in one pool, and the pools count their VMs right.
    fn check_counts(&self) -> Result<(), Broken> {
        for pool in self.state.pools().iter() {
            let members = || {
                self.state
                    .vms()
                    .iter()
                    .filter(|vm| vm.pool == pool.spec.name)
            };
            let available = members().filter(|vm| vm.is_available()).count();
            let is_right =
                members().count() == pool.members as usize && available == pool.available as usize;
            if !is_right {
                return Err(self.broken(format!("pool {} counts its VMs wrong", pool.spec.name)));
            }
        }
        let is_homeless = |pool: &str| self.state.pools().get(pool).is_none();
        match self
            .state
            .vms()
            .iter()
            .find(|vm| is_homeless(vm.pool.as_str()))
        {
            Some(vm) => Err(self.broken(format!("VM {} is in no pool", vm.name))),
            None => Ok(()),
        }
    }

    /// Reservations and quotas match the attempts that run.
    fn check_jobs(&self) -> Result<(), Broken> {
        let reserved_on = |vm: &str| -> u32 {
            self.state
                .jobs()
                .iter()
                .filter_map(|job| job.attempt.as_ref())
                .filter(|attempt| attempt.vm.as_str() == vm)
                .map(|attempt| attempt.reserved.cores_milli)
                .sum()
        };
        for vm in self.state.vms().iter() {
            if vm.reserved.cores_milli != reserved_on(vm.name.as_str()) {
                return Err(self.broken(format!("VM {} counts its reservations wrong", vm.name)));
            }
        }
        Ok(())
    }

    fn broken(&self, what: impl Into<String>) -> Broken {
        Broken {
            offset: self.state.offset(),
            what: what.into(),
        }
    }
}

fn running_jobs(machine: &Machine) -> impl Iterator<Item = &str> {
    machine
        .tasks
        .iter()
        .filter(|task| task.state == lynxwheel_protocol::TaskState::Running)
        .map(|task| task.start.job.as_str())
}
