//! Command-line arguments and execution of the experiments.

use {
    crate::{
        inputs::{Inputs, Workload},
        measures::Measures,
        plot,
        policies::{PlacementPolicy, WavePolicy},
        profile::{Profile, ProfileName},
        routing,
        run::{Run, RunPolicy},
    },
    clap::{Args, ValueEnum},
    std::{
        io::{self, Write},
        path::PathBuf,
        process::ExitCode,
    },
};

/// Exit code if there are no results or they cannot be written.
const EXIT_OUTPUT: u8 = 1;

/// Length of a step in the placement experiment, in milliseconds, which limits the precision of
/// start delays.
const PLACEMENT_STEP_MS: u64 = 1_000;

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// What is tried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum ExperimentName {
    /// A maintenance wave over busy pools.
    Waves,
    /// Jobs with wrong sizes on workers of which some fail everything.
    Placement,
    /// Requests over endpoints with few slots.
    Routing,
}

impl ExperimentName {
    /// Returns the name used in results.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waves => "waves",
            Self::Placement => "placement",
            Self::Routing => "routing",
        }
    }
}

/// Judges the decisions against baselines; prints one JSON object a line, one line a policy.
#[derive(Args, Clone, Debug)]
pub struct ExperimentArgs {
    /// What is tried out
    #[arg(value_enum)]
    pub name: ExperimentName,
    /// Fleet to try it on
    #[arg(long, value_enum, default_value = "tamsui")]
    pub profile: ProfileName,
    /// First seed of the inputs
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Seeds to run, from the first one on
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Only this policy; all of them without it
    #[arg(long)]
    pub policy: Option<String>,
    /// Draws roll-out time or start delay of each policy by seed into an SVG file
    #[arg(long, value_name = "FILE.svg")]
    pub plot: Option<PathBuf>,
}

/// Runs an experiment and prints its results as JSON lines.
#[must_use]
pub fn execute(args: &ExperimentArgs) -> ExitCode {
    let mut rows = Vec::new();
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        for row in run_seed(args, seed) {
            if let Err(error) = print_row(&row) {
                eprintln!("cannot write the results: {error}");
                return ExitCode::from(EXIT_OUTPUT);
            }
            rows.push(row);
        }
    }
    if rows.is_empty() {
        eprintln!("no such policy in this experiment");
        return ExitCode::from(EXIT_OUTPUT);
    }
    if let Some(path) = &args.plot
        && let Err(error) = plot::draw_svg(path, &rows)
    {
        eprintln!("cannot draw {}: {error}", path.display());
        return ExitCode::from(EXIT_OUTPUT);
    }
    ExitCode::SUCCESS
}

fn print_row(row: &Measures) -> io::Result<()> {
    let line = serde_json::to_string(row)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")
}

/// Runs the selected policies on the inputs of one seed.
#[must_use]
pub fn run_seed(args: &ExperimentArgs, seed: u64) -> Vec<Measures> {
    let mut profile = Profile::new(args.profile);
    if args.name == ExperimentName::Placement {
        profile.step_ms = PLACEMENT_STEP_MS;
    }
    let is_selected = |name: &str| args.policy.as_deref().is_none_or(|policy| policy == name);
    let workload = workload(args.name, args.profile);
    let mut rows = match args.name {
        ExperimentName::Waves => {
            let inputs = Inputs::new(&profile, &workload, seed);
            let policies = WavePolicy::ALL.into_iter();
            policies
                .filter(|policy| is_selected(policy.as_str()))
                .map(|policy| Measures {
                    policy: policy.as_str(),
                    ..Run::new(&profile, &workload, &inputs, RunPolicy::Wave(policy)).run()
                })
                .collect::<Vec<_>>()
        }
        ExperimentName::Placement => {
            let inputs = Inputs::new(&profile, &workload, seed);
            let policies = PlacementPolicy::ALL.into_iter();
            policies
                .filter(|policy| is_selected(policy.as_str()))
                .map(|policy| Measures {
                    policy: policy.as_str(),
                    ..Run::new(&profile, &workload, &inputs, RunPolicy::Placement(policy)).run()
                })
                .collect()
        }
        ExperimentName::Routing => routing::run(&profile, seed)
            .into_iter()
            .filter(|row| is_selected(row.policy))
            .collect(),
    };
    for row in &mut rows {
        row.experiment = args.name.as_str();
        row.seed = seed;
    }
    rows
}

fn workload(name: ExperimentName, profile: ProfileName) -> Workload {
    let is_large = profile == ProfileName::TwoYear;
    match name {
        ExperimentName::Waves => Workload {
            warm_up_ms: HOUR_MS,
            arrivals_ms: if is_large { 6 } else { 16 } * HOUR_MS,
            load_percent: 45,
            faulty_vm_percent: 0,
            urgent_burst_jobs: 1,
        },
        _ => Workload {
            warm_up_ms: HOUR_MS,
            arrivals_ms: if is_large { 1 } else { 5 } * HOUR_MS,
            load_percent: 70,
            faulty_vm_percent: 4,
            urgent_burst_jobs: 4,
        },
    }
}
