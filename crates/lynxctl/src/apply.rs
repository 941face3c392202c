//! Comparison of declaration files with the fleet, and their application.

use {
    crate::{
        client::ApiClient,
        declarations::{Declaration, DeclarationError, field_texts},
        error::CtlError,
    },
    lynxwheel_protocol::{FieldError, Kind, ProblemReason, Resource, ResourceRef, ResourceView},
    std::fmt::Write,
};

/// Change of one resource.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanStep {
    /// Declaration.
    pub declaration: Declaration,
    /// Current revision of the resource; 0 when it does not exist.
    pub revision: u64,
    /// Changed fields.
    pub changes: Vec<FieldChange>,
}

/// Change of one field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// Path of the field.
    pub field: &'static str,
    /// Current value; `None` for a new resource.
    pub from: Option<String>,
    /// Value in the file.
    pub to: String,
}

/// Changes that apply the files to the fleet, in dependency order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Resources to declare.
    pub steps: Vec<PlanStep>,
    /// Number of resources that match the files already.
    pub unchanged: usize,
}

impl Plan {
    /// Returns the plan as text, with a line for each resource and each changed field.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for step in &self.steps {
            let verb = if step.revision == 0 { "new" } else { "change" };
            let _ = writeln!(text, "{verb:<7}{}", step.declaration.resource.reference());
            for change in &step.changes {
                let _ = match &change.from {
                    Some(from) => writeln!(text, "  {}: {from} -> {}", change.field, change.to),
                    None => writeln!(text, "  {}: {}", change.field, change.to),
                };
            }
        }
        let _ = write!(
            text,
            "{} to apply, {} unchanged",
            self.steps.len(),
            self.unchanged
        );
        text
    }
}

/// Compares declarations with the resources of the fleet, both sorted by reference.
#[must_use]
pub fn diff_declarations(declarations: &[Declaration], fleet: &[ResourceView]) -> Plan {
    let mut plan = Plan::default();
    for declaration in declarations {
        let reference = declaration.resource.reference();
        let row = fleet.binary_search_by(|view| view.resource.reference().cmp(&reference));
        let view = row.ok().map(|row| &fleet[row]);
        if view.is_some_and(|view| view.resource == declaration.resource) {
            plan.unchanged += 1;
            continue;
        }
        plan.steps.push(PlanStep {
            declaration: declaration.clone(),
            revision: view.map_or(0, |view| view.revision),
            changes: changes(view.map(|view| &view.resource), &declaration.resource),
        });
    }
    plan
}

fn changes(from: Option<&Resource>, to: &Resource) -> Vec<FieldChange> {
    let old = from.map(field_texts).unwrap_or_default();
    let value_of = |field| old.iter().find(|(known, _)| *known == field);
    field_texts(to)
        .into_iter()
        .map(|(field, to)| FieldChange {
            field,
            from: value_of(field).map(|(_, text)| text.clone()),
            to,
        })
        .filter(|change| change.from.as_ref() != Some(&change.to))
        .collect()
}

/// Compares declarations with the current fleet and validates every change without applying it.
///
/// # Errors
///
/// Fails when the fleet cannot be read, or with every error that the validation finds.
pub async fn build_plan(
    client: &ApiClient,
    declarations: &[Declaration],
) -> Result<Plan, CtlError> {
    let mut fleet = Vec::new();
    for kind in Kind::ALL {
        fleet.extend(client.list(kind).await?.items);
    }
    let plan = diff_declarations(declarations, &fleet);
    let mut errors = Vec::new();
    let is_in_fleet = |reference: &ResourceRef| {
        let row = fleet.binary_search_by(|view| view.resource.reference().cmp(reference));
        row.is_ok()
    };
    for step in &plan.steps {
        let dependencies = step.declaration.resource.dependencies();
        let missing = dependencies.iter().filter(|reference| {
            let row = declarations
                .binary_search_by(|declaration| declaration.resource.reference().cmp(reference));
            row.is_err() && !is_in_fleet(reference)
        });
        let missing =
            missing.map(|reference| step.declaration.error(&missing_error(step, reference)));
        let missing: Vec<_> = missing.collect();
        if missing.is_empty() && dependencies.iter().all(is_in_fleet) {
            errors.extend(dry_run_errors(client, step).await?);
        }
        errors.extend(missing);
    }
    if errors.is_empty() {
        Ok(plan)
    } else {
        Err(CtlError::Declarations(errors))
    }
}

fn missing_error(step: &PlanStep, reference: &ResourceRef) -> FieldError {
    FieldError {
        field: step
            .declaration
            .resource
            .dependency_field(reference.kind)
            .into(),
        reason: format!("{reference} is declared neither in the files nor in the fleet"),
    }
}

/// Returns the errors that a server finds in a dry run of a step whose dependencies exist.
async fn dry_run_errors(
    client: &ApiClient,
    step: &PlanStep,
) -> Result<Vec<DeclarationError>, CtlError> {
    let result = client
        .put(&step.declaration.resource, step.revision, true)
        .await;
    match result {
        Ok(_) => Ok(Vec::new()),
        Err(CtlError::Refused { problem, .. }) if problem.reason == ProblemReason::Invalid => {
            let errors = problem.errors.iter();
            Ok(errors.map(|error| step.declaration.error(error)).collect())
        }
        Err(CtlError::Refused { problem, .. }) if problem.reason == ProblemReason::Rejected => {
            let error = FieldError {
                field: String::new(),
                reason: problem.detail.to_string(),
            };
            Ok(vec![step.declaration.error(&error)])
        }
        Err(error) => Err(error),
    }
}

/// Applies a plan in order and reports each applied resource to `progress`.
///
/// # Errors
///
/// Stops at the first resource that fails, with the resources that were applied and those that
/// were not.
pub async fn apply_plan(
    client: &ApiClient,
    plan: &Plan,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<(), CtlError> {
    for (index, step) in plan.steps.iter().enumerate() {
        let resource = &step.declaration.resource;
        match client.put(resource, step.revision, false).await {
            Ok(response) => progress(&format!(
                "applied {} at revision {}",
                response.reference, response.revision
            )),
            Err(cause) => {
                let references = |steps: &[PlanStep]| {
                    let resources = steps.iter().map(|step| &step.declaration.resource);
                    resources.map(Resource::reference).collect()
                };
                return Err(CtlError::ApplyInterrupted {
                    applied: references(&plan.steps[..index]),
                    failed: resource.reference(),
                    not_applied: references(&plan.steps[index + 1..]),
                    cause: Box::new(cause),
                });
            }
        }
    }
    Ok(())
}
