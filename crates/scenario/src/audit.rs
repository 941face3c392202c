//! Invariants that hold after every record of any script.

use {
    lynxwheel_protocol::{LogEntry, Record, RecordBody, decode_record},
    lynxwheel_standin::{Machine, Platform},
    lynxwheel_state::{FleetState, PoolState, Verdict},
    std::{error, fmt},
};

/// Violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Offset of the record after which the violation was detected.
    pub offset: u64,
    /// Description of the violation.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "invariant violated after offset {}: {}",
            self.offset, self.description
        )
    }
}

impl error::Error for Violation {}

/// Folds the log independently of the nodes and checks the state after each record.
#[derive(Debug, Default)]
pub struct Audit {
    state: FleetState,
    digests: Vec<u64>,
}

impl Audit {
    /// Creates an audit that has folded no record yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: FleetState::new(),
            digests: vec![FleetState::new().digest()],
        }
    }

    /// Returns the offset of the next entry to check.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.state.offset() + 1
    }

    /// Folds an entry and checks the state after it.
    ///
    /// # Errors
    ///
    /// Returns the violation if the state violates an invariant.
    pub fn check_entry(&mut self, entry: &LogEntry) -> Result<(), Violation> {
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
            return Err(self.violation("a record that was not accepted changed a VM"));
        }
        Ok(())
    }

    /// Compares the state of a node with the state of the audit at the same offset.
    ///
    /// # Errors
    ///
    /// Returns a violation if the states differ.
    pub fn compare(&self, name: &str, state: &FleetState) -> Result<(), Violation> {
        let index = usize::try_from(state.offset()).unwrap_or(usize::MAX);
        match self.digests.get(index) {
            Some(digest) if *digest == state.digest() => Ok(()),
            _ => Err(self.violation(format!("{name} diverged at offset {}", state.offset()))),
        }
    }

    /// Checks that each job runs on at most one worker and that no attempt was started twice.
    ///
    /// # Errors
    ///
    /// Returns a violation if a job runs or an attempt ran twice.
    pub fn check_workers(&self, platform: &Platform) -> Result<(), Violation> {
        let mut starts: Vec<&(String, u32)> = platform
            .machines
            .iter()
            .flat_map(|machine| machine.started_attempts.iter())
            .collect();
        starts.sort();
        if let Some(pair) = starts.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(self.violation(format!("attempt {} of {} ran twice", pair[0].1, pair[0].0)));
        }
        let mut running: Vec<&str> = platform.machines.iter().flat_map(running_jobs).collect();
        running.sort_unstable();
        match running.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(self.violation(format!("{} runs twice at the same time", pair[0]))),
            None => Ok(()),
        }
    }

    /// Checks that planned work leaves every pool at its floor or above; failures may not.
    fn check_floor(&self, before: &FleetState, record: &Record) -> Result<(), Violation> {
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
            let is_reduced = is_planned && pool.available < was_available;
            if is_low && (is_reduced || self.begins_action_in(record, pool)) {
                return Err(self.violation(format!(
                    "planned work left pool {} with {} of {}",
                    pool.spec.name,
                    pool.available,
                    pool.floor()
                )));
            }
        }
        Ok(())
    }

    fn begins_action_in(&self, record: &Record, pool: &PoolState) -> bool {
        let vm = match &record.body {
            RecordBody::Begin { vm, .. } => self.state.vms().get(vm.as_str()),
            _ => None,
        };
        vm.is_some_and(|vm| vm.pool == pool.spec.name)
    }

    /// Checks that each VM is in an existing pool, and that the counts of the pools are correct.
    fn check_counts(&self) -> Result<(), Violation> {
        for pool in self.state.pools().iter() {
            let members = || {
                self.state
                    .vms()
                    .iter()
                    .filter(|vm| vm.pool == pool.spec.name)
            };
            let available = members().filter(|vm| vm.is_available()).count();
            let are_counts_correct =
                members().count() == pool.members as usize && available == pool.available as usize;
            if !are_counts_correct {
                return Err(self.violation(format!("pool {} has wrong VM counts", pool.spec.name)));
            }
        }
        let is_pool_missing = |pool: &str| self.state.pools().get(pool).is_none();
        match self
            .state
            .vms()
            .iter()
            .find(|vm| is_pool_missing(vm.pool.as_str()))
        {
            Some(vm) => Err(self.violation(format!("VM {} is in an unknown pool", vm.name))),
            None => Ok(()),
        }
    }

    /// Checks that the reservations of each VM match the attempts on it.
    fn check_jobs(&self) -> Result<(), Violation> {
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
                return Err(self.violation(format!("VM {} has a wrong reservation", vm.name)));
            }
        }
        Ok(())
    }

    fn violation(&self, description: impl Into<String>) -> Violation {
        Violation {
            offset: self.state.offset(),
            description: description.into(),
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
