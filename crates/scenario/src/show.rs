//! Steps that print the state of a node or of the platform.

use {
    crate::{
        node::SimNode,
        simulation::{Simulation, StepResult},
    },
    lynxwheel_protocol::RequestKey,
    lynxwheel_standin::Machine,
    lynxwheel_state::{Attempt, Claim},
};

impl Simulation {
    pub(crate) fn show_machine(&mut self, vm: &str) -> StepResult {
        let machine: &Machine = self.machine_mut(vm)?;
        let power = if machine.is_up { "up" } else { "down" };
        let draining = if machine.is_draining {
            ", draining"
        } else {
            ""
        };
        let tasks: Vec<String> = machine
            .tasks
            .iter()
            .map(|task| {
                format!(
                    ", {} attempt {} {:?}",
                    task.start.job, task.start.attempt, task.state
                )
            })
            .collect();
        Ok(format!(
            "{vm} life {} {power}{draining}, stopped {} times, {} in progress{}",
            machine.incarnation,
            machine.stop_count,
            machine.in_progress,
            tasks.concat()
        ))
    }

    pub(crate) fn show_nodes(&self) -> String {
        let lines: Vec<String> = self
            .nodes
            .iter()
            .map(|node| {
                let frozen = if node.is_frozen { ", frozen" } else { "" };
                let cut = if node.is_cut_from_log {
                    ", cut from the log"
                } else {
                    ""
                };
                format!("{} at {}{frozen}{cut}", node.name, node.state().offset())
            })
            .collect();
        lines.join("\n")
    }
}

pub(crate) fn pool(node: &SimNode, name: &str) -> StepResult {
    let pool = node.state().pools().get(name).ok_or("no such pool")?;
    Ok(format!(
        "pool {name}: {} available of {}, floor {}",
        pool.available,
        pool.members,
        pool.floor()
    ))
}

pub(crate) fn vm(node: &SimNode, name: &str) -> StepResult {
    let vm = node.state().vms().get(name).ok_or("no such VM")?;
    Ok(format!(
        "VM {name}: pool {}, life {}, {:?}{}",
        vm.pool,
        vm.incarnation,
        vm.phase,
        vm.claim.as_ref().map(claim_text).unwrap_or_default()
    ))
}

fn claim_text(claim: &Claim) -> String {
    format!(
        ", {:?} by {} under {}",
        claim.stage, claim.holder, claim.fence
    )
}

pub(crate) fn job(node: &SimNode, name: &str) -> StepResult {
    let job = node.state().jobs().get(name).ok_or("no such job")?;
    let reason = match job.reason.as_str() {
        "" => String::new(),
        reason => format!(" ({reason})"),
    };
    Ok(format!(
        "job {name}: {:?}{reason}, {} attempts, {} failures{}",
        job.phase,
        job.attempts,
        job.failures,
        job.attempt.as_ref().map(attempt_text).unwrap_or_default()
    ))
}

fn attempt_text(attempt: &Attempt) -> String {
    let stopping = if attempt.stopping { ", stopping" } else { "" };
    format!(", on {}{stopping}", attempt.vm)
}

pub(crate) fn key(node: &SimNode, key: u128) -> String {
    node.state().key(RequestKey(key)).map_or_else(
        || format!("key {key}: not known"),
        |entry| format!("key {key}: {:?}, held by {}", entry.state, entry.holder),
    )
}
