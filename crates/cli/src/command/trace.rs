//! `basilrack trace`: the log lines of one id, from several processes, in order.

use std::path::Path;

use serde_json::Value;

use crate::error::Error;
use crate::files;
use crate::options::TraceOptions;
use crate::output::LineKind;
use crate::output::Output;
use crate::status::Status;

/// A log line.
struct Line {
    /// Time by which it is sorted: that of its record, but never before the line above it in its
    /// file, for the clock of a VM may jump back.
    order: String,
    shown: String,
    file: String,
    text: String,
}

/// Prints the lines that name an id.
///
/// # Errors
///
/// A file cannot be read, or standard output not written.
pub fn run(options: &TraceOptions, output: &mut Output) -> Result<Status, Error> {
    let mut lines: Vec<Line> = Vec::new();
    for path in &options.logs {
        lines.extend(read(path, &options.id, &files::read(path)?));
    }
    lines.sort_by(|a, b| a.order.cmp(&b.order));
    for line in &lines {
        output.line(LineKind::Plain, format!("{} {} {}", line.shown, line.file, line.text));
    }
    output.flush()?;
    Ok(if lines.is_empty() { Status::Failure } else { Status::Success })
}

fn read(path: &Path, id: &str, text: &str) -> Vec<Line> {
    let file = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    let mut order = String::new();
    let mut lines = Vec::new();
    for line in text.lines() {
        // What is no record, such as a message of the runtime, names no id.
        let Ok(record) = serde_json::from_str::<Value>(line) else { continue };
        let shown = record["timestamp"].as_str().unwrap_or_default().to_owned();
        if shown > order {
            order.clone_from(&shown);
        }
        if line.contains(id) {
            let text = describe(&record);
            lines.push(Line { order: order.clone(), shown, file: file.clone(), text });
        }
    }
    lines
}

fn describe(record: &Value) -> String {
    let mut text = record["message"].as_str().unwrap_or_default().to_owned();
    let empty = serde_json::Map::new();
    for (name, value) in record["kvs"].as_object().unwrap_or(&empty) {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        text.push_str(&format!(" {name}={value}"));
    }
    text
}
