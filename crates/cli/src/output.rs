//! Buffered output of a command: lines and tables of text, optionally coloured, and JSON.

use std::env;
use std::fmt::Display;
use std::io;
use std::io::IsTerminal;
use std::io::Write;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use clap::builder::styling::AnsiColor;
use clap::builder::styling::Style;
use comfy_table::Table;
use comfy_table::presets;
use serde::Serialize;

use crate::error::Error;
use crate::options::Colour;
use wire::border;

/// Kind of a line, which determines its colour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Neutral or as expected; not coloured.
    Plain,
    /// Added or gained.
    Success,
    /// Changed, unusual or unknown.
    Warning,
    /// Faulty or removed.
    Error,
    /// Heading.
    Heading,
}

impl LineKind {
    fn style(self) -> Style {
        let coloured = |colour: AnsiColor| colour.on_default();
        match self {
            LineKind::Plain => Style::new(),
            LineKind::Success => coloured(AnsiColor::Green),
            LineKind::Warning => coloured(AnsiColor::Yellow),
            LineKind::Error => coloured(AnsiColor::Red),
            LineKind::Heading => Style::new().bold(),
        }
    }
}

/// One row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    kind: LineKind,
    cells: Vec<String>,
}

impl Row {
    /// Creates a row; newlines in cells become spaces, so that each row is one line.
    pub fn new(kind: LineKind, cells: impl IntoIterator<Item = String>) -> Row {
        let cells = cells.into_iter().map(|cell| cell.replace('\n', " ")).collect();
        Row { kind, cells }
    }
}

/// Output of a command, buffered until [`Output::flush`].
#[derive(Clone, Debug)]
pub struct Output {
    content: String,
    coloured: bool,
}

impl Output {
    /// Creates an empty buffer for standard output.
    pub fn new(colour: Colour) -> Output {
        let coloured = match colour {
            Colour::Auto => io::stdout().is_terminal() && env::var_os("NO_COLOR").is_none(),
            Colour::Always => true,
            Colour::Never => false,
        };
        Output { content: String::new(), coloured }
    }

    /// Adds a line.
    pub fn line(&mut self, kind: LineKind, text: impl Display) {
        let text = text.to_string();
        if self.coloured && kind != LineKind::Plain {
            let style = kind.style();
            self.content.push_str(&format!("{style}{text}{style:#}\n"));
        } else {
            self.content.push_str(&text);
            self.content.push('\n');
        }
    }

    /// Adds a heading, with a blank line above unless it is the first line.
    pub fn heading(&mut self, title: &str) {
        if !self.content.is_empty() {
            self.content.push('\n');
        }
        self.line(LineKind::Heading, title);
    }

    /// Adds a table, or the line `none` if it has no rows.
    pub fn table(&mut self, header: &[&str], rows: &[Row]) {
        if rows.is_empty() {
            self.line(LineKind::Plain, "  none");
            return;
        }
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(header);
        for row in rows {
            table.add_row(&row.cells);
        }
        let kinds = std::iter::once(LineKind::Heading).chain(rows.iter().map(|row| row.kind));
        for (kind, line) in kinds.zip(table.lines()) {
            self.line(kind, format!(" {}", line.trim_end()));
        }
    }

    /// Adds a section that lists state that is currently unknown, with the reasons.
    pub fn unknowns(&mut self, unknowns: &[border::Doubt]) {
        self.heading("Unknown");
        if unknowns.is_empty() {
            self.line(LineKind::Plain, "  nothing");
        }
        for unknown in unknowns {
            self.line(LineKind::Warning, format!("  {}: {}", unknown.subject, unknown.why));
        }
    }

    /// Adds a value as JSON.
    pub fn json<T: Serialize>(&mut self, value: &T) {
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        self.line(LineKind::Plain, text);
    }

    /// Adds text unchanged, without a newline.
    pub fn raw(&mut self, text: &str) {
        self.content.push_str(text);
    }

    /// Text added since the last flush.
    pub fn text(&self) -> &str {
        &self.content
    }

    /// Writes the buffer to standard output and clears it.
    ///
    /// # Errors
    ///
    /// Standard output cannot be written. A broken pipe is not an error: the reader has closed it.
    pub fn flush(&mut self) -> Result<(), Error> {
        let mut stdout = io::stdout().lock();
        let written = stdout.write_all(self.content.as_bytes()).and_then(|()| stdout.flush());
        self.content.clear();
        match written {
            Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Error::Print(error)),
            _ => Ok(()),
        }
    }
}

/// Formats milliseconds since the Unix epoch as an RFC 3339 time in UTC.
pub fn format_time(millis: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(millis));
    // RFC 3339 ends with the year 9999; later times are printed as the number of milliseconds.
    let time = time.filter(|_| millis < 253_402_300_800_000);
    time.map_or_else(|| millis.to_string(), |t| humantime::format_rfc3339_millis(t).to_string())
}

/// Formats a value, or `?` if it is unknown.
pub fn format_optional<T: Display>(value: &Option<T>) -> String {
    value.as_ref().map_or_else(|| "?".to_owned(), T::to_string)
}
