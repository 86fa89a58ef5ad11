//! `burn`: tables, JSON and the SVG chart.

use std::path::PathBuf;

use crate::stage::TestCluster;
use cli::chart;
use cli::command::burn;
use cli::options::Colour;
use cli::output::Output;
use wire::border;

fn line(service: &str, burn: f64, alert: Option<&str>) -> border::BurnLine {
    let window = |name: &str, burn: f64, covered: f64| border::BurnWindow {
        window: name.to_owned(),
        good: 990,
        bad: 8,
        unknown: 2,
        burn,
        covered,
    };
    border::BurnLine {
        service: service.to_owned(),
        account: "growers".to_owned(),
        objective: 0.999,
        left: 0.25,
        alert: alert.map(str::to_owned),
        windows: vec![
            window("5m", burn, 1.0),
            window("1h", burn / 2.0, 1.0),
            window("6h", burn / 4.0, 0.9),
            window("3d", burn / 8.0, 0.5),
        ],
    }
}

fn report(lines: Vec<border::BurnLine>) -> border::BurnReport {
    border::BurnReport { as_of_ms: 1_796_376_000_000, lines, unknown: Vec::new() }
}

/// Checks that the elements of an SVG document are closed and properly nested.
fn assert_svg(svg: &str) {
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"), "{svg}");
    let mut open = Vec::new();
    for part in svg.split('<').skip(1) {
        let (tag, _) = part.split_once('>').expect("tag is not closed");
        let name = tag.trim_start_matches('/').split([' ', '\n', '/']).next().unwrap_or_default();
        if tag.starts_with('/') {
            assert_eq!(open.pop(), Some(name), "end tag does not match");
        } else if !tag.ends_with('/') {
            open.push(name);
        }
    }
    assert!(open.is_empty(), "{open:?} are not closed");
}

#[tokio::test(flavor = "multi_thread")]
async fn from_entry_vm() {
    let cluster = TestCluster::configured("burn", 1).await;
    cluster.send("tickets", "growers").await;
    let report: border::BurnReport =
        cluster.program(&["burn", "--json"]).run().await.expect_code(0).json();
    let [line] = &report.lines[..] else { panic!("{report:#?}") };
    assert_eq!((line.service.as_str(), line.account.as_str()), ("tickets", "growers"));
    assert!(line.windows.iter().all(|window| window.good == 1), "{line:#?}");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("burn.svg");
    let output = cluster.program(&["burn", "--svg"]).args([&path]).run().await.expect_code(0);
    output.assert_stdout(&["Error budgets at 2", "Windows", "tickets", "growers", "Unknown"]);
    assert_svg(&std::fs::read_to_string(&path).unwrap());
    let output =
        cluster.program(&["burn", "--svg", "/nonexistent/a.svg"]).run().await.expect_code(1);
    output.assert_stderr(&["/nonexistent/a.svg cannot be written"]);
}

#[test]
fn drawing() {
    let lines = vec![line("tickets", 20.0, Some("fast")), line("sorting", 0.5, None)];
    let svg = chart::draw(&report(lines)).unwrap();
    assert_svg(&svg);
    let labels: Vec<&str> = svg.lines().filter(|line| !line.starts_with('<')).collect();
    let count = |label: &str| labels.iter().filter(|found| **found == label).count();
    for service in ["tickets", "sorting"] {
        assert_eq!(count(service), 1, "no panel of {service}: {labels:?}");
    }
    for label in ["growers", "fast alert, 14.4", "slow alert, 1", "5m", "1h", "6h", "3d"] {
        assert_eq!(count(label), 2, "{label} is not in both panels: {labels:?}");
    }
    assert_eq!(svg.matches("<circle").count(), 8, "a window is not drawn");
}

#[test]
fn drawing_edge_cases() {
    assert_svg(&chart::draw(&report(Vec::new())).unwrap());
    let mut odd = line("odd", f64::INFINITY, None);
    assert_svg(&chart::draw(&report(vec![odd.clone()])).unwrap());
    odd.windows.truncate(1);
    assert_svg(&chart::draw(&report(vec![odd.clone(), odd.clone(), odd])).unwrap());
    let mut empty = line("empty", 0.0, None);
    empty.windows.clear();
    assert_svg(&chart::draw(&report(vec![empty])).unwrap());
}

#[test]
fn tables() {
    let mut output = Output::new(Colour::Never);
    let mut report = report(vec![line("tickets", 20.0, Some("fast"))]);
    report.unknown.push(border::Doubt { subject: "a minute".to_owned(), why: "lost".to_owned() });
    burn::write(&report, &mut output);
    let text = output.text();
    let row = "tickets  growers  99.9%      25.0%        20.00  10.00  5.00  2.50  fast";
    for part in [row, "3d      990   8    2        50.0%", "Unknown\n  a minute: lost"] {
        assert!(text.contains(part), "{part:?} is not in:\n{text}");
    }
}
