//! Steps that split, read and assemble snapshots.

use {
    crate::simulation::{Simulation, StepResult, StoredSnapshot},
    lynxwheel_coordination::{SnapshotAssembler, split_snapshot},
    lynxwheel_protocol::SnapshotChunk,
    lynxwheel_state::FleetState,
    std::error::Error,
};

impl Simulation {
    pub(crate) fn store_snapshot(&mut self, node: &str, name: &str) -> StepResult {
        let node = self.node(node)?;
        let offset = node.state().offset();
        let chunks = split_snapshot(node.state(), node.incarnation).ok_or("too large")?;
        let count = chunks.len();
        self.snapshots.push(StoredSnapshot {
            name: name.into(),
            chunks,
        });
        Ok(format!("at {offset} in {count} chunks"))
    }

    pub(crate) fn read_chunk(
        &mut self,
        node: &str,
        name: &str,
        index: Option<usize>,
    ) -> StepResult {
        let chunks = &self.snapshot(name)?.chunks;
        let chunks: Vec<SnapshotChunk> = match index {
            Some(index) => vec![chunks.get(index).ok_or("no such chunk")?.clone()],
            None => chunks.clone(),
        };
        let node = self.node_mut(node)?;
        for chunk in chunks {
            node.snapshots.add(chunk);
        }
        Ok(String::new())
    }

    pub(crate) fn corrupt_chunk(&mut self, name: &str, index: usize) -> StepResult {
        let snapshot = self
            .snapshots
            .iter_mut()
            .find(|snapshot| snapshot.name == name);
        let chunk = snapshot
            .and_then(|snapshot| snapshot.chunks.get_mut(index))
            .ok_or("no such chunk")?;
        let middle = chunk.bytes.len() / 2;
        chunk.bytes[middle] ^= 1;
        Ok(String::new())
    }

    pub(crate) fn restore_snapshot(&mut self, node: &str) -> StepResult {
        let node = self.node_mut(node)?;
        let Some(state) = node.snapshots.latest() else {
            return Ok("no whole snapshot".into());
        };
        let is_restored = node.restore(state);
        let outcome = if is_restored {
            "restored"
        } else {
            "kept its own"
        };
        Ok(format!("{outcome}, at {}", node.state().offset()))
    }

    /// Returns the state of a stored snapshot.
    pub(crate) fn assemble_snapshot(&self, name: &str) -> Result<FleetState, Box<dyn Error>> {
        let mut assembler = SnapshotAssembler::default();
        for chunk in &self.snapshot(name)?.chunks {
            assembler.add(chunk.clone());
        }
        assembler
            .latest()
            .ok_or_else(|| "the snapshot is incomplete".into())
    }

    fn snapshot(&self, name: &str) -> Result<&StoredSnapshot, Box<dyn Error>> {
        self.snapshots
            .iter()
            .find(|snapshot| snapshot.name == name)
            .ok_or_else(|| format!("no snapshot {name}").into())
    }
}
