//! Histories of appends that are lost, late, repeated and overtaken, across changes of owner.

use {
    lynxwheel_controller::{Append, AppendVerdict, MAX_IN_FLIGHT_BATCHES, Writer},
    lynxwheel_engine::Record,
    lynxwheel_platform::AppendOutcome,
    lynxwheel_platform_standin::{Condition, Topic},
    proptest::{prelude::*, sample::Index, test_runner::RngSeed},
    serde_json::Value,
};

/// Maximum size of an append, in bytes; smaller than the two records of a commit.
const MAX_APPEND_BYTES: usize = 30;

/// Key that every commit writes, with its number as the value.
const SHARED_KEY: &str = "shared";

/// Step of a history. An index selects an owner, a call or a response.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An owner commits.
    Commit(Index),
    /// An owner repeats an append without a response.
    Repeat(Index),
    /// A call reaches the store.
    Execute(Index),
    /// A call reaches the store, and its response is lost.
    Lose(Index),
    /// A response reaches its owner.
    Deliver(Index),
    /// Another node takes over.
    TakeOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<Index>().prop_map(Step::Commit),
        4 => any::<Index>().prop_map(Step::Repeat),
        9 => any::<Index>().prop_map(Step::Execute),
        2 => any::<Index>().prop_map(Step::Lose),
        9 => any::<Index>().prop_map(Step::Deliver),
        1 => Just(Step::TakeOver),
    ]
}

/// Commit that is not reported as stored yet; its appends are sent one after the other.
#[derive(Debug)]
struct OpenCommit {
    number: usize,
    appends: Vec<Append>,
}

/// Owner, which goes on until the store rejects an append.
#[derive(Debug)]
struct Owner {
    epoch: u64,
    writer: Writer,
    is_deposed: bool,
    open: Vec<OpenCommit>,
    /// Numbers of the commits that it read after its fence was stored.
    restored: Option<Vec<usize>>,
}

impl Owner {
    fn new(epoch: u64) -> Self {
        Self {
            epoch,
            writer: Writer::new(epoch, MAX_APPEND_BYTES),
            is_deposed: false,
            open: Vec::new(),
            restored: None,
        }
    }

    fn can_commit(&self) -> bool {
        self.restored.is_some() && !self.is_deposed && self.open.len() < MAX_IN_FLIGHT_BATCHES
    }
}

/// Commit that was reported as stored.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct StoredCommit {
    epoch: u64,
    number: usize,
}

/// Store, owners, and all calls and responses on their way.
#[derive(Debug, Default)]
struct History {
    topic: Topic,
    owners: Vec<Owner>,
    /// Calls with the indices of their owners.
    calls: Vec<(usize, Append)>,
    /// Responses with the indices of their owners.
    responses: Vec<(usize, Append, AppendOutcome)>,
    commit_count: usize,
    stored: Vec<StoredCommit>,
}

