//! Authentication of operators by a token.

use std::fmt;

use subtle::ConstantTimeEq;

/// Operator token; its `Debug` output does not reveal it.
#[derive(Clone)]
pub struct Token(String);

impl Token {
    /// Creates a token from its text; an empty one matches nothing.
    pub fn new(token: &str) -> Token {
        Token(token.to_owned())
    }

    /// Whether `given` equals the token, compared in constant time.
    pub fn matches(&self, given: &str) -> bool {
        !self.0.is_empty() && bool::from(self.0.as_bytes().ct_eq(given.as_bytes()))
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
