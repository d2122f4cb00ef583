//! State that lives as long as the process.
