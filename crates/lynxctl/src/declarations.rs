//! Declarations as operators keep them in version control: INI files.
//!
//! A section is a resource, `[KIND NAME]`, and its keys are the fields of the kind as the API
//! names them, such as `budget.min_available = 70%`. INI fits: a declaration is a flat list of a
//! dozen fields, and it is the format of the settings. Lists are separated by commas.

use {
    ini::{Ini, ParseOption, Properties},
    lynxwheel_protocol::{
        Field, FieldError, FieldType, Kind, Resource, check_name, fields, parse_spec,
    },
    serde_json::{Map, Value, json},
    std::{error, fmt, fs, path::Path},
};

/// Bytes of one file at most.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// Files of one directory at most.
pub const MAX_FILES: usize = 1_024;

/// Extension of files of declarations.
const EXTENSION: &str = "ini";

/// One mistake in the declarations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DeclarationError {
    /// File.
    pub file: String,
    /// Section; empty when the file as a whole is meant.
    pub section: String,
    /// Key; empty when the section as a whole is meant.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for DeclarationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        if !self.section.is_empty() {
            write!(formatter, ", section [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(formatter, ", key {}", self.key)?;
        }
        write!(formatter, ": {}", self.reason)
    }
}

impl error::Error for DeclarationError {}

/// A declared resource and where it stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Declaration {
    /// Resource.
    pub resource: Resource,
    /// File.
    pub file: String,
}

impl Declaration {
    /// Describes a mistake that only the fleet's state shows.
    #[must_use]
    pub fn error(&self, error: &FieldError) -> DeclarationError {
        let reference = self.resource.reference();
        DeclarationError {
            file: self.file.clone(),
            section: format!("{} {}", reference.kind, reference.name),
            key: error.field.clone(),
            reason: error.reason.clone(),
        }
    }
}

/// Reads a file, or every `.ini` file of a directory by name; sorted in dependency order.
///
/// # Errors
///
/// Returns every mistake found in any file.
pub fn load(path: &Path) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
    let whole = |reason: String| {
        vec![DeclarationError {
            file: path.display().to_string(),
            section: String::new(),
            key: String::new(),
            reason,
        }]
    };
    let files = files_of(path).map_err(|error| whole(error.to_string()))?;
    if files.is_empty() {
        return Err(whole("holds no .ini file".into()));
    }
    if files.len() > MAX_FILES {
        return Err(whole(format!("holds more than {MAX_FILES} files")));
    }
    let mut reader = Reader::default();
    for file in &files {
        reader.read_file(file);
    }
    reader.finish()
}

/// Reads declarations from a text; `file` is named in errors.
///
/// # Errors
///
/// Returns every mistake found.
pub fn parse(file: &str, text: &str) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
    let mut reader = Reader::default();
    reader.read_text(file, text);
    reader.finish()
}

