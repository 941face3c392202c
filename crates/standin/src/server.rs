//! HTTP server of the platform.

use {
    crate::{
        endpoint::{self, RunEntry},
        faults::Faults,
        platform::{Platform, VmTemplate},
    },
    http::{Method, Request, Response, StatusCode},
    http_body_util::BodyExt,
    lynxwheel_protocol::{ActionRequest, AppendRequest, AppendResponse, TaskStart, decode_message},
    lynxwheel_transport::{
        Body, RequestBody, Server, Shutdown, collect_body, error_response, json_response,
        message_response,
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::Notify,
};

/// Request header with the id that a caller gives its request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Interval at which due restarts and task ends take effect.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of entries in the response to one read.
const MAX_READ_ENTRIES: usize = 4_096;

/// State shared by the tasks of the platform and its endpoints.
#[derive(Debug)]
pub(crate) struct Shared {
    platform: Mutex<Platform>,
    runs: Mutex<Vec<RunEntry>>,
    entries_appended: Notify,
    append_count: Mutex<AppendCount>,
}

/// Number of appends in the current second.
#[derive(Debug, Default)]
struct AppendCount {
    second: u64,
    appends: u32,
}

impl Shared {
    pub(crate) fn platform(&self) -> MutexGuard<'_, Platform> {
        self.platform.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_run(&self, run: RunEntry) -> usize {
        let mut runs = self.runs();
        runs.push(run);
        runs.len() - 1
    }

    pub(crate) fn complete(&self, index: usize) {
        if let Some(run) = self.runs().get_mut(index) {
            run.is_complete = true;
        }
    }

    fn runs(&self) -> MutexGuard<'_, Vec<RunEntry>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an append; returns whether it is within `limit` appends per second.
    fn try_count_append(&self, limit: u32) -> bool {
        let mut append_count = self
            .append_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let second = now_ms() / 1_000;
        if append_count.second != second {
            *append_count = AppendCount { second, appends: 0 };
        }
        append_count.appends += 1;
        limit == 0 || append_count.appends <= limit
    }
}

/// A running platform with the endpoints of its VMs.
#[derive(Debug)]
pub struct PlatformServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    shutdown: Shutdown,
}

impl PlatformServer {
    /// Starts a platform on `address`, and an endpoint on a free port for each VM.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        templates: &[VmTemplate],
        reboot_ms: u64,
    ) -> io::Result<Self> {
        let server = Server::bind(address).await?;
        let address = server.local_addr()?;
        let shared = Arc::new(Shared {
            platform: Mutex::new(Platform::new(reboot_ms)),
            runs: Mutex::new(Vec::new()),
            entries_appended: Notify::new(),
            append_count: Mutex::new(AppendCount::default()),
        });
        let shutdown = Shutdown::new();
        for template in templates {
            start_endpoint(&shared, template, address, &shutdown).await?;
        }
        let handler = |shared, request| handle(request, shared);
        tokio::spawn(server.serve_with(shutdown.clone(), Arc::clone(&shared), handler));
        tokio::spawn(tick(Arc::clone(&shared), shutdown.clone()));
        Ok(Self {
            shared,
            address,
            shutdown,
        })
    }

    /// Returns the address of the platform.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls `access` with the locked state of the platform and returns its result.
    pub fn with_platform<T>(&self, access: impl FnOnce(&mut Platform) -> T) -> T {
        access(&mut self.shared.platform())
    }

    /// Returns the requests that the endpoints ran, in the order of their starts.
    #[must_use]
    pub fn runs(&self) -> Vec<RunEntry> {
        self.shared.runs().clone()
    }

    /// Stops the platform and its endpoints.
    pub fn stop(&self) {
        self.shutdown.begin();
    }
}

async fn start_endpoint(
    shared: &Arc<Shared>,
    template: &VmTemplate,
    platform: SocketAddr,
    shutdown: &Shutdown,
) -> io::Result<()> {
    let server = Server::bind(SocketAddr::new(platform.ip(), 0)).await?;
    let address = server.local_addr()?.to_string();
    shared.platform().add_machine(template, address);
    let vm = template.name.clone();
    let slots = template.slots;
    tokio::spawn(endpoint::serve(
        server,
        Arc::clone(shared),
        vm,
        slots,
        shutdown.clone(),
    ));
    Ok(())
}

