//! The operators' configuration and process settings.
