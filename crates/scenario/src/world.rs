//! Everything that a story is played on, and the dispatch of its steps.

use {
    crate::{
        audit::Audit,
        command::Command,
        node::{Folded, SimNode},
    },
    goldenscript::{Context, Runner},
    lynxwheel_protocol::{Record, RecordBody, SnapshotChunk, VmName, WriterId, encode_record},
    lynxwheel_standin::Platform,
    lynxwheel_state::Verdict,
    std::error::Error,
};

/// Result of a step: its output, or why it cannot be done.
pub(crate) type StepResult = Result<String, Box<dyn Error>>;

/// Name of the fleet's stream.
pub(crate) const STREAM: &str = "fleet";

/// Time at which a story begins, in milliseconds.
const START_MS: u64 = 1_000_000;

/// Time that a reboot takes, in milliseconds.
const REBOOT_MS: u64 = 5_000;

/// Entries of one read at most.
const MAX_READ: usize = 10_000;

/// A kept snapshot.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) name: String,
    pub(crate) chunks: Vec<SnapshotChunk>,
}

/// Endpoint chosen for a request and not yet asked.
#[derive(Debug)]
pub(crate) struct Chosen {
    pub(crate) vm: VmName,
    pub(crate) incarnation: u64,
}

/// A platform, nodes and a manual clock.
#[derive(Debug)]
pub struct World {
    pub(crate) now_ms: u64,
    pub(crate) platform: Platform,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) kept: Vec<Kept>,
    pub(crate) late: Vec<Vec<u8>>,
    pub(crate) chosen: Option<Chosen>,
    pub(crate) cut_vms: Vec<String>,
    pub(crate) runs: u64,
    audit: Audit,
}

impl Default for World {
    fn default() -> Self {
        Self::new()
    }
}

impl World {
    /// Creates a platform without VMs and no nodes.
    #[must_use]
    pub fn new() -> Self {
        Self {
            now_ms: START_MS,
            platform: Platform::new(REBOOT_MS),
            nodes: Vec::new(),
            kept: Vec::new(),
            late: Vec::new(),
            chosen: None,
            cut_vms: Vec::new(),
            runs: 0,
            audit: Audit::new(),
        }
    }

    pub(crate) fn row(&self, name: &str) -> Result<usize, Box<dyn Error>> {
        self.nodes
            .iter()
            .position(|node| node.name.as_str() == name)
            .ok_or_else(|| format!("node {name} does not run").into())
    }

    pub(crate) fn node(&self, name: &str) -> Result<&SimNode, Box<dyn Error>> {
        self.row(name).map(|row| &self.nodes[row])
    }

    pub(crate) fn node_mut(&mut self, name: &str) -> Result<&mut SimNode, Box<dyn Error>> {
        let row = self.row(name)?;
        Ok(&mut self.nodes[row])
    }

    /// Proposes a record and tells what became of it.
    pub(crate) fn propose(&mut self, name: &str, body: RecordBody) -> StepResult {
        let now_ms = self.now_ms;
        let node = self.node_mut(name)?;
        if node.is_frozen {
            return Err("a frozen node does nothing".into());
        }
        if node.unanswered.is_some() {
            return Ok("waits for the record without an answer".into());
        }
        if node.is_cut || self.platform.faults.log_down {
            return Ok("not appended".into());
        }
        let node = self.node_mut(name)?;
        node.sequence += 1;
        let record = Record {
            id: WriterId {
                incarnation: node.incarnation,
                sequence: node.sequence,
            },
            time_ms: now_ms + node.ahead_ms,
            body,
        };
        self.append(name, record)
    }

    /// Appends a record, the answer to which may be lost.
    pub(crate) fn append(&mut self, name: &str, record: Record) -> StepResult {
        let bytes = encode_record(&record)?;
        let id = record.id;
        let faults = &mut self.platform.faults;
        if faults.late_appends > 0 {
            faults.late_appends -= 1;
            self.late.push(bytes);
            self.node_mut(name)?.unanswered = Some(record);
            return Ok("outcome unknown".into());
        }
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        self.platform.log.append(STREAM, vec![bytes]);
        if is_lost {
            self.node_mut(name)?.unanswered = Some(record);
            self.follow(None);
            return Ok("outcome unknown".into());
        }
        self.node_mut(name)?.unanswered = None;
        let own = self.follow(Some(id));
        Ok(own.map_or_else(
            || "appended".into(),
            |folded| format!("{} {}", folded.offset, verdict_text(&folded.verdict)),
        ))
    }

    /// Lets every node that can read fold to the log's end; returns the verdict on `id`.
    pub(crate) fn follow(&mut self, id: Option<WriterId>) -> Option<Folded> {
        let mut own = None;
        for node in &mut self.nodes {
            if !node.follows() {
                continue;
            }
            let answer = self
                .platform
                .log
                .read(STREAM, node.state().offset() + 1, MAX_READ);
            let Ok(folded) = node.fold(&answer) else {
                continue;
            };
            if id.is_some_and(|id| id.incarnation == node.incarnation) {
                own = folded.into_iter().rfind(|folded| Some(folded.id) == id);
            }
        }
        own
    }

    /// Reads the log to its end on one node.
    pub(crate) fn read(&mut self, name: &str) -> StepResult {
        let row = self.row(name)?;
        let node = &mut self.nodes[row];
        if node.is_cut || self.platform.faults.log_down {
            return Ok("the log does not answer".into());
        }
        let answer = self
            .platform
            .log
            .read(STREAM, node.state().offset() + 1, MAX_READ);
        match node.fold(&answer) {
            Ok(_) => Ok(format!("at {}", node.state().offset())),
            Err(trimmed) => Ok(trimmed.to_string()),
        }
    }

    fn check(&mut self) -> Result<(), Box<dyn Error>> {
        let answer = self
            .platform
            .log
            .read(STREAM, self.audit.next_offset(), MAX_READ);
        for entry in &answer.entries {
            self.audit.look(entry)?;
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

impl Runner for World {
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
