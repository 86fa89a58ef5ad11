//! `basilrack trace`: merges the log lines of one id from the logs of several processes.

use std::path::Path;

use serde_json::Value;

use crate::error::Error;
use crate::files;
use crate::options::TraceOptions;
use crate::output::LineKind;
use crate::output::Output;
use crate::status::Status;

/// A log record formatted for output.
struct LogLine {
    /// Sort key: the timestamp of the record, but not before any earlier line of the same file,
    /// since the clock of a VM may jump back.
    sort_time: String,
    timestamp: String,
    file: String,
    text: String,
}

/// Prints the log lines that contain an id.
///
/// # Errors
///
/// A file cannot be read, or standard output cannot be written.
pub fn run(options: &TraceOptions, output: &mut Output) -> Result<Status, Error> {
    let mut lines: Vec<LogLine> = Vec::new();
    for path in &options.logs {
        lines.extend(matching_lines(path, &options.id, &files::read(path)?));
    }
    lines.sort_by(|a, b| a.sort_time.cmp(&b.sort_time));
    for line in &lines {
        output.line(LineKind::Plain, format!("{} {} {}", line.timestamp, line.file, line.text));
    }
    output.flush()?;
    Ok(if lines.is_empty() { Status::Failure } else { Status::Success })
}

fn matching_lines(path: &Path, id: &str, text: &str) -> Vec<LogLine> {
    let file = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let mut sort_time = String::new();
    let mut lines = Vec::new();
    for line in text.lines() {
        // Lines that are not JSON, such as a message of the runtime, are skipped.
        let Ok(record) = serde_json::from_str::<Value>(line) else { continue };
        let timestamp = record["timestamp"].as_str().unwrap_or_default().to_owned();
        if timestamp > sort_time {
            sort_time.clone_from(&timestamp);
        }
        if line.contains(id) {
            let text = format_record(&record);
            lines.push(LogLine {
                sort_time: sort_time.clone(),
                timestamp,
                file: file.clone(),
                text,
            });
        }
    }
    lines
}

fn format_record(record: &Value) -> String {
    let mut text = record["message"].as_str().unwrap_or_default().to_owned();
    let empty = serde_json::Map::new();
    for (name, value) in record["kvs"].as_object().unwrap_or(&empty) {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        text.push_str(&format!(" {name}={value}"));
    }
    text
}
