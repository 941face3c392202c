//! Steps that write and read snapshots by the real cutting and assembly.

use {
    crate::world::{Kept, StepResult, World},
    lynxwheel_coordination::{SnapshotAssembler, split_snapshot},
    lynxwheel_protocol::SnapshotChunk,
    lynxwheel_state::FleetState,
    std::error::Error,
};

impl World {
    pub(crate) fn keep_snapshot(&mut self, node: &str, name: &str) -> StepResult {
        let node = self.node(node)?;
        let offset = node.state().offset();
        let chunks = split_snapshot(node.state(), node.incarnation).ok_or("too large")?;
        let count = chunks.len();
        self.kept.push(Kept {
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
        let chunks = &self.kept(name)?.chunks;
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

    pub(crate) fn spoil_chunk(&mut self, name: &str, index: usize) -> StepResult {
        let kept = self.kept.iter_mut().find(|kept| kept.name == name);
        let chunk = kept
            .and_then(|kept| kept.chunks.get_mut(index))
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
        let is_taken = node.restore(state);
        let outcome = if is_taken { "restored" } else { "kept its own" };
        Ok(format!("{outcome}, at {}", node.state().offset()))
    }

    /// Returns the state of a whole snapshot.
    pub(crate) fn whole(&self, name: &str) -> Result<FleetState, Box<dyn Error>> {
        let mut assembler = SnapshotAssembler::default();
        for chunk in &self.kept(name)?.chunks {
            assembler.add(chunk.clone());
        }
        assembler
            .latest()
            .ok_or_else(|| "the snapshot is not whole".into())
    }

    fn kept(&self, name: &str) -> Result<&Kept, Box<dyn Error>> {
        self.kept
            .iter()
            .find(|kept| kept.name == name)
            .ok_or_else(|| format!("no snapshot {name}").into())
    }
}
