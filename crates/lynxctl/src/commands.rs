//! Execution of the commands.

use {
    crate::{
        apply::{apply_plan, build_plan},
        changes,
        cli::{Cli, Command, Connection, LocalCommand, Output, RemoteCommand, WaveCommand},
        client::ApiClient,
        declarations::load,
        error::CtlError,
        output, watch,
    },
    clap::CommandFactory,
    lynxwheel_protocol::{Problem, ProblemReason, ResourceRef, ResourceView, WaveGoal},
    serde::Serialize,
    std::{env, fs, time::Duration},
};

/// Environment variable with the access token.
pub const TOKEN_VARIABLE: &str = "LYNXCTL_TOKEN";

/// Executes a command and returns its output; `progress` receives messages in the meantime.
///
/// # Errors
///
/// Fails when the command cannot be executed, or a resource is not in the requested state.
pub async fn run(cli: &Cli, progress: &(dyn Fn(&str) + Sync)) -> Result<String, CtlError> {
    let command = match &cli.command {
        Command::Remote(command) => command,
        Command::Local(LocalCommand::Completions { shell }) => return Ok(completions(*shell)),
        Command::Local(_) => return Ok(String::new()),
    };
    let client = connect(&cli.connection)?;
    let result = run_remote(&client, cli, command, progress).await;
    if client.has_seen_stale_node() {
        progress("a node that answered does not know that it is current; it may show the past");
    }
    result
}

async fn run_remote(
    client: &ApiClient,
    cli: &Cli,
    command: &RemoteCommand,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<String, CtlError> {
    match command {
        RemoteCommand::Apply(args) => {
            let declarations = load(&args.path).map_err(CtlError::Declarations)?;
            let plan = build_plan(client, &declarations).await?;
            apply_plan(client, &plan, progress).await?;
            Ok(format!(
                "{} applied, {} unchanged",
                plan.steps.len(),
                plan.unchanged
            ))
        }
        RemoteCommand::Diff(args) => {
            let declarations = load(&args.path).map_err(CtlError::Declarations)?;
            let plan = build_plan(client, &declarations).await?;
            let text = plan.to_text();
            if plan.steps.is_empty() {
                Ok(text)
            } else {
                Err(CtlError::Differs { text })
            }
        }
        RemoteCommand::Get { kind, name: None } => {
            let list = client.list(*kind).await?;
            Ok(show(cli, &list, || output::format_list(&list.items)))
        }
        RemoteCommand::Get {
            kind,
            name: Some(name),
        } => {
            let view = get_declared(client, &ResourceRef::new(*kind, name)).await?;
            Ok(show(cli, &view, || {
                output::format_list(std::slice::from_ref(&view))
            }))
        }
        RemoteCommand::Describe(args) => {
            let view = get_declared(client, &args.reference()).await?;
            Ok(show(cli, &view, || output::format_resource(&view)))
        }
        RemoteCommand::Explain(args) => {
            let view = get_declared(client, &args.reference()).await?;
            let explained = client.explain(&args.reference()).await?;
            Ok(show(cli, &explained, || {
                format!(
                    "{}\n\n{}",
                    explained.explanation,
                    output::format_conditions(&view)
                )
            }))
        }
        RemoteCommand::Watch {
            resource,
            until_ready,
            timeout_s,
        } => {
            let timeout = Duration::from_secs(*timeout_s);
            watch::watch_resource(
                client,
                &resource.reference(),
                *until_ready,
                timeout,
                progress,
            )
            .await
        }
        RemoteCommand::Delete(args) => {
            let response = client.delete(&args.reference()).await?;
            Ok(format!(
                "{} withdrawn at revision {}",
                response.reference, response.revision
            ))
        }
        RemoteCommand::Wave(command) => run_wave_command(client, command).await,
        RemoteCommand::Move { vm, pool, wait_s } => {
            changes::move_vm(client, vm, pool, *wait_s, progress).await
        }
        RemoteCommand::Drain { vm, into, wait_s } => {
            changes::check_unused(client, into).await?;
            changes::move_vm(client, vm, into, *wait_s, progress).await
        }
        RemoteCommand::Operation { id: None } => {
            let list = client.operations().await?;
            Ok(show(cli, &list, || output::format_operations(&list.items)))
        }
        RemoteCommand::Operation { id: Some(id) } => {
            let view = client.operation(*id).await?;
            Ok(show(cli, &view, || output::format_operation(&view)))
        }
    }
}

async fn run_wave_command(client: &ApiClient, command: &WaveCommand) -> Result<String, CtlError> {
    match command {
        WaveCommand::Start {
            wave,
            pools,
            due_before_ms,
        } => changes::start_wave(client, wave, pools, *due_before_ms).await,
        WaveCommand::Pause { wave } => changes::set_goal(client, wave, WaveGoal::Pause).await,
        WaveCommand::Resume { wave } => changes::set_goal(client, wave, WaveGoal::Run).await,
        WaveCommand::Abort { wave } => changes::set_goal(client, wave, WaveGoal::Abort).await,
    }
}

fn connect(connection: &Connection) -> Result<ApiClient, CtlError> {
    let token = match &connection.token_file {
        Some(file) => {
            let text = fs::read_to_string(file).map_err(|error| CtlError::InvalidSetup {
                reason: format!("{}: {error}", file.display()),
            })?;
            Some(text.trim().to_owned())
        }
        None => env::var(TOKEN_VARIABLE).ok(),
    };
    Ok(ApiClient::new(&connection.servers).with_token(token))
}

/// Returns a resource, or an error when it is not declared.
pub(crate) async fn get_declared(
    client: &ApiClient,
    reference: &ResourceRef,
) -> Result<ResourceView, CtlError> {
    client
        .get(reference)
        .await?
        .ok_or_else(|| CtlError::Refused {
            action: "get".into(),
            problem: Box::new(Problem::new(
                ProblemReason::NotFound,
                format!("{reference} is not declared"),
            )),
        })
}

/// Formats a value as a table or as JSON, as the command line asks for.
fn show<T: Serialize>(cli: &Cli, value: &T, table: impl FnOnce() -> String) -> String {
    match cli.output {
        Output::Table => table(),
        Output::Json => {
            serde_json::to_string_pretty(value).unwrap_or_else(|error| error.to_string())
        }
    }
}

fn completions(shell: clap_complete::Shell) -> String {
    let mut bytes = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "lynxctl", &mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
