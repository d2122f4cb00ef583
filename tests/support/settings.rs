use std::path::PathBuf;

use ini::Ini;

use super::TestDir;

/// Settings of one process, written as an INI file.
#[derive(Debug, Default)]
pub struct Settings {
    ini: Ini,
}

impl Settings {
    pub fn new() -> Self {
        Settings::default()
    }

    pub fn set(mut self, section: &str, key: &str, value: impl ToString) -> Self {
        self.ini
            .with_section(Some(section))
            .set(key, value.to_string());
        self
    }

    pub fn write(&self, dir: &TestDir, name: &str) -> PathBuf {
        let path = dir.join(name);
        self.ini
            .write_to_file(&path)
            .expect("the test directory is writable");
        path
    }
}
