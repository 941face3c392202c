//! Fleet profiles of the experiments.

use {
    clap::ValueEnum,
    lynxwheel_protocol::{Resources, Weights},
};

/// A fleet to experiment on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum ProfileName {
    /// Tamsui River Water and Power Office: roll-out time weighs most.
    Tamsui,
    /// Recarga Bella Operaciones: buffer weighs most.
    Recarga,
    /// The size expected within two years, with Tamsui's weights.
    TwoYear,
}

impl ProfileName {
    /// Returns the name used in results.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Tamsui => "tamsui",
            Self::Recarga => "recarga",
            Self::TwoYear => "two-year",
        }
    }
}

/// Size of a fleet and its operator's weights.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Name of the profile.
    pub name: ProfileName,
    /// Weights of roll-out time, buffer and moves.
    pub weights: Weights,
    /// Number of pools.
    pub pools: usize,
    /// Minimum size of a pool.
    pub min_pool_vms: usize,
    /// Maximum size of a pool.
    pub max_pool_vms: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of teams.
    pub teams: usize,
    /// Resources of a VM, without accelerators.
    pub capacity: Resources,
    /// Every n-th VM has accelerators; 0 for none.
    pub accelerator_interval: usize,
    /// Length of a simulation step, in milliseconds.
    pub step_ms: u64,
}

impl Profile {
    /// Returns the profile with this name.
    #[must_use]
    pub fn new(name: ProfileName) -> Self {
        match name {
            ProfileName::Tamsui => Self {
                name,
                weights: weights(10, 2, 1),
                pools: 5,
                min_pool_vms: 8,
                max_pool_vms: 12,
                zones: 3,
                teams: 5,
                capacity: capacity(16, 64),
                accelerator_interval: 0,
                step_ms: 1_000,
            },
            ProfileName::Recarga => Self {
                name,
                weights: weights(2, 10, 2),
                capacity: capacity(32, 128),
                ..Self::new(ProfileName::Tamsui)
            },
            ProfileName::TwoYear => Self {
                name,
                pools: 290,
                min_pool_vms: 4,
                max_pool_vms: 6,
                zones: 12,
                teams: 270,
                capacity: capacity(32, 128),
                accelerator_interval: 2,
                step_ms: 5_000,
                ..Self::new(ProfileName::Tamsui)
            },
        }
    }
}

fn weights(roll_out: u32, buffer: u32, moves: u32) -> Weights {
    Weights {
        roll_out,
        buffer,
        moves,
    }
}

fn capacity(cores: u32, memory_gib: u32) -> Resources {
    Resources {
        cores_milli: cores * 1_000,
        memory_mib: memory_gib * 1_024,
        accelerators: 0,
    }
}
