//! Golden texts: what the product reads, writes and prints today, kept beside the tests and compared exactly.
//!
//! A fixture is a text in `tests/golden` of the crate under test. `STALLMOOR_WRITE_GOLDEN=1` writes the fixtures anew;
//! otherwise one that is missing or differs fails the test. Tests describe values by labels of their own, so that a
//! type or field may be renamed in the code without a change of its fixture.

use std::path::Path;

/// Compares a text with the fixture `name` of the crate whose `CARGO_MANIFEST_DIR` is `manifest`.
pub fn compare(manifest: &str, name: &str, actual: &str) {
    let path = Path::new(manifest).join("tests/golden").join(name);
    if std::env::var_os("STALLMOOR_WRITE_GOLDEN").is_some() {
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("the folder can be made");
        std::fs::write(&path, actual).expect("the fixture can be written");
        return;
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("the fixture {name}: {error}"));
    if let Some(line) = first_difference(&expected, actual) {
        panic!("{name} differs at line {line}\n--- fixture\n{expected}\n--- now\n{actual}");
    }
}

fn first_difference(expected: &str, actual: &str) -> Option<usize> {
    if expected == actual {
        return None;
    }
    let same = expected.lines().zip(actual.lines()).take_while(|(before, now)| before == now).count();
    Some(same + 1)
}