fn files_of(path: &Path) -> std::io::Result<Vec<std::path::PathBuf>> {
    if !fs::metadata(path)?.is_dir() {
        return Ok(vec![path.into()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == EXTENSION)
        {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Declarations and mistakes so far.
#[derive(Default)]
struct Reader {
    declarations: Vec<Declaration>,
    errors: Vec<DeclarationError>,
}

impl Reader {
    fn read_file(&mut self, path: &Path) {
        let file = path.display().to_string();
        match read_bounded(path) {
            Ok(text) => self.read_text(&file, &text),
            Err(reason) => self.bad(&file, "", "", reason),
        }
    }

    fn read_text(&mut self, file: &str, text: &str) {
        // Backslashes and quotes are kept, so that a text means what it shows.
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => ini,
            Err(error) => return self.bad(file, "", "", error.to_string()),
        };
        for (section, properties) in &ini {
            match section {
                Some(section) => self.read_section(file, section, properties),
                None if properties.is_empty() => {}
                None => self.bad(file, "", "", "keys stand before the first section"),
            }
        }
    }

    fn read_section(&mut self, file: &str, section: &str, properties: &Properties) {
        let (kind, name) = match resource_of(section) {
            Ok(found) => found,
            Err(reason) => return self.bad(file, section, "", reason),
        };
        let mut is_good = true;
        let mut spec = Map::new();
        let mut seen: Vec<&str> = Vec::new();
        for (key, text) in properties {
            if seen.contains(&key) {
                self.bad(file, section, key, "is given twice");
                is_good = false;
            }
            seen.push(key);
            if let Some(field) = field_of(kind, key) {
                put_in(&mut spec, key, json_of(field.field_type, text));
            } else {
                self.bad(file, section, key, "no such key");
                is_good = false;
            }
        }
        match parse_spec(kind, name, &Value::Object(spec)) {
            Ok(resource) if is_good => self.add(file, section, resource),
            Ok(_) => {}
            Err(errors) => {
                for error in errors {
                    self.bad(file, section, &error.field, error.reason);
                }
            }
        }
    }

    fn add(&mut self, file: &str, section: &str, resource: Resource) {
        let reference = resource.reference();
        let row = self
            .declarations
            .binary_search_by_key(&reference, |known| known.resource.reference());
        match row {
            Ok(row) => {
                let reason = format!("is declared in {} too", self.declarations[row].file);
                self.bad(file, section, "", reason);
            }
            Err(row) => self.declarations.insert(
                row,
                Declaration {
                    resource,
                    file: file.into(),
                },
            ),
        }
    }

    fn bad(&mut self, file: &str, section: &str, key: &str, reason: impl Into<String>) {
        self.errors.push(DeclarationError {
            file: file.into(),
            section: section.into(),
            key: key.into(),
            reason: reason.into(),
        });
    }

    fn finish(self) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
        if self.errors.is_empty() {
            Ok(self.declarations)
        } else {
            Err(self.errors)
        }
    }
}

fn read_bounded(path: &Path) -> Result<String, String> {
    let size_bytes = fs::metadata(path).map_err(|error| error.to_string())?.len();
    if size_bytes > MAX_FILE_BYTES {
        return Err(format!("has more than {MAX_FILE_BYTES} bytes"));
    }
    fs::read_to_string(path).map_err(|error| error.to_string())
}

fn resource_of(section: &str) -> Result<(Kind, &str), String> {
    let (kind, name) = section
        .split_once(' ')
        .ok_or("a section is [KIND NAME], such as [pool notices]")?;
    let kinds: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    let kind = Kind::from_text(kind.trim())
        .ok_or_else(|| format!("the kind must be one of {}", kinds.join(", ")))?;
    let name = name.trim();
    check_name(name).map_err(|reason| format!("the name {reason}"))?;
    Ok((kind, name))
}

/// Finds a field by its key; the name stands in the section.
fn field_of(kind: Kind, key: &str) -> Option<&'static Field> {
    fields(kind)
        .iter()
        .find(|field| field.path == key && key != "name")
}

fn put_in(spec: &mut Map<String, Value>, path: &str, value: Value) {
    match path.split_once('.') {
        Some((group, key)) => {
            let group = spec.entry(group).or_insert_with(|| json!({}));
            group[key] = value;
        }
        None => drop(spec.insert(path.into(), value)),
    }
}

/// Returns the JSON of a text; a text that does not fit stays a text, which validation refuses.
fn json_of(field_type: FieldType, text: &str) -> Value {
    let text = text.trim();
    let number = |text: &str| text.trim().parse::<u64>().ok();
    match field_type {
        FieldType::Name | FieldType::Choice(_) => json!(text),
        FieldType::Names => {
            let mut names: Vec<&str> = text.split(',').map(str::trim).collect();
            names.sort_unstable();
            json!(names)
        }
        FieldType::Count | FieldType::Milliseconds => {
            number(text).map_or_else(|| json!(text), |number| json!(number))
        }
        FieldType::Flag => text
            .parse::<bool>()
            .map_or_else(|_| json!(text), |flag| json!(flag)),
        FieldType::Amount => {
            let (key, digits) = match text.strip_suffix('%') {
                Some(digits) => ("percent", digits),
                None => ("count", text),
            };
            number(digits).map_or_else(|| json!(text), |number| json!({ key: number }))
        }
    }
}

/// Returns the text of a field's value, as a file would give it.
#[must_use]
pub fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(format_value).collect();
            items.join(", ")
        }
        Value::Object(members) => match members.iter().next() {
            Some((key, number)) if key == "percent" => format!("{number}%"),
            Some((_, number)) => number.to_string(),
            None => String::new(),
        },
        other => other.to_string(),
    }
}

/// Returns the fields of a resource with their values as text, without the name.
#[must_use]
pub fn field_texts(resource: &Resource) -> Vec<(&'static str, String)> {
    let document = json!(resource);
    fields(resource.kind())
        .iter()
        .filter(|field| field.path != "name")
        .map(|field| {
            let mut value = &document["spec"];
            for key in field.path.split('.') {
                value = &value[key];
            }
            (field.path, format_value(value))
        })
        .collect()
}
