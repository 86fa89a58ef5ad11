//! Initializes logging.

use logforth::Layout;
use logforth::append;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

use crate::bounded::BoundedAppender;
use text::LogFormat;
use text::LogLevel;

/// Logs to standard output without ever blocking the caller; a second call has no effect.
///
/// `RUST_LOG` takes precedence over `level`.
pub fn start_stdout(level: LogLevel, format: LogFormat) {
    match format {
        LogFormat::Text => start_bounded(level, TextLayout::default().no_color()),
        LogFormat::Json => start_bounded(level, JsonLayout::default()),
    }
}

fn start_bounded<L: Layout>(level: LogLevel, layout: L) {
    let filter = RustLogFilterBuilder::from_default_env_or(level.to_string()).build();
    let Some(bounded) = BoundedAppender::start(layout) else { return };
    let starter = logforth::starter_log::builder();
    // An error means that this process has set up its logs before.
    let _ = starter.dispatch(|dispatch| dispatch.filter(filter).append(bounded)).try_apply();
}

/// Logs to standard error; a second call has no effect.
///
/// `RUST_LOG` takes precedence over `level`.
pub fn start(level: LogLevel, format: LogFormat) {
    let filter = RustLogFilterBuilder::from_default_env_or(level.to_string()).build();
    let stderr = append::Stderr::default();
    let stderr = match format {
        LogFormat::Text => stderr.with_layout(TextLayout::default().no_color()),
        LogFormat::Json => stderr.with_layout(JsonLayout::default()),
    };
    let starter = logforth::starter_log::builder();
    // An error means that this process has set up its logs before.
    let _ = starter.dispatch(|dispatch| dispatch.filter(filter).append(stderr)).try_apply();
}