async fn tick(shared: Arc<Shared>, shutdown: Shutdown) {
    while !shutdown.has_begun() {
        tokio::time::sleep(TICK_INTERVAL).await;
        shared.platform().tick(now_ms());
    }
}

async fn handle(request: Request<RequestBody>, shared: Arc<Shared>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["streams", name]) => read(&shared, name, &query).await,
        (&Method::POST, ["streams", name]) => append(&shared, name, request).await,
        (&Method::POST, ["streams", name, "trim"]) => {
            let before = query_number(&query, "before").unwrap_or(0);
            shared.platform().log.trim(name, before);
            json_response(StatusCode::OK, &before)
        }
        (&Method::GET, ["vms"]) => message_response(&shared.platform().vm_list(now_ms())),
        (&Method::POST, ["vms", name, "actions"]) => perform_action(&shared, name, request).await,
        (&Method::POST, ["vms", name, "tasks"]) => start_task(&shared, name, request).await,
        (&Method::POST, ["vms", name, "tasks", job, "stop"]) => {
            let attempt = query_number(&query, "attempt").unwrap_or(0);
            stop_task(&shared, name, job, u32::try_from(attempt).unwrap_or(0))
        }
        (&Method::GET, ["vms", name, "tasks"]) => list_tasks(&shared, name),
        (&Method::POST, ["vms", name, "leave"]) => announce_leave(&shared, name),
        (&Method::POST, ["vms", name, "fail"]) => stop_vm(&shared, name, &query),
        (&Method::GET, ["runs"]) => json_response(StatusCode::OK, &*shared.runs()),
        (&Method::PUT, ["faults"]) => set_faults(&shared, request).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn read(shared: &Shared, name: &str, query: &str) -> Response<Body> {
    let from = query_number(query, "from").unwrap_or(1);
    let max = query_number(query, "max").map_or(MAX_READ_ENTRIES, |max| {
        usize::try_from(max)
            .unwrap_or(MAX_READ_ENTRIES)
            .min(MAX_READ_ENTRIES)
    });
    let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0).min(30_000));
    let until = tokio::time::Instant::now() + wait;
    loop {
        let entries_appended = shared.entries_appended.notified();
        tokio::pin!(entries_appended);
        entries_appended.as_mut().enable();
        if let Some(response) = injected_fault(shared).await {
            return response;
        }
        let response = shared.platform().log.read(name, from, max);
        let has_entries = !response.entries.is_empty() || from < response.earliest_offset;
        if has_entries
            || tokio::time::timeout_at(until, entries_appended)
                .await
                .is_err()
        {
            return message_response(&response);
        }
    }
}

async fn injected_fault(shared: &Shared) -> Option<Response<Body>> {
    let (is_down, slow_ms) = {
        let platform = shared.platform();
        (platform.faults.log_down, platform.faults.log_slow_ms)
    };
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    is_down.then(|| error_response(StatusCode::SERVICE_UNAVAILABLE, "the log service is down"))
}

async fn append(shared: &Arc<Shared>, name: &str, request: Request<RequestBody>) -> Response<Body> {
    if let Some(response) = injected_fault(shared).await {
        return response;
    }
    let bytes = match collect_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let Ok(message) = decode_message::<AppendRequest>(&bytes) else {
        return error_response(StatusCode::BAD_REQUEST, "malformed append request");
    };
    let limit = shared.platform().faults.appends_per_s;
    if !shared.try_count_append(limit) {
        return error_response(StatusCode::TOO_MANY_REQUESTS, "too many appends");
    }
    let late_ms = {
        let faults = &mut shared.platform().faults;
        let is_late = faults.late_appends > 0;
        faults.late_appends = faults.late_appends.saturating_sub(1);
        is_late.then_some(faults.late_ms)
    };
    if let Some(late_ms) = late_ms {
        tokio::spawn(append_late(
            Arc::clone(shared),
            name.to_owned(),
            message,
            late_ms,
        ));
        return error_response(StatusCode::GATEWAY_TIMEOUT, "no response in time");
    }
    let first_offset = shared.platform().log.append(name, message.entries);
    shared.entries_appended.notify_waiters();
    let is_lost = {
        let faults = &mut shared.platform().faults;
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    };
    if is_lost {
        return error_response(StatusCode::GATEWAY_TIMEOUT, "no response in time");
    }
    message_response(&AppendResponse { first_offset })
}

