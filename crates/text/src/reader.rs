//! Typed deserialization of a JSON syntax tree, which collects all faults with their positions.

use std::collections::BTreeMap;
use std::time::Duration;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use strum::VariantArray;

use crate::Bytes;
use crate::Fault;
use crate::Position;
use crate::Share;
use crate::unit::parse_duration;

/// Maximum length of the name of a service, client account, pool or VM, in bytes.
const MAX_NAME_LEN: usize = 63;

/// Type that can be read from a syntax tree.
pub(crate) trait Read: Sized {
    /// Reads the value at `path`, or reports faults and returns `None`.
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Self>;
}

/// State of reading one source: the faults found so far and the position of each field.
pub(crate) struct Reader<'a> {
    file: &'a str,
    source: &'a str,
    faults: Vec<Fault>,
    places: BTreeMap<String, Position>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `source`. `file` is the file name to show in faults.
    pub(crate) fn new(file: &'a str, source: &'a str) -> Reader<'a> {
        Reader { file, source, faults: Vec::new(), places: BTreeMap::new() }
    }

    /// Parses the source and reads its root value.
    pub(crate) fn root<T: Read>(&mut self) -> Option<T> {
        match parse_to_ast(self.source, &CollectOptions::default(), &options()) {
            Err(error) => {
                let message = error.kind().to_string().to_lowercase();
                self.report_at(error.range().start, "text", message, "write JSON with comments");
                None
            }
            Ok(tree) => match tree.value {
                Some(value) => T::read(self, &value, ""),
                None => {
                    self.report_at(0, "text", "is empty", "write an object: {}");
                    None
                }
            },
        }
    }

    /// Returns the value and the position of each field if there are no faults, else all faults in
    /// the order of their positions.
    pub(crate) fn into_result<T>(
        self,
        value: Option<T>,
    ) -> Result<(T, BTreeMap<String, Position>), Vec<Fault>> {
        match value {
            Some(value) if self.faults.is_empty() => Ok((value, self.places)),
            _ => {
                let mut faults = self.faults;
                faults.sort_by(|a, b| (a.place, &a.path).cmp(&(b.place, &b.path)));
                Err(faults)
            }
        }
    }

    /// Reports a fault at a byte offset in the source.
    pub(crate) fn report_at(
        &mut self,
        offset: usize,
        path: &str,
        message: impl Into<String>,
        advice: impl Into<String>,
    ) {
        let place = self.position(offset);
        self.push(place, path, message, advice);
    }

    /// Reports a fault at the position of a field that was already visited.
    pub(crate) fn report(
        &mut self,
        path: &str,
        message: impl Into<String>,
        advice: impl Into<String>,
    ) {
        let place = self.places.get(path).copied().unwrap_or(Position { line: 1, column: 1 });
        self.push(place, path, message, advice);
    }

    fn push(
        &mut self,
        place: Position,
        path: &str,
        message: impl Into<String>,
        advice: impl Into<String>,
    ) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            place,
            path: path.to_owned(),
            message: message.into(),
            advice: advice.into(),
        });
    }

    /// Converts a byte offset to a line and a column.
    fn position(&self, offset: usize) -> Position {
        let mut offset = offset.min(self.source.len());
        while !self.source.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &self.source[..offset];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |at| at + 1);
        let column = before[start..].chars().count() + 1;
        Position { line: saturating_u32(line), column: saturating_u32(column) }
    }

    /// Reads an object and reports fields that are not among `known`.
    pub(crate) fn object<'v, 's>(
        &mut self,
        value: &'v Value<'s>,
        path: &str,
        known: &[&str],
    ) -> Option<&'v Object<'s>> {
        let object = self.map_object(value, path)?;
        for property in &object.properties {
            let name = property.name.as_str();
            if !known.contains(&name) {
                let advice = match nearest(name, known) {
                    Some(near) => format!("did you mean \"{near}\"?"),
                    None => format!("write one of {}", known.join(", ")),
                };
                let at = property.start();
                self.report_at(at, &join_path(path, name), "is not a known field", advice);
            }
        }
        Some(object)
    }

    /// Reads an object, records the positions of its fields and reports duplicates.
    fn map_object<'v, 's>(&mut self, value: &'v Value<'s>, path: &str) -> Option<&'v Object<'s>> {
        let Some(object) = value.as_object() else {
            self.report_invalid(value, path, "an object: {}");
            return None;
        };
        let mut seen = BTreeMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let at = property.start();
            let place = self.position(at);
            self.places.insert(join_path(path, name), place);
            if let Some(first) = seen.insert(name, place) {
                let message = format!("is written twice, first at {first}");
                self.report_at(at, &join_path(path, name), message, "keep one of the two");
            }
        }
        Some(object)
    }

    /// Reads the field `name`. `None` if it is absent or invalid.
    pub(crate) fn optional<T: Read>(
        &mut self,
        object: &Object<'_>,
        path: &str,
        name: &str,
    ) -> Option<T> {
        let property = object.get(name)?;
        T::read(self, &property.value, &join_path(path, name))
    }

    /// Reads the field `name`, or returns `default` if it is absent. `None` if it is invalid.
    pub(crate) fn optional_or<T: Read>(
        &mut self,
        object: &Object<'_>,
        path: &str,
        name: &str,
        default: T,
    ) -> Option<T> {
        match object.get(name) {
            Some(property) => T::read(self, &property.value, &join_path(path, name)),
            None => Some(default),
        }
    }

    /// Reads the field `name` and reports a fault if it is absent; `example` is a valid value for
    /// the correction.
    pub(crate) fn required<T: Read>(
        &mut self,
        object: &Object<'_>,
        path: &str,
        name: &str,
        example: &str,
    ) -> Option<T> {
        if object.get(name).is_none() {
            let advice = format!("write \"{name}\": {example}");
            self.report_at(object.start(), &join_path(path, name), "is missing", advice);
        }
        self.optional(object, path, name)
    }

    /// Reports a value of the wrong type or form; `expected` describes a valid one.
    pub(crate) fn report_invalid(&mut self, value: &Value<'_>, path: &str, expected: &str) {
        let range = value.range();
        let found = self.source.get(range.start..range.end).unwrap_or_default();
        let found: String = found.chars().take(40).collect();
        let message = format!("{} is not valid here", found.replace('\n', " "));
        let path = if path.is_empty() { "text" } else { path };
        self.report_at(range.start, path, message, format!("write {expected}"));
    }
}

