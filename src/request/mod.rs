//! State that lives as long as one request or task.