async fn append_late(shared: Arc<Shared>, name: String, message: AppendRequest, late_ms: u64) {
    tokio::time::sleep(Duration::from_millis(late_ms)).await;
    shared.platform().log.append(&name, message.entries);
    shared.entries_appended.notify_waiters();
}

async fn perform_action(
    shared: &Shared,
    name: &str,
    request: Request<RequestBody>,
) -> Response<Body> {
    let action: ActionRequest = match decode_body(request).await {
        Ok(action) => action,
        Err(response) => return response,
    };
    let mut platform = shared.platform();
    let reboot_ms = platform.reboot_ms;
    match platform.machine_mut(name) {
        None => error_response(StatusCode::NOT_FOUND, "no such VM"),
        Some(machine) => match machine.perform_action(&action, now_ms(), reboot_ms) {
            Ok(()) => message_response(&true),
            Err(reason) => error_response(StatusCode::CONFLICT, &reason),
        },
    }
}

async fn start_task(shared: &Shared, name: &str, request: Request<RequestBody>) -> Response<Body> {
    let start: TaskStart = match decode_body(request).await {
        Ok(start) => start,
        Err(response) => return response,
    };
    let mut platform = shared.platform();
    let fails = platform.has_failing_tasks(name);
    match platform.machine_mut(name) {
        None => error_response(StatusCode::NOT_FOUND, "no such VM"),
        // The worker is unreachable, which is not a rejection by the worker.
        Some(machine) if !machine.is_up => error_response(StatusCode::BAD_GATEWAY, "down"),
        Some(machine) => match machine.start_task(&start, now_ms(), fails) {
            Ok(()) => message_response(&true),
            Err(reason) => error_response(StatusCode::CONFLICT, &reason),
        },
    }
}

fn stop_task(shared: &Shared, name: &str, job: &str, attempt: u32) -> Response<Body> {
    match shared.platform().machine_mut(name) {
        None => error_response(StatusCode::NOT_FOUND, "no such VM"),
        Some(machine) => {
            machine.stop_task(job, attempt);
            message_response(&true)
        }
    }
}

fn list_tasks(shared: &Shared, name: &str) -> Response<Body> {
    match shared.platform().machine(name) {
        Some(machine) if machine.is_up => message_response(&machine.task_reports()),
        _ => error_response(StatusCode::BAD_GATEWAY, "down"),
    }
}

fn announce_leave(shared: &Shared, name: &str) -> Response<Body> {
    match shared.platform().machine_mut(name) {
        None => error_response(StatusCode::NOT_FOUND, "no such VM"),
        Some(machine) => {
            machine.is_leaving = true;
            json_response(StatusCode::OK, &true)
        }
    }
}

fn stop_vm(shared: &Shared, name: &str, query: &str) -> Response<Body> {
    let down_ms = query_number(query, "down_ms").unwrap_or(u64::MAX / 4);
    match shared.platform().machine_mut(name) {
        None => error_response(StatusCode::NOT_FOUND, "no such VM"),
        Some(machine) => {
            machine.shut_down(now_ms() + down_ms);
            json_response(StatusCode::OK, &true)
        }
    }
}

async fn set_faults(shared: &Shared, request: Request<RequestBody>) -> Response<Body> {
    let bytes = match collect_body(request.into_body(), MAX_BODY_BYTES).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    match serde_json::from_slice::<Faults>(&bytes) {
        Ok(faults) => {
            shared.platform().faults = faults;
            json_response(StatusCode::OK, &true)
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn decode_body<T: serde::de::DeserializeOwned>(
    request: Request<RequestBody>,
) -> Result<T, Response<Body>> {
    let bytes = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            return Err(error_response(
                StatusCode::BAD_REQUEST,
                "the body broke off",
            ));
        }
    };
    decode_message(&bytes)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Returns the value of a numeric query parameter.
pub(crate) fn query_number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Returns the current time, in milliseconds since the epoch.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
