//! What a command prints: lines and tables, coloured where that is wanted.

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

/// How a line is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// As it should be.
    Plain,
    /// Added or gained.
    Success,
    /// Worth a look, or not known.
    Warning,
    /// Wrong or removed.
    Error,
    /// A heading.
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
    tone: LineKind,
    cells: Vec<String>,
}

impl Row {
    /// A row.
    pub fn new(tone: LineKind, cells: impl IntoIterator<Item = String>) -> Row {
        let cells = cells.into_iter().map(|cell| cell.replace('\n', " ")).collect();
        Row { tone, cells }
    }
}

/// What a command prints.
#[derive(Clone, Debug)]
pub struct Output {
    content: String,
    coloured: bool,
}

impl Output {
    /// An empty page for standard output.
    pub fn new(colour: Colour) -> Output {
        let coloured = match colour {
            Colour::Auto => io::stdout().is_terminal() && env::var_os("NO_COLOR").is_none(),
            Colour::Always => true,
            Colour::Never => false,
        };
        Output { content: String::new(), coloured }
    }

    /// Adds a line.
    pub fn line(&mut self, tone: LineKind, text: impl Display) {
        let text = text.to_string();
        if self.coloured && tone != LineKind::Plain {
            let style = tone.style();
            self.content.push_str(&format!("{style}{text}{style:#}\n"));
        } else {
            self.content.push_str(&text);
            self.content.push('\n');
        }
    }

    /// Adds a heading, set apart from what is above it.
    pub fn heading(&mut self, title: &str) {
        if !self.content.is_empty() {
            self.content.push('\n');
        }
        self.line(LineKind::Heading, title);
    }

    /// Adds a table, or a line that says that there is nothing.
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
        let tones = std::iter::once(LineKind::Heading).chain(rows.iter().map(|row| row.tone));
        for (tone, line) in tones.zip(table.lines()) {
            self.line(tone, format!(" {}", line.trim_end()));
        }
    }

    /// Adds a part that lists what cannot be known now.
    pub fn unknowns(&mut self, doubts: &[border::Doubt]) {
        self.heading("Unknown");
        if doubts.is_empty() {
            self.line(LineKind::Plain, "  nothing");
        }
        for doubt in doubts {
            self.line(LineKind::Warning, format!("  {}: {}", doubt.subject, doubt.why));
        }
    }

    /// Adds a value as JSON.
    pub fn json<T: Serialize>(&mut self, value: &T) {
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        self.line(LineKind::Plain, text);
    }

    /// Adds text as it is.
    pub fn raw(&mut self, text: &str) {
        self.content.push_str(text);
    }

    /// What has been added since the page was last printed.
    pub fn text(&self) -> &str {
        &self.content
    }

    /// Prints the page and empties it.
    ///
    /// # Errors
    ///
    /// Standard output cannot be written. A reader that went away is none.
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

/// A time in milliseconds since the Unix epoch, as operators read it.
pub fn format_time(millis: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_millis(millis));
    // Times after the year 9999 have no such form.
    let time = time.filter(|_| millis < 253_402_300_800_000);
    time.map_or_else(|| millis.to_string(), |t| humantime::format_rfc3339_millis(t).to_string())
}

/// A value, or a question mark for one that is not known.
pub fn format_optional<T: Display>(value: &Option<T>) -> String {
    value.as_ref().map_or_else(|| "?".to_owned(), T::to_string)
}
