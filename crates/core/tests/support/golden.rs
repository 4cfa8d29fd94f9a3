//! Golden files in `tests/golden/` of the crate under test: encoded values as lines of `name encoding`, and texts.
//!
//! The values pin what lies on disks, in the metadata store and on the wire of a running fleet. A file that differs
//! means that a new version can't read what an earlier one wrote, or the other way round. The texts pin what users
//! write and see: settings, configuration, headers, figures, log lines, errors. They describe values by labels of their
//! own, so that a type or field may be renamed in the code without a change of its file. `STALLMOOR_WRITE_GOLDEN=1`
//! writes the files instead of comparing them, which is right only for what is added.

// Each crate's tests use a part of this.
#![allow(dead_code)]

use std::fmt::{Debug, Write};
use std::fs;
use std::path::PathBuf;

/// A value of a golden file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Names it in its file.
    pub name: String,
    /// What it is encoded as, on one line.
    pub text: String,
}

impl Row {
    /// A row; line feeds in the text are escaped.
    pub fn new(name: &str, text: &str) -> Self {
        Self { name: name.to_owned(), text: text.replace('\n', "\\n") }
    }

    /// The text as it was before its line feeds were escaped.
    pub fn unescaped(&self) -> String {
        self.text.replace("\\n", "\n")
    }
}

/// Whether golden files are to be written.
pub fn writes_golden() -> bool {
    std::env::var_os("STALLMOOR_WRITE_GOLDEN").is_some()
}

/// A file or folder in `tests/golden/` of the crate under test.
pub fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// The rows of a file, after those of today's code are compared with them.
pub fn check_rows(file: &str, today: &[Row]) -> Vec<Row> {
    let path = golden_path(file);
    if writes_golden() {
        fs::create_dir_all(golden_path("")).expect("the folder can be made");
        let lines: String = today.iter().map(|row| format!("{} {}\n", row.name, row.text)).collect();
        fs::write(&path, lines).expect("the file can be written");
    }
    let stored = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{file} can't be read: {error}"));
    let row = |line: &str| {
        let (name, text) = line.split_once(' ').unwrap_or((line, ""));
        Row { name: name.to_owned(), text: text.to_owned() }
    };
    let stored: Vec<Row> = stored.lines().map(row).collect();
    let names = |rows: &[Row]| rows.iter().map(|row| row.name.clone()).collect::<Vec<_>>();
    assert_eq!(names(&stored), names(today), "{file} has other values than the test");
    let differing: Vec<_> = stored.iter().zip(today).filter(|(stored, today)| stored != today).collect();
    assert!(differing.is_empty(), "{file}: today's code writes otherwise (stored, today): {differing:#?}");
    stored
}

/// Compares a text of today's code with a file.
pub fn check_text(file: &str, today: &str) {
    let path = golden_path(file);
    if writes_golden() {
        fs::create_dir_all(golden_path("")).expect("the folder can be made");
        fs::write(&path, today).expect("the file can be written");
    }
    let stored = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{file} can't be read: {error}"));
    let same = stored.lines().zip(today.lines()).take_while(|(stored, today)| stored == today).count();
    assert!(stored == today, "{file} differs from line {}\n--- stored\n{stored}\n--- today\n{today}", same + 1);
}

/// Checks that today's code encodes each value as the file says, and reads from it that very value.
pub fn check_bytes<T: Debug + PartialEq>(
    file: &str,
    values: &[(&str, T)],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> Option<T>,
) {
    let today: Vec<Row> = values.iter().map(|(name, value)| Row::new(name, &to_hex(&encode(value)))).collect();
    for (row, (_, value)) in check_rows(file, &today).iter().zip(values) {
        assert_eq!(decode(&from_hex(&row.text)).as_ref(), Some(value), "{file}: {}", row.name);
    }
}

/// Bytes as hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("text takes all");
        text
    })
}

/// Bytes from hexadecimal digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = |place| text.get(place..place + 2).expect("two digits");
    let byte = |place| u8::from_str_radix(digits(place), 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
