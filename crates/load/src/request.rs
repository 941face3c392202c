//! One request and the check of its answer.

use {
    crate::args::LoadArgs,
    http::{Method, StatusCode},
    lynxwheel_transport::{Answer, Client, ClientRequest, Step, TransportError},
    std::time::Duration,
};

/// Header by which a node says that a request did not run.
const DID_NOT_RUN_HEADER: &str = "lynxwheel-did-not-run";

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The whole answer to this request.
    Answered,
    /// Refused with the word that it did not run.
    Refused,
    /// Refused, or given up on, without that word.
    Unknown,
    /// Another request's answer, or one that no endpoint gives.
    Wrong,
    /// The answer broke off after its head.
    Cut,
    /// The connection failed before an answer.
    Failed,
}

/// Requests of one kind.
#[derive(Clone, Debug)]
pub(crate) struct RequestTemplate {
    prefix: String,
    work_ms: u64,
    answer_bytes: usize,
    query: String,
    body: Vec<u8>,
    class: Option<String>,
    keyed_percent: u64,
    run: String,
}

impl RequestTemplate {
    /// Shapes requests to nodes.
    pub(crate) fn to_nodes(args: &LoadArgs, run: &str) -> Self {
        Self {
            prefix: format!("/{}", args.service),
            work_ms: args.work_ms,
            answer_bytes: args.answer_bytes,
            query: args.query.clone(),
            body: vec![b'b'; args.body_bytes],
            class: args.class.clone(),
            keyed_percent: u64::from(args.keyed_percent),
            run: format!("{run}-n"),
        }
    }

    /// Shapes the same requests to endpoints.
    pub(crate) fn to_endpoints(args: &LoadArgs, run: &str) -> Self {
        Self {
            prefix: String::new(),
            run: format!("{run}-d"),
            keyed_percent: 0,
            ..Self::to_nodes(args, run)
        }
    }

    /// Returns the id of request `number`.
    pub(crate) fn id(&self, number: u64) -> String {
        format!("{}-{number}", self.run)
    }

    /// Builds request `number`.
    pub(crate) fn request(&self, number: u64) -> ClientRequest {
        let path = format!(
            "{}/work?ms={}&size={}&{}",
            self.prefix, self.work_ms, self.answer_bytes, self.query
        );
        let is_keyed = number % 100 < self.keyed_percent;
        let method = if is_keyed || !self.body.is_empty() {
            Method::POST
        } else {
            Method::GET
        };
        let id = self.id(number);
        let mut request = ClientRequest::new(method, path)
            .with_header("x-request-id", &id)
            .with_body(self.body.clone());
        if is_keyed {
            request = request.with_header("idempotency-key", &id);
        }
        if let Some(class) = &self.class {
            request = request.with_header("lynxwheel-class", class);
        }
        request
    }

    /// Sends request `number` and checks its answer.
    pub(crate) async fn send(&self, client: &Client, number: u64, limit: Duration) -> Outcome {
        match client.call(&self.request(number), limit).await {
            Ok(answer) => self.check(number, &answer),
            Err(error) => outcome_of_error(&error),
        }
    }

    fn check(&self, number: u64, answer: &Answer) -> Outcome {
        if answer.header(DID_NOT_RUN_HEADER) == Some("true") {
            return Outcome::Refused;
        }
        if answer.header("not-started").is_some() {
            return Outcome::Refused;
        }
        if answer.status != StatusCode::OK {
            return Outcome::Unknown;
        }
        let first = format!("request={} vm=", self.id(number));
        let Some(end) = answer.body.iter().position(|byte| *byte == b'\n') else {
            return Outcome::Wrong;
        };
        let body_bytes = format!(" bytes={}", self.body.len());
        let head = String::from_utf8_lossy(&answer.body[..end]);
        let is_own = head.starts_with(&first) && head.ends_with(&body_bytes);
        if is_own && answer.body.len() == end + 1 + self.answer_bytes {
            Outcome::Answered
        } else {
            Outcome::Wrong
        }
    }
}

fn outcome_of_error(error: &TransportError) -> Outcome {
    match error.step {
        Step::ReadBody => Outcome::Cut,
        _ => Outcome::Failed,
    }
}
