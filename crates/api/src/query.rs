//! Parameters behind the question mark, each known by name.

use {
    lynxwheel_protocol::{FieldError, Problem, ProblemReason},
    std::str::FromStr,
};

/// Resources on one page when the request names no number.
const DEFAULT_LIMIT: usize = 500;

/// Resources on one page at most.
const MAX_LIMIT: usize = 5_000;

/// Parameters of a list or watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ListQuery {
    /// Resources on the page at most.
    pub(crate) limit: usize,
    /// Where the page starts.
    pub(crate) continue_at: Option<ContinueAt>,
    /// Whether the answer is a stream of changes.
    pub(crate) watch: bool,
    /// Offset after which changes are told.
    pub(crate) from: Option<u64>,
    /// Only resource to be told of.
    pub(crate) name: Option<String>,
}

/// Place between two pages of a list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ContinueAt {
    /// Revision of the first page.
    pub(crate) revision: u64,
    /// Last name told.
    pub(crate) after: String,
}

impl ContinueAt {
    pub(crate) fn text(&self) -> String {
        format!("{}:{}", self.revision, self.after)
    }
}

impl FromStr for ContinueAt {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (revision, after) = text.split_once(':').ok_or(())?;
        Ok(Self {
            revision: revision.parse().map_err(drop)?,
            after: after.into(),
        })
    }
}

/// Parameters of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct WriteQuery {
    /// Whether nothing is to be changed.
    pub(crate) dry_run: bool,
}

impl ListQuery {
    /// Reads the parameters of a list or watch, naming every bad one.
    pub(crate) fn parse(query: Option<&str>) -> Result<Self, Problem> {
        let mut parameters = Parameters::new(query);
        let parsed = Self {
            limit: parameters.take("limit").unwrap_or(DEFAULT_LIMIT),
            continue_at: parameters.take("continue"),
            watch: parameters.take("watch").unwrap_or(false),
            from: parameters.take("from"),
            name: parameters.take("name"),
        };
        if parsed.limit == 0 || parsed.limit > MAX_LIMIT {
            parameters.bad("limit", format!("must be from 1 to {MAX_LIMIT}"));
        }
        if parsed.watch && parsed.continue_at.is_some() {
            parameters.bad("continue", "cannot go with watch");
        }
        if !parsed.watch && parsed.from.is_some() {
            parameters.bad("from", "goes only with watch=true");
        }
        if !parsed.watch && parsed.name.is_some() {
            parameters.bad("name", "goes only with watch=true");
        }
        parameters.finish(parsed)
    }
}

impl WriteQuery {
    /// Reads the parameters of a write.
    pub(crate) fn parse(query: Option<&str>) -> Result<Self, Problem> {
        let mut parameters = Parameters::new(query);
        let parsed = Self {
            dry_run: parameters.take("dry_run").unwrap_or(false),
        };
        parameters.finish(parsed)
    }
}

/// Refuses parameters where there are none to give.
pub(crate) fn expect_none(query: Option<&str>) -> Result<(), Problem> {
    Parameters::new(query).finish(())
}

/// Parameters not yet taken, and what was wrong with those taken.
struct Parameters<'a> {
    rest: Vec<(&'a str, &'a str)>,
    errors: Vec<FieldError>,
}

impl<'a> Parameters<'a> {
    fn new(query: Option<&'a str>) -> Self {
        let rest = query
            .unwrap_or_default()
            .split('&')
            .filter(|pair| !pair.is_empty())
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .collect();
        Self {
            rest,
            errors: Vec::new(),
        }
    }

    fn take<T: FromStr>(&mut self, key: &str) -> Option<T> {
        let row = self.rest.iter().position(|(name, _)| *name == key)?;
        let (_, text) = self.rest.remove(row);
        let value = text.parse().ok();
        if value.is_none() {
            self.bad(key, format!("cannot be {text}"));
        }
        value
    }

    fn bad(&mut self, key: &str, reason: impl Into<String>) {
        self.errors.push(FieldError {
            field: key.into(),
            reason: reason.into(),
        });
    }

    /// A parameter left over is misspelt or given twice; to ignore it could turn a trial, such
    /// as `dryrun=true`, into a write.
    fn finish<T>(mut self, parsed: T) -> Result<T, Problem> {
        for (key, _) in std::mem::take(&mut self.rest) {
            self.bad(key, "no such parameter, or given twice");
        }
        if self.errors.is_empty() {
            return Ok(parsed);
        }
        let mut problem = Problem::new(ProblemReason::BadRequest, "bad parameters");
        problem.errors = self.errors;
        Err(problem)
    }
}
