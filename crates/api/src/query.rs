//! Query parameters.

use {
    lynxwheel_protocol::{FieldError, Problem, ProblemReason},
    std::str::FromStr,
};

/// Default number of resources per page.
const DEFAULT_LIMIT: usize = 500;

/// Maximum number of resources per page.
const MAX_LIMIT: usize = 5_000;

/// Parameters of a list or watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ListQuery {
    /// Maximum number of resources on the page.
    pub(crate) limit: usize,
    /// Start of the page.
    pub(crate) continue_at: Option<ContinueToken>,
    /// Whether to respond with a stream of changes.
    pub(crate) watch: bool,
    /// Offset after which changes are sent.
    pub(crate) from: Option<u64>,
    /// Name of the only resource to watch.
    pub(crate) name: Option<String>,
}

/// Position after a page of a list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ContinueToken {
    /// Revision of the first page.
    pub(crate) revision: u64,
    /// Last name of the previous page.
    pub(crate) after: String,
}

impl ContinueToken {
    pub(crate) fn encode(&self) -> String {
        format!("{}:{}", self.revision, self.after)
    }
}

impl FromStr for ContinueToken {
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
    /// Whether to check the write without applying it.
    pub(crate) dry_run: bool,
}

impl ListQuery {
    /// Parses the parameters of a list or watch and reports all invalid ones.
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
            parameters.add_error("limit", format!("must be from 1 to {MAX_LIMIT}"));
        }
        if parsed.watch && parsed.continue_at.is_some() {
            parameters.add_error("continue", "cannot go with watch");
        }
        if !parsed.watch && parsed.from.is_some() {
            parameters.add_error("from", "goes only with watch=true");
        }
        if !parsed.watch && parsed.name.is_some() {
            parameters.add_error("name", "goes only with watch=true");
        }
        parameters.finish(parsed)
    }
}

impl WriteQuery {
    /// Parses the parameters of a write.
    pub(crate) fn parse(query: Option<&str>) -> Result<Self, Problem> {
        let mut parameters = Parameters::new(query);
        let parsed = Self {
            dry_run: parameters.take("dry_run").unwrap_or(false),
        };
        parameters.finish(parsed)
    }
}

/// Rejects any parameters.
pub(crate) fn reject_parameters(query: Option<&str>) -> Result<(), Problem> {
    Parameters::new(query).finish(())
}

/// Unparsed parameters, and the errors of parsed ones.
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
            self.add_error(key, format!("cannot be {text}"));
        }
        value
    }

    fn add_error(&mut self, key: &str, reason: impl Into<String>) {
        self.errors.push(FieldError {
            field: key.into(),
            reason: reason.into(),
        });
    }

    /// Rejects remaining parameters, which are misspelt or duplicate: ignoring `dryrun=true` would
    /// turn a dry run into a write.
    fn finish<T>(mut self, parsed: T) -> Result<T, Problem> {
        for (key, _) in std::mem::take(&mut self.rest) {
            self.add_error(key, "no such parameter, or given twice");
        }
        if self.errors.is_empty() {
            return Ok(parsed);
        }
        let mut problem = Problem::new(ProblemReason::BadRequest, "bad parameters");
        problem.errors = self.errors;
        Err(problem)
    }
}
