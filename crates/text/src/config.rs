//! The operators' configuration as a whole.

use std::collections::BTreeMap;

use jsonc_parser::ast::Value;
use serde::Deserialize;
use serde::Serialize;

use crate::Account;
use crate::Fault;
use crate::Pool;
use crate::Position;
use crate::Service;
use crate::check::check_names;
use crate::reader::Read;
use crate::reader::Reader;
use model::AccountId;
use model::ServiceId;

/// Maximum size of a configuration, in bytes. Leaves room for its history in the same stored value.
pub const MAX_TEXT_BYTES: usize = 700_000;

/// Configuration declared by the operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Text {
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Pools of backend servers by name.
    pub pools: BTreeMap<String, Pool>,
    /// Client accounts by name.
    pub accounts: BTreeMap<AccountId, Account>,
    /// File name, for faults found by later checks.
    #[serde(skip)]
    pub(crate) file: String,
    /// Source position of each field, by path.
    #[serde(skip)]
    pub(crate) places: BTreeMap<String, Position>,
}

impl PartialEq for Text {
    /// Compares the declarations, ignoring the file name and source positions.
    fn eq(&self, other: &Text) -> bool {
        let same = self.services == other.services && self.pools == other.pools;
        same && self.accounts == other.accounts
    }
}

impl Eq for Text {}

impl Read for Text {
    fn read(reader: &mut Reader<'_>, value: &Value<'_>, path: &str) -> Option<Text> {
        let object = reader.object(value, path, &["$schema", "services", "pools", "accounts"])?;
        let schema: Option<Option<String>> = reader.optional_or(object, path, "$schema", None);
        let services = reader.required(object, path, "services", "{}");
        let pools = reader.required(object, path, "pools", "{}");
        let accounts = reader.required(object, path, "accounts", "{}");
        schema?;
        let text = Text {
            services: services?,
            pools: pools?,
            accounts: accounts?,
            file: String::new(),
            places: BTreeMap::new(),
        };
        check_names(&text, reader);
        Some(text)
    }
}

/// Parses and checks a configuration. `file` is the file name to show in faults.
///
/// # Errors
///
/// All faults, ordered by position.
pub fn parse(file: &str, source: &str) -> Result<Text, Vec<Fault>> {
    let mut reader = Reader::new(file, source);
    if source.len() > MAX_TEXT_BYTES {
        let message = format!("has {} bytes", source.len());
        reader.report_at(0, "text", message, format!("write at most {MAX_TEXT_BYTES}"));
    }
    let text = reader.root::<Text>();
    let (text, places) = reader.into_result(text)?;
    Ok(Text { file: file.to_owned(), places, ..text })
}
