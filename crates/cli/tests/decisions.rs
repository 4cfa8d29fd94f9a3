//! Checks docs/DECISIONS.md against the code: each row states the constant's value, unit and file, and each constant
//! of the serving decisions has a row.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folder whose numeric constants must all be listed in the page.
const DECISION_FOLDER: &str = "crates/core/src/serving";

/// Row of a constant in the page.
#[derive(Debug)]
struct Row {
    name: String,
    value: String,
    file: String,
}

/// Definition of a constant in the code.
#[derive(Debug)]
struct Constant {
    name: String,
    expression: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the content of a table cell that consists of one code span.
fn quoted(cell: &str) -> Option<&str> {
    cell.trim().strip_prefix('`')?.strip_suffix('`')
}

fn is_constant_name(name: &str) -> bool {
    name.starts_with(|first: char| first.is_ascii_uppercase())
        && name.chars().all(|part| part.is_ascii_uppercase() || part.is_ascii_digit() || part == '_')
}

fn rows() -> Vec<Row> {
    let page = fs::read_to_string(root().join("docs/DECISIONS.md")).expect("the page");
    let row = |line: &str| {
        let cells: Vec<&str> = line.strip_prefix("| ")?.strip_suffix(" |")?.split(" | ").collect();
        let [name, value, file, _, _] = cells[..] else { return None };
        let (name, file) = (quoted(name)?, quoted(file)?);
        is_constant_name(name).then(|| Row { name: name.to_owned(), value: value.to_owned(), file: file.to_owned() })
    };
    page.lines().filter_map(row).collect()
}

/// Returns the constants defined in a file, except for strings and identifiers.
fn constants(file: &Path) -> Vec<Constant> {
    let text = fs::read_to_string(file).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let mut found = Vec::new();
    for definition in text.split("const ").skip(1) {
        let Some((name, rest)) = definition.split_once(':') else { continue };
        if !is_constant_name(name) {
            continue;
        }
        let Some((kind, expression)) = rest.split_once('=') else { continue };
        let Some((expression, _)) = expression.split_once(';') else { continue };
        if kind.contains("str") || kind.contains("NodeId") || kind.contains("GroupId") {
            continue;
        }
        found.push(Constant { name: name.to_owned(), expression: expression.trim().to_owned() });
    }
    found
}

/// Returns the numbers in a text, in order, without digit separators. Digits within a word are skipped.
fn numbers(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut number = String::new();
    let mut before = ' ';
    for symbol in text.chars().chain([' ']) {
        let is_part = symbol.is_ascii_digit() || (!number.is_empty() && matches!(symbol, '.' | '_'));
        if is_part && (!number.is_empty() || !(before.is_alphanumeric() || before == '_')) {
            number.push(symbol);
        } else if !number.is_empty() {
            found.push(std::mem::take(&mut number).replace('_', "").trim_end_matches('.').to_owned());
        }
        before = symbol;
    }
    found
}

/// Returns the unit implied by the constructor in an expression, if any.
fn unit(expression: &str) -> Option<&'static str> {
    if expression.contains("Millis(") || expression.contains("from_millis(") {
        Some("ms")
    } else if expression.contains("from_secs(") {
        Some("s")
    } else {
        None
    }
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let (folders, files): (Vec<PathBuf>, Vec<PathBuf>) = entries.partition(|path| path.is_dir());
    files.into_iter().chain(folders.iter().flat_map(|folder| rust_files(folder))).collect()
}

#[test]
fn rows_match_file_value_and_unit_of_constants() {
    let rows = rows();
    assert!(rows.len() > 100, "only {} rows were parsed", rows.len());
    let mut wrong = Vec::new();
    for row in &rows {
        let file = root().join(&row.file);
        if !file.is_file() {
            wrong.push(format!("{}: file {} does not exist", row.name, row.file));
            continue;
        }
        let Some(constant) = constants(&file).into_iter().find(|constant| constant.name == row.name) else {
            wrong.push(format!("{} is not defined in {}", row.name, row.file));
            continue;
        };
        if numbers(&row.value) != numbers(&constant.expression) {
            wrong.push(format!(
                "{}: the page says {}, the code says {} in {}",
                row.name, row.value, constant.expression, row.file
            ));
        }
        let names_unit = |unit: &str| row.value.split(|part: char| !part.is_alphanumeric()).any(|word| word == unit);
        if unit(&constant.expression).is_some_and(|unit| !names_unit(unit)) {
            wrong.push(format!("{}: {} lacks the unit of {}", row.name, row.value, constant.expression));
        }
    }
    assert!(wrong.is_empty(), "docs/DECISIONS.md differs from the code:\n{}", wrong.join("\n"));
}

#[test]
fn every_decision_constant_has_a_row() {
    let listed: BTreeSet<(String, String)> = rows().into_iter().map(|row| (row.file, row.name)).collect();
    let root = root();
    let mut missing = Vec::new();
    for file in rust_files(&root.join(DECISION_FOLDER)) {
        let path = file.strip_prefix(&root).expect("a path below the root").display().to_string();
        for constant in constants(&file) {
            if !listed.contains(&(path.clone(), constant.name.clone())) {
                missing.push(format!("{} of {path}", constant.name));
            }
        }
    }
    assert!(missing.is_empty(), "constants missing from docs/DECISIONS.md:\n{}", missing.join("\n"));
}
