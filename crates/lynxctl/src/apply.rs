//! Bringing the fleet's declarations to those of the files.

use {
    crate::{
        client::ApiClient,
        declarations::{Declaration, DeclarationError, field_texts},
        error::CtlError,
    },
    lynxwheel_protocol::{FieldError, Kind, ProblemReason, Resource, ResourceRef, ResourceView},
    std::fmt::Write,
};

/// What is to be done with one resource.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlanStep {
    /// Declaration.
    pub declaration: Declaration,
    /// Revision seen; 0 when it does not exist.
    pub revision: u64,
    /// Fields that change.
    pub changes: Vec<FieldChange>,
}

/// Change of one field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// Field.
    pub field: &'static str,
    /// Value in force; nothing for a new resource.
    pub from: Option<String>,
    /// Value in the file.
    pub to: String,
}

/// What is to be done, in dependency order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Resources to declare.
    pub steps: Vec<PlanStep>,
    /// Number of resources that are as the files say.
    pub unchanged: usize,
}

impl Plan {
    /// Returns the plan as text, one line for a resource and one for each field.
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

/// Compares files with the fleet; both sorted by reference.
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

/// Makes the plan against the fleet as it is now, and checks all of it before anything is sent.
///
/// # Errors
///
/// Fails with every mistake that the fleet's state shows.
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
    let is_in = |reference: &ResourceRef| {
        let row = fleet.binary_search_by(|view| view.resource.reference().cmp(reference));
        row.is_ok()
    };
    for step in &plan.steps {
        let needs = step.declaration.resource.dependencies();
        let missing = needs.iter().filter(|need| {
            let row = declarations.binary_search_by(|own| own.resource.reference().cmp(need));
            row.is_err() && !is_in(need)
        });
        let missing = missing.map(|need| step.declaration.error(&missing_error(step, need)));
        let missing: Vec<_> = missing.collect();
        if missing.is_empty() && needs.iter().all(is_in) {
            errors.extend(trial_errors(client, step).await?);
        }
        errors.extend(missing);
    }
    if errors.is_empty() {
        Ok(plan)
    } else {
        Err(CtlError::Declarations(errors))
    }
}

fn missing_error(step: &PlanStep, need: &ResourceRef) -> FieldError {
    FieldError {
        field: step.declaration.resource.dependency_field(need.kind).into(),
        reason: format!("{need} is declared neither in the files nor in the fleet"),
    }
}

/// Asks a server whether it would take a step; what it needs exists already.
async fn trial_errors(
    client: &ApiClient,
    step: &PlanStep,
) -> Result<Vec<DeclarationError>, CtlError> {
    let trial = client
        .put(&step.declaration.resource, step.revision, true)
        .await;
    match trial {
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

/// Carries a plan out; `progress` is told of each resource.
///
/// # Errors
///
/// Stops at the first resource that is not taken, and says what was applied and what not.
pub async fn apply_plan(
    client: &ApiClient,
    plan: &Plan,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<(), CtlError> {
    for (row, step) in plan.steps.iter().enumerate() {
        let resource = &step.declaration.resource;
        match client.put(resource, step.revision, false).await {
            Ok(answer) => progress(&format!(
                "applied {} at revision {}",
                answer.reference, answer.revision
            )),
            Err(cause) => {
                let references = |steps: &[PlanStep]| {
                    let resources = steps.iter().map(|step| &step.declaration.resource);
                    resources.map(Resource::reference).collect()
                };
                return Err(CtlError::ApplyInterrupted {
                    applied: references(&plan.steps[..row]),
                    failed: resource.reference(),
                    not_applied: references(&plan.steps[row + 1..]),
                    cause: Box::new(cause),
                });
            }
        }
    }
    Ok(())
}