/// Parser options: JSON with comments and trailing commas.
fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Returns the path of the field `name` of the object at `path`.
pub(crate) fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Returns the candidate closest to `name`, at an edit distance of at most two.
pub(crate) fn nearest<'c>(name: &str, candidates: &[&'c str]) -> Option<&'c str> {
    let scored = candidates.iter().map(|c| (edit_distance(name, c), *c));
    scored.filter(|(edits, _)| *edits <= 2).min().map(|(_, c)| c)
}

/// Levenshtein distance. Counts each character of `left` beyond the maximum name length as one
/// edit, which bounds the work on long names.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().take(MAX_NAME_LEN).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let change = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()].max(left.chars().count().saturating_sub(MAX_NAME_LEN))
}

impl Read for bool {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<bool> {
        let literal = value.as_boolean_lit();
        if literal.is_none() {
            reader.report_invalid(value, path, "true or false");
        }
        literal.map(|literal| literal.value)
    }
}

impl Read for String {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<String> {
        let literal = value.as_string_lit().filter(|s| !s.value.is_empty());
        if literal.is_none() {
            reader.report_invalid(value, path, "a string that is not empty");
        }
        literal.map(|literal| literal.value.to_string())
    }
}

impl Read for f64 {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<f64> {
        let number: Option<f64> = value.as_number_lit().and_then(|n| n.value.parse().ok());
        let number = number.filter(|number| number.is_finite() && *number > 0.0);
        if number.is_none() {
            reader.report_invalid(value, path, "a number above 0");
        }
        number
    }
}

impl Read for u32 {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<u32> {
        let number = value.as_number_lit().and_then(|n| n.value.parse().ok());
        if number.is_none() {
            reader.report_invalid(value, path, "a whole number without a unit, such as 8");
        }
        number
    }
}

impl Read for Duration {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Duration> {
        let span = value.as_string_lit().and_then(|s| parse_duration(&s.value));
        if span.is_none() {
            let expected = "a duration with one unit (us, ms, s, m, h), such as \"250ms\"";
            reader.report_invalid(value, path, expected);
        }
        span
    }
}

impl Read for Bytes {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Bytes> {
        let size = value.as_string_lit().and_then(|s| Bytes::parse(&s.value));
        if size.is_none() {
            let expected = "a size with a unit (B, KB, MB, GB, TB, KiB, MiB, GiB, TiB), \
                            such as \"16GB\"";
            reader.report_invalid(value, path, expected);
        }
        size
    }
}

impl Read for Share {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Share> {
        let share = value.as_string_lit().and_then(|s| Share::parse(&s.value));
        if share.is_none() {
            reader.report_invalid(value, path, "a percentage, such as \"99.9%\"");
        }
        share
    }
}

impl<T: Read> Read for Vec<T> {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Vec<T>> {
        let Some(array) = value.as_array() else {
            reader.report_invalid(value, path, "a list: []");
            return None;
        };
        let mut items = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let place = reader.position(element.start());
            reader.places.insert(path.clone(), place);
            items.push(T::read(reader, element, &path));
        }
        items.into_iter().collect()
    }
}

impl<K: for<'k> From<&'k str> + Ord, T: Read> Read for BTreeMap<K, T> {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<BTreeMap<K, T>> {
        let object = reader.map_object(value, path)?;
        let mut items = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join_path(path, name);
            if !is_name(name) {
                let advice = "write lower-case letters, digits and hyphens, at most 63, \
                              a letter first";
                reader.report_at(property.start(), &path, "is not a valid name", advice);
            }
            items.push(T::read(reader, &property.value, &path).map(|item| (K::from(name), item)));
        }
        items.into_iter().collect()
    }
}

/// Reads the name of an enum variant.
pub(crate) fn read_variant<T: VariantArray + AsRef<str> + Copy>(
    reader: &mut Reader<'_>,
    value: &Value<'_>,
    path: &str,
) -> Option<T> {
    let names: Vec<&str> = T::VARIANTS.iter().map(AsRef::as_ref).collect();
    let literal = value.as_string_lit();
    let found = literal.and_then(|s| T::VARIANTS.iter().find(|v| v.as_ref() == s.value.as_ref()));
    if found.is_none() {
        reader.report_invalid(value, path, &format!("one of \"{}\"", names.join("\", \"")));
    }
    found.copied()
}

/// Whether `name` is a valid name of a service, client account, pool or VM.
pub(crate) fn is_name(name: &str) -> bool {
    let valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let first = name.as_bytes().first().is_some_and(u8::is_ascii_lowercase);
    first && name.len() <= MAX_NAME_LEN && name.bytes().all(valid)
}
