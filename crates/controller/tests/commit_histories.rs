//! Histories of appends that are lost, late, repeated and overtaken, across changes of owner.

use {
    lynxwheel_controller::{Append, AppendVerdict, MAX_IN_FLIGHT_BATCHES, Writer},
    lynxwheel_engine::Record,
    lynxwheel_platform::AppendOutcome,
    lynxwheel_platform_standin::{Condition, Topic},
    proptest::{prelude::*, sample::Index, test_runner::RngSeed},
    serde_json::Value,
};

/// Maximum size of an append, in bytes; two records of the test exceed it.
const MAX_APPEND_BYTES: usize = 30;

/// Key that every commit writes, with its number as the value.
const SHARED_KEY: &str = "shared";

/// Step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The owner commits.
    Commit,
    /// The owner repeats an append without a response.
    Repeat(Index),
    /// A call reaches the store, and its response the owner.
    Respond(Index),
    /// A call reaches the store, and its response is lost.
    Lose(Index),
    /// Another node takes over.
    TakeOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Commit),
        3 => any::<Index>().prop_map(Step::Repeat),
        6 => any::<Index>().prop_map(Step::Respond),
        2 => any::<Index>().prop_map(Step::Lose),
        1 => Just(Step::TakeOver),
    ]
}

/// Call that has not reached the store yet; calls may do so in any order.
#[derive(Clone, Debug)]
struct Call {
    epoch: u64,
    append: Append,
}

/// Commit that is not stored yet: its appends are sent one after the other.
#[derive(Debug)]
struct OpenCommit {
    number: usize,
    appends: Vec<Append>,
}

/// Store, the current owner, and all calls on their way.
#[derive(Debug)]
struct History {
    topic: Topic,
    epoch: u64,
    writer: Writer,
    is_fenced: bool,
    calls: Vec<Call>,
    open: Vec<OpenCommit>,
    /// Numbers of the commits that were reported as stored.
    stored: Vec<usize>,
    commit_count: usize,
}

impl History {
    fn new() -> Self {
        let mut this = Self {
            topic: Topic::default(),
            epoch: 0,
            writer: Writer::new(0, MAX_APPEND_BYTES),
            is_fenced: false,
            calls: Vec::new(),
            open: Vec::new(),
            stored: Vec::new(),
            commit_count: 0,
        };
        this.take_over();
        this
    }

    fn take_over(&mut self) {
        self.epoch += 1;
        self.writer = Writer::new(self.epoch, MAX_APPEND_BYTES);
        self.is_fenced = false;
        self.open.clear();
        self.send(Writer::fence_append());
    }

    fn send(&mut self, append: Append) {
        let epoch = self.epoch;
        self.calls.push(Call { epoch, append });
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Commit => self.commit(),
            Step::Repeat(index) => self.repeat(index),
            Step::Respond(index) => {
                if let Some((call, outcome)) = self.execute(index)
                    && call.epoch == self.epoch
                {
                    self.handle_response(&call.append, outcome);
                }
            }
            Step::Lose(index) => drop(self.execute(index)),
            Step::TakeOver => self.take_over(),
        }
    }

    fn commit(&mut self) {
        if !self.is_fenced || self.open.len() >= MAX_IN_FLIGHT_BATCHES {
            return;
        }
        self.commit_count += 1;
        let number = self.commit_count;
        let records = [own_key(number).as_str(), SHARED_KEY].map(|key| Record {
            key: key.into(),
            value: number.to_string().into_bytes(),
        });
        let appends = self.writer.commit(&records).appends().to_vec();
        self.send(appends[0].clone());
        self.open.push(OpenCommit { number, appends });
    }

    fn repeat(&mut self, index: Index) {
        if !self.is_fenced {
            self.send(Writer::fence_append());
        } else if !self.open.is_empty() {
            let commit = &self.open[index.index(self.open.len())];
            self.send(commit.appends[0].clone());
        }
    }

    fn execute(&mut self, index: Index) -> Option<(Call, AppendOutcome)> {
        if self.calls.is_empty() {
            return None;
        }
        let call = self.calls.swap_remove(index.index(self.calls.len()));
        let condition = Condition {
            expected_end: None,
            producer: Some(("owner".into(), call.epoch, call.append.sequence)),
        };
        let (status, body) = self
            .topic
            .append(true, call.append.records.clone(), &condition);
        Some((call, outcome(status, &body)))
    }

    fn handle_response(&mut self, append: &Append, outcome: AppendOutcome) {
        let verdict = AppendVerdict::new(outcome, append.sequence);
        assert_ne!(verdict, AppendVerdict::Rejected, "{append:?} {outcome:?}");
        if verdict != AppendVerdict::Stored {
            return;
        }
        if append == &Writer::fence_append() {
            self.is_fenced = true;
            return;
        }
        let known = self
            .open
            .iter_mut()
            .position(|commit| commit.appends[0] == *append);
        let Some(index) = known else {
            return;
        };
        self.open[index].appends.remove(0);
        if let Some(next) = self.open[index].appends.first().cloned() {
            self.send(next);
        } else {
            self.stored.push(self.open.remove(index).number);
        }
    }

    fn assert_stored(&self) {
        for number in &self.stored {
            let key = own_key(*number);
            assert!(self.topic.value(&key).is_some(), "{key} is lost: {self:?}");
        }
        let shared = self.topic.value(SHARED_KEY).unwrap_or_default();
        let latest: usize = String::from_utf8_lossy(shared).parse().unwrap_or_default();
        let newest = self.stored.iter().max().copied().unwrap_or_default();
        assert!(latest >= newest, "reverted to {latest}: {self:?}");
    }
}

fn own_key(number: usize) -> String {
    format!("commit-{number}")
}

fn outcome(status: u16, body: &Value) -> AppendOutcome {
    let number = |field: &str| body[field].as_u64().unwrap_or_default();
    match (status, body["reason"].as_str()) {
        (200, _) => AppendOutcome::Stored {
            offset: number("offset"),
            end: number("end_offset"),
        },
        (409, Some("seq")) => AppendOutcome::OutOfSequence {
            expected: number("sequence"),
        },
        _ => AppendOutcome::Fenced,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261),
        ..ProptestConfig::default()
    })]

    /// Guards against a commit that is reported as stored and is missing or undone later.
    #[test]
    fn reported_commits_are_stored(steps in prop::collection::vec(step(), 1..120)) {
        let mut history = History::new();
        for step in steps {
            history.apply(step);
            history.assert_stored();
        }
    }
}
