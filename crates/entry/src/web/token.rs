//! The operators' token.

use std::fmt;

use subtle::ConstantTimeEq;

/// The operators' token, which is never printed.
#[derive(Clone)]
pub struct Token(String);

impl Token {
    /// Keeps a token.
    pub fn new(token: &str) -> Token {
        Token(token.to_owned())
    }

    /// Whether `given` is the token, in a time that does not depend on where they differ.
    pub fn matches(&self, given: &str) -> bool {
        !self.0.is_empty() && bool::from(self.0.as_bytes().ct_eq(given.as_bytes()))
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
