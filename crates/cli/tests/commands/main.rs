//! Runs the built program against entry VMs in this process. Each module covers one feature or
//! provides helpers.

mod apply_text;
mod burn_report;
mod check_faults;
mod dev_run;
mod explain_paths;
mod job_round;
mod odd_answers;
mod program;
mod relay;
mod script;
mod shell_pages;
mod stage;
mod status_views;
mod trace_lines;
mod urls_tokens;
