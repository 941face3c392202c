//! Declaration files, in INI format.
//!
//! A section `[KIND NAME]` declares a resource. Its keys are the API's field paths of that kind,
//! such as `budget.min_available = 70%`; lists are separated by commas.

use {
    ini::{Ini, ParseOption, Properties},
    lynxwheel_protocol::{
        Field, FieldError, FieldType, Kind, Resource, check_name, fields, parse_spec,
    },
    serde_json::{Map, Value, json},
    std::{error, fmt, fs, path::Path},
};

/// Maximum size of one file, in bytes.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// Maximum number of files in a directory.
pub const MAX_FILES: usize = 1_024;

/// File extension of declaration files.
const EXTENSION: &str = "ini";

/// One error in the declarations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DeclarationError {
    /// File.
    pub file: String,
    /// Section; empty when the error concerns the whole file.
    pub section: String,
    /// Key; empty when the error concerns the whole section.
    pub key: String,
    /// Reason.
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

/// A declared resource and its file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Declaration {
    /// Resource.
    pub resource: Resource,
    /// File.
    pub file: String,
}

impl Declaration {
    /// Returns an error of this declaration that was found by a check against the fleet.
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

/// Loads a file, or every `.ini` file of a directory, sorted in dependency order.
///
/// # Errors
///
/// Returns every error found in any file.
pub fn load(path: &Path) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
    let path_error = |reason: String| {
        vec![DeclarationError {
            file: path.display().to_string(),
            section: String::new(),
            key: String::new(),
            reason,
        }]
    };
    let files = list_files(path).map_err(|error| path_error(error.to_string()))?;
    if files.is_empty() {
        return Err(path_error("holds no .ini file".into()));
    }
    if files.len() > MAX_FILES {
        return Err(path_error(format!("holds more than {MAX_FILES} files")));
    }
    let mut reader = Reader::default();
    for file in &files {
        reader.read_file(file);
    }
    reader.finish()
}

/// Parses declarations; `file` is the name that errors show.
///
/// # Errors
///
/// Returns every error found.
pub fn parse(file: &str, text: &str) -> Result<Vec<Declaration>, Vec<DeclarationError>> {
    let mut reader = Reader::default();
    reader.read_text(file, text);
    reader.finish()
}

/// Returns the file itself, or the declaration files of a directory sorted by name.
fn list_files(path: &Path) -> std::io::Result<Vec<std::path::PathBuf>> {
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

/// Declarations and errors found so far.
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
            Err(reason) => self.add_error(&file, "", "", reason),
        }
    }

    fn read_text(&mut self, file: &str, text: &str) {
        // Backslashes and quotes are literal.
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, option) {
            Ok(ini) => ini,
            Err(error) => return self.add_error(file, "", "", error.to_string()),
        };
        for (section, properties) in &ini {
            match section {
                Some(section) => self.read_section(file, section, properties),
                None if properties.is_empty() => {}
                None => self.add_error(file, "", "", "keys stand before the first section"),
            }
        }
    }

    fn read_section(&mut self, file: &str, section: &str, properties: &Properties) {
        let (kind, name) = match parse_section(section) {
            Ok(parsed) => parsed,
            Err(reason) => return self.add_error(file, section, "", reason),
        };
        let mut is_valid = true;
        let mut spec = Map::new();
        let mut seen: Vec<&str> = Vec::new();
        for (key, text) in properties {
            if seen.contains(&key) {
                self.add_error(file, section, key, "is given twice");
                is_valid = false;
            }
            seen.push(key);
            if let Some(field) = find_field(kind, key) {
                insert_value(&mut spec, key, to_json(field.field_type, text));
            } else {
                self.add_error(file, section, key, "no such key");
                is_valid = false;
            }
        }
        match parse_spec(kind, name, &Value::Object(spec)) {
            Ok(resource) if is_valid => self.add(file, section, resource),
            Ok(_) => {}
            Err(errors) => {
                for error in errors {
                    self.add_error(file, section, &error.field, error.reason);
                }
            }
        }
    }

    fn add(&mut self, file: &str, section: &str, resource: Resource) {
        let reference = resource.reference();
        let search = self
            .declarations
            .binary_search_by_key(&reference, |known| known.resource.reference());
        match search {
            Ok(index) => {
                let reason = format!("is declared in {} too", self.declarations[index].file);
                self.add_error(file, section, "", reason);
            }
            Err(index) => self.declarations.insert(
                index,
                Declaration {
                    resource,
                    file: file.into(),
                },
            ),
        }
    }

    fn add_error(&mut self, file: &str, section: &str, key: &str, reason: impl Into<String>) {
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

/// Parses the kind and the name in a section header.
fn parse_section(section: &str) -> Result<(Kind, &str), String> {
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

/// Finds a field by its key; the name is not a key, as the section header has it.
fn find_field(kind: Kind, key: &str) -> Option<&'static Field> {
    fields(kind)
        .iter()
        .find(|field| field.path == key && key != "name")
}

/// Inserts a value at a path of at most two parts.
fn insert_value(spec: &mut Map<String, Value>, path: &str, value: Value) {
    match path.split_once('.') {
        Some((group, key)) => {
            let group = spec.entry(group).or_insert_with(|| json!({}));
            group[key] = value;
        }
        None => drop(spec.insert(path.into(), value)),
    }
}

/// Converts the text of a field to JSON; text of another type stays a string, which the validation
/// rejects.
fn to_json(field_type: FieldType, text: &str) -> Value {
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

/// Formats the value of a field in the syntax of declaration files.
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

/// Returns the fields of a resource except the name, with values in the syntax of declaration
/// files.
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
