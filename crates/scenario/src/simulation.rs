//! State of a script run, and the dispatch of its steps.

use {
    crate::{
        audit::Audit,
        command::Command,
        node::{FoldedRecord, SimNode},
    },
    goldenscript::{Context, Runner},
    lynxwheel_protocol::{Record, RecordBody, SnapshotChunk, VmName, WriterId, encode_record},
    lynxwheel_standin::Platform,
    lynxwheel_state::Verdict,
    std::error::Error,
};

/// Result of a step: its output, or why it cannot be run.
pub(crate) type StepResult = Result<String, Box<dyn Error>>;

/// Name of the stream of the fleet.
pub(crate) const STREAM: &str = "fleet";

/// Time of the clock at the start of a script, in milliseconds.
const START_TIME_MS: u64 = 1_000_000;

/// Duration of a reboot, in milliseconds.
const REBOOT_MS: u64 = 5_000;

/// Maximum number of entries per read.
const MAX_READ_ENTRIES: usize = 10_000;

/// A stored snapshot.
#[derive(Debug)]
pub(crate) struct StoredSnapshot {
    pub(crate) name: String,
    pub(crate) chunks: Vec<SnapshotChunk>,
}

/// Endpoint chosen for a request that has not been dispatched.
#[derive(Debug)]
pub(crate) struct ChosenEndpoint {
    pub(crate) vm: VmName,
    pub(crate) incarnation: u64,
}

/// A platform and simulated nodes under a manual clock.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) now_ms: u64,
    pub(crate) platform: Platform,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) snapshots: Vec<StoredSnapshot>,
    pub(crate) delayed_appends: Vec<Vec<u8>>,
    pub(crate) chosen_endpoint: Option<ChosenEndpoint>,
    pub(crate) unreachable_vms: Vec<String>,
    pub(crate) node_starts: u64,
    audit: Audit,
}

impl Default for Simulation {
    fn default() -> Self {
        Self::new()
    }
}

impl Simulation {
    /// Creates a simulation without VMs and nodes.
    #[must_use]
    pub fn new() -> Self {
        Self {
            now_ms: START_TIME_MS,
            platform: Platform::new(REBOOT_MS),
            nodes: Vec::new(),
            snapshots: Vec::new(),
            delayed_appends: Vec::new(),
            chosen_endpoint: None,
            unreachable_vms: Vec::new(),
            node_starts: 0,
            audit: Audit::new(),
        }
    }

    pub(crate) fn node_index(&self, name: &str) -> Result<usize, Box<dyn Error>> {
        self.nodes
            .iter()
            .position(|node| node.name.as_str() == name)
            .ok_or_else(|| format!("node {name} is not running").into())
    }

    pub(crate) fn node(&self, name: &str) -> Result<&SimNode, Box<dyn Error>> {
        self.node_index(name).map(|index| &self.nodes[index])
    }

    pub(crate) fn node_mut(&mut self, name: &str) -> Result<&mut SimNode, Box<dyn Error>> {
        let index = self.node_index(name)?;
        Ok(&mut self.nodes[index])
    }

    /// Proposes a record and returns its outcome.
    pub(crate) fn propose(&mut self, name: &str, body: RecordBody) -> StepResult {
        let now_ms = self.now_ms;
        let node = self.node_mut(name)?;
        if node.is_frozen {
            return Err("a frozen node does nothing".into());
        }
        if node.pending_record.is_some() {
            return Ok("waits for the record without an answer".into());
        }
        if node.is_cut_from_log || self.platform.faults.log_down {
            return Ok("not appended".into());
        }
        let node = self.node_mut(name)?;
        node.sequence += 1;
        let record = Record {
            id: WriterId {
                incarnation: node.incarnation,
                sequence: node.sequence,
            },
            time_ms: now_ms + node.clock_ahead_ms,
            body,
        };
        self.append(name, record)
    }

    /// Appends a record; a fault may delay it or lose its response.
    pub(crate) fn append(&mut self, name: &str, record: Record) -> StepResult {
        let bytes = encode_record(&record)?;
        let id = record.id;
        let faults = &mut self.platform.faults;
        if faults.late_appends > 0 {
            faults.late_appends -= 1;
            self.delayed_appends.push(bytes);
            self.node_mut(name)?.pending_record = Some(record);
            return Ok("outcome unknown".into());
        }
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        self.platform.log.append(STREAM, vec![bytes]);
        if is_lost {
            self.node_mut(name)?.pending_record = Some(record);
            self.fold_new_entries(None);
            return Ok("outcome unknown".into());
        }
        self.node_mut(name)?.pending_record = None;
        let own = self.fold_new_entries(Some(id));
        Ok(own.map_or_else(
            || "appended".into(),
            |folded| format!("{} {}", folded.offset, verdict_text(&folded.verdict)),
        ))
    }

    /// Makes every node that can follow fold all new entries; returns the result for record `id`.
    pub(crate) fn fold_new_entries(&mut self, id: Option<WriterId>) -> Option<FoldedRecord> {
        let mut own = None;
        for node in &mut self.nodes {
            if !node.can_follow() {
                continue;
            }
            let response =
                self.platform
                    .log
                    .read(STREAM, node.state().offset() + 1, MAX_READ_ENTRIES);
            let Ok(folded) = node.fold(&response) else {
                continue;
            };
            if id.is_some_and(|id| id.incarnation == node.incarnation) {
                own = folded.into_iter().rfind(|folded| Some(folded.id) == id);
            }
        }
        own
    }

    /// Makes one node fold all new entries.
    pub(crate) fn read(&mut self, name: &str) -> StepResult {
        let index = self.node_index(name)?;
        let node = &mut self.nodes[index];
        if node.is_cut_from_log || self.platform.faults.log_down {
            return Ok("the log does not answer".into());
        }
        let response = self
            .platform
            .log
            .read(STREAM, node.state().offset() + 1, MAX_READ_ENTRIES);
        match node.fold(&response) {
            Ok(_) => Ok(format!("at {}", node.state().offset())),
            Err(trimmed) => Ok(trimmed.to_string()),
        }
    }

    fn check(&mut self) -> Result<(), Box<dyn Error>> {
        let response = self
            .platform
            .log
            .read(STREAM, self.audit.next_offset(), MAX_READ_ENTRIES);
        for entry in &response.entries {
            self.audit.check_entry(entry)?;
        }
        for node in &self.nodes {
            self.audit.compare(node.name.as_str(), node.state())?;
        }
        self.audit.check_workers(&self.platform)?;
        Ok(())
    }
}

pub(crate) fn verdict_text(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted => "accepted".into(),
        Verdict::Duplicate => "duplicate".into(),
        Verdict::Rejected(rejection) => format!("rejected: {rejection}"),
    }
}

impl Runner for Simulation {
    type Command = Command;

    fn run(&mut self, command: &Command, context: &Context) -> StepResult {
        match &context.prefix {
            None => self.run_platform(command),
            Some(node) => self.run_node(node, command),
        }
    }

    fn end_command(&mut self, _command: &Command, _context: &Context) -> StepResult {
        self.check()?;
        Ok(String::new())
    }
}