impl History {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Commit(index) => self.commit(index.index(self.owners.len())),
            Step::Repeat(index) => self.repeat(index.index(self.owners.len())),
            Step::Execute(index) if !self.calls.is_empty() => {
                let response = self.execute(index.index(self.calls.len()));
                self.responses.push(response);
            }
            Step::Lose(index) if !self.calls.is_empty() => {
                self.execute(index.index(self.calls.len()));
            }
            Step::Deliver(index) if !self.responses.is_empty() => {
                self.deliver(index.index(self.responses.len()));
            }
            Step::Execute(_) | Step::Lose(_) | Step::Deliver(_) => {}
            Step::TakeOver => self.take_over(),
        }
    }

    fn take_over(&mut self) {
        let epoch = self.owners.last().map_or(1, |owner| owner.epoch + 1);
        let owner = Owner::new(epoch);
        self.calls
            .push((self.owners.len(), owner.writer.fence_append()));
        self.owners.push(owner);
    }

    fn commit(&mut self, index: usize) {
        let owner = &mut self.owners[index];
        if !owner.can_commit() {
            return;
        }
        self.commit_count += 1;
        let number = self.commit_count;
        let records = [own_key(number).as_str(), SHARED_KEY].map(|key| Record {
            key: key.into(),
            value: number.to_string().into_bytes(),
        });
        let appends = owner.writer.commit(&records).appends().to_vec();
        self.calls.push((index, appends[0].clone()));
        owner.open.push(OpenCommit { number, appends });
    }

    fn repeat(&mut self, index: usize) {
        let owner = &self.owners[index];
        if owner.is_deposed {
            return;
        }
        if owner.restored.is_none() {
            self.calls.push((index, owner.writer.fence_append()));
        }
        for commit in &owner.open {
            self.calls.push((index, commit.appends[0].clone()));
        }
    }

    fn execute(&mut self, index: usize) -> (usize, Append, AppendOutcome) {
        let (owner, append) = self.calls.swap_remove(index);
        let epoch = self.owners[owner].epoch;
        let condition = Condition {
            expected_end: None,
            producer: Some(("owner".into(), epoch, append.sequence)),
        };
        let (status, body) = self.topic.append(true, append.records.clone(), &condition);
        (owner, append, outcome(status, &body))
    }

    fn deliver(&mut self, index: usize) {
        let (index, append, outcome) = self.responses.swap_remove(index);
        let restored = self.present_commits();
        let owner = &mut self.owners[index];
        match AppendVerdict::new(outcome, append.sequence) {
            _ if owner.is_deposed => {}
            AppendVerdict::Rejected => owner.is_deposed = true,
            AppendVerdict::Stored if append == owner.writer.fence_append() => {
                owner.restored.get_or_insert(restored);
            }
            AppendVerdict::Stored => self.append_stored(index, &append),
            AppendVerdict::Repeat | AppendVerdict::Waiting => {}
        }
    }

    fn append_stored(&mut self, index: usize, append: &Append) {
        let owner = &mut self.owners[index];
        let mut open = owner.open.iter();
        let Some(at) = open.position(|commit| commit.appends[0] == *append) else {
            return;
        };
        owner.open[at].appends.remove(0);
        if let Some(next) = owner.open[at].appends.first() {
            self.calls.push((index, next.clone()));
        } else {
            self.stored.push(StoredCommit {
                epoch: owner.epoch,
                number: owner.open.remove(at).number,
            });
        }
    }

    /// Executes and answers all calls, with repeats, until nothing changes any more.
    fn settle(&mut self) {
        for _ in 0..2 * MAX_IN_FLIGHT_BATCHES {
            for owner in 0..self.owners.len() {
                self.repeat(owner);
            }
            while !self.calls.is_empty() || !self.responses.is_empty() {
                if !self.calls.is_empty() {
                    let response = self.execute(0);
                    self.responses.push(response);
                }
                if !self.responses.is_empty() {
                    self.deliver(0);
                }
            }
        }
    }

    fn present_commits(&self) -> Vec<usize> {
        (1..=self.commit_count)
            .filter(|number| self.topic.value(&own_key(*number)).is_some())
            .collect()
    }

    /// Asserts that reported commits are stored, not undone, and known to all later owners.
    fn assert_stored(&self) {
        for StoredCommit { epoch, number } in &self.stored {
            let key = own_key(*number);
            assert!(self.topic.value(&key).is_some(), "{key} is lost: {self:?}");
            let later = self.owners.iter().filter(|owner| owner.epoch > *epoch);
            for restored in later.filter_map(|owner| owner.restored.as_ref()) {
                assert!(restored.contains(number), "{key} was not read: {self:?}");
            }
        }
        let Some(newest) = self.stored.iter().max() else {
            return;
        };
        let shared = self.topic.value(SHARED_KEY).unwrap_or_default();
        let shared: usize = String::from_utf8_lossy(shared).parse().unwrap_or_default();
        let is_succeeded = self
            .owners
            .iter()
            .any(|owner| owner.epoch > newest.epoch && owner.restored.is_some());
        let is_current = shared >= newest.number || is_succeeded;
        assert!(is_current, "reverted to {shared}: {self:?}");
    }

    /// Asserts that the current owner has stored all its commits.
    fn assert_settled(&self) {
        let current = self.owners.last().expect("an owner");
        assert!(current.restored.is_some(), "not fenced: {self:?}");
        assert!(current.open.is_empty(), "not stored: {self:?}");
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

    /// Guards against a commit that is reported as stored and is missing, undone or unknown to a
    /// later owner.
    #[test]
    fn reported_commits_are_stored(steps in prop::collection::vec(step(), 1..200)) {
        let mut history = History::default();
        history.take_over();
        for step in steps {
            history.apply(step);
            history.assert_stored();
        }
        history.settle();
        history.assert_stored();
        history.assert_settled();
    }
}
