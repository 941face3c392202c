//! Requests of the load and the check of their responses.

use {
    crate::args::LoadArgs,
    http::{Method, StatusCode},
    lynxwheel_transport::{Client, ClientRequest, ClientResponse, Step, TransportError},
    std::time::Duration,
};

/// Response header that states that the request did not run.
const DID_NOT_RUN_HEADER: &str = "lynxwheel-did-not-run";

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Complete response to this request.
    Answered,
    /// Refused with a header that states that it did not run.
    Refused,
    /// Error status without such a header: the request may have run.
    Unknown,
    /// Response to another request, or one with unexpected content.
    Wrong,
    /// Response body ended early.
    Truncated,
    /// The call failed before a response arrived.
    Failed,
}

/// Parameters from which the requests to a target are built.
#[derive(Clone, Debug)]
pub(crate) struct RequestTemplate {
    path_prefix: String,
    work_ms: u64,
    answer_bytes: usize,
    query: String,
    body: Vec<u8>,
    class: Option<String>,
    keyed_percent: u64,
    run_name: String,
}

impl RequestTemplate {
    /// Creates a template for requests to nodes.
    pub(crate) fn for_nodes(args: &LoadArgs, run_name: &str) -> Self {
        Self {
            path_prefix: format!("/{}", args.service),
            work_ms: args.work_ms,
            answer_bytes: args.answer_bytes,
            query: args.query.clone(),
            body: vec![b'b'; args.body_bytes],
            class: args.class.clone(),
            keyed_percent: u64::from(args.keyed_percent),
            run_name: format!("{run_name}-n"),
        }
    }

    /// Creates a template for the same requests to endpoints.
    pub(crate) fn for_endpoints(args: &LoadArgs, run_name: &str) -> Self {
        Self {
            path_prefix: String::new(),
            run_name: format!("{run_name}-d"),
            keyed_percent: 0,
            ..Self::for_nodes(args, run_name)
        }
    }

    /// Returns the id of request `number`.
    pub(crate) fn id(&self, number: u64) -> String {
        format!("{}-{number}", self.run_name)
    }

    /// Builds request `number`.
    pub(crate) fn request(&self, number: u64) -> ClientRequest {
        let path = format!(
            "{}/work?ms={}&size={}&{}",
            self.path_prefix, self.work_ms, self.answer_bytes, self.query
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

    /// Sends request `number` and checks its response.
    pub(crate) async fn send(&self, client: &Client, number: u64, timeout: Duration) -> Outcome {
        match client.call(&self.request(number), timeout).await {
            Ok(response) => self.check_response(number, &response),
            Err(error) => outcome_of_error(&error),
        }
    }

    fn check_response(&self, number: u64, response: &ClientResponse) -> Outcome {
        if response.header(DID_NOT_RUN_HEADER) == Some("true") {
            return Outcome::Refused;
        }
        if response.header("not-started").is_some() {
            return Outcome::Refused;
        }
        if response.status != StatusCode::OK {
            return Outcome::Unknown;
        }
        let line_start = format!("request={} vm=", self.id(number));
        let Some(line_end) = response.body.iter().position(|byte| *byte == b'\n') else {
            return Outcome::Wrong;
        };
        let line_suffix = format!(" bytes={}", self.body.len());
        let first_line = String::from_utf8_lossy(&response.body[..line_end]);
        let is_expected = first_line.starts_with(&line_start) && first_line.ends_with(&line_suffix);
        if is_expected && response.body.len() == line_end + 1 + self.answer_bytes {
            Outcome::Answered
        } else {
            Outcome::Wrong
        }
    }
}

fn outcome_of_error(error: &TransportError) -> Outcome {
    match error.step {
        Step::ReadBody => Outcome::Truncated,
        _ => Outcome::Failed,
    }
}
