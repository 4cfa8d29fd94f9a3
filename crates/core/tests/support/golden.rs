//! Compares encoded values and texts with golden files in `tests/golden/` of the crate under test.
//!
//! Files of encoded values (lines of `name encoding`) guard against versions that cannot read each other's data on
//! disk, in the metadata store or on the wire. Text files guard against unintended changes of what users write and see:
//! settings, configuration, headers, metrics, log lines, errors. Values have labels that do not depend on the names of
//! types and fields in the code. `STALLMOOR_WRITE_GOLDEN=1` writes the files instead of comparing them; use it only for
//! additions.

// Each test crate uses only some of these functions.
#![allow(dead_code)]

use std::fmt::{Debug, Write};
use std::fs;
use std::path::PathBuf;

/// A labeled value in a golden file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The label, unique in its file.
    pub name: String,
    /// The encoded value, on a single line.
    pub text: String,
}

impl Row {
    /// Creates a row, escaping line feeds in the text.
    pub fn new(name: &str, text: &str) -> Self {
        Self { name: name.to_owned(), text: text.replace('\n', "\\n") }
    }

    /// Returns the text with its line feeds restored.
    pub fn unescaped(&self) -> String {
        self.text.replace("\\n", "\n")
    }
}

/// Returns whether golden files are written instead of compared.
pub fn writes_golden() -> bool {
    std::env::var_os("STALLMOOR_WRITE_GOLDEN").is_some()
}

/// Returns the path of a file or folder in `tests/golden/` of the crate under test.
pub fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Compares the rows that the current code produces with a golden file, and returns the rows of the file.
pub fn check_rows(file: &str, current: &[Row]) -> Vec<Row> {
    let path = golden_path(file);
    if writes_golden() {
        fs::create_dir_all(golden_path("")).expect("the folder can be made");
        let lines: String = current.iter().map(|row| format!("{} {}\n", row.name, row.text)).collect();
        fs::write(&path, lines).expect("the file can be written");
    }
    let stored = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{file} can't be read: {error}"));
    let row = |line: &str| {
        let (name, text) = line.split_once(' ').unwrap_or((line, ""));
        Row { name: name.to_owned(), text: text.to_owned() }
    };
    let stored: Vec<Row> = stored.lines().map(row).collect();
    let names = |rows: &[Row]| rows.iter().map(|row| row.name.clone()).collect::<Vec<_>>();
    assert_eq!(names(&stored), names(current), "{file} and the test have different labels");
    let differing: Vec<_> = stored.iter().zip(current).filter(|(stored, current)| stored != current).collect();
    assert!(differing.is_empty(), "{file} differs from current output (stored, current): {differing:#?}");
    stored
}

/// Compares a text that the current code produces with a golden file.
pub fn check_text(file: &str, current: &str) {
    let path = golden_path(file);
    if writes_golden() {
        fs::create_dir_all(golden_path("")).expect("the folder can be made");
        fs::write(&path, current).expect("the file can be written");
    }
    let stored = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{file} can't be read: {error}"));
    let same = stored.lines().zip(current.lines()).take_while(|(stored, current)| stored == current).count();
    assert!(
        stored == current,
        "{file} differs from line {} on\n--- stored\n{stored}\n--- current\n{current}",
        same + 1
    );
}

/// Checks that each value encodes to the bytes in the golden file and decodes from them.
pub fn check_bytes<T: Debug + PartialEq>(
    file: &str,
    values: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> Option<T>,
) {
    let current: Vec<Row> = values.iter().map(|(name, value)| Row::new(name, &to_hex(&encode(value)))).collect();
    for (row, (_, value)) in check_rows(file, &current).iter().zip(values) {
        assert_eq!(decode(&from_hex(&row.text)).as_ref(), Some(value), "{file}: {}", row.name);
    }
}

/// Encodes bytes as hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}

/// Decodes hexadecimal digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = |offset| text.get(offset..offset + 2).expect("an even number of digits");
    let byte = |offset| u8::from_str_radix(digits(offset), 16).expect("valid hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
