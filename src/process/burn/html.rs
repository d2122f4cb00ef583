//! Report as a self-contained HTML page.

use std::fmt::Write;

use crate::connection::wire::{BurnReport, ClassBurn};

use super::burn::burn_rate;
use super::table::{row, worst_first};

/// Maximum number of lines in the plot; more would be hard to tell apart.
const MAX_LINES: usize = 8;
const COLOURS: [&str; MAX_LINES] = [
    "#b2182b", "#2166ac", "#1b7837", "#762a83", "#b35806", "#01665e", "#c51b7d", "#4d4d4d",
];

/// Plot area in SVG units.
const LEFT: f64 = 50.0;
const TOP: f64 = 15.0;
const WIDTH: f64 = 700.0;
const HEIGHT: f64 = 260.0;

/// Maximum burn rate on the vertical axis. Higher rates are drawn at the upper edge, so that one
/// class with a very high rate does not flatten the other lines.
const MAX_PLOTTED_RATE: f64 = 50.0;

const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222;background:#fff}\
table{border-collapse:collapse}th,td{padding:.25em .8em;border-bottom:1px solid #ccc;text-align:left}\
td.alert{color:#b2182b;font-weight:bold}svg{max-width:100%;height:auto}\
svg text{font:11px sans-serif;fill:#222}";

/// Renders a report as a page with a plot of the burn rate of the worst classes and a table of
/// all classes.
pub fn html(report: &BurnReport) -> String {
    let hosts: Vec<&str> = report.hosts.iter().map(|host| &**host).collect();
    let mut page = String::new();
    page.push_str("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n");
    page.push_str("<title>Service-level burn</title>\n");
    let _ = writeln!(page, "<style>{STYLE}</style>\n</head>\n<body>");
    page.push_str("<h1>Service-level burn</h1>\n");
    let _ = writeln!(
        page,
        "<p>Entry hosts: {}. A burn rate of 1 spends the error budget exactly.</p>",
        escape(&hosts.join(", "))
    );
    write_plot(&mut page, report);
    write_table(&mut page, report);
    page.push_str("</body>\n</html>\n");
    page
}

fn write_table(page: &mut String, report: &BurnReport) {
    page.push_str("<table>\n<tr><th>Customer</th><th>Class</th><th>Objective</th>");
    page.push_str("<th>Budget left</th><th>5 min</th><th>1 h</th><th>6 h</th>");
    page.push_str("<th>Outcomes</th><th>Bad</th></tr>\n");
    for burn in worst_first(report) {
        page.push_str("<tr>");
        for cell in row(burn) {
            let class = if cell.alert { " class=\"alert\"" } else { "" };
            let _ = write!(page, "<td{class}>{}</td>", escape(&cell.text));
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n");
}

fn write_plot(page: &mut String, report: &BurnReport) {
    let plotted: Vec<&ClassBurn> = worst_first(report)
        .into_iter()
        .filter(|burn| burn.history.iter().any(|outcomes| outcomes.total > 0))
        .take(MAX_LINES)
        .collect();
    let highest = plotted
        .iter()
        .flat_map(|burn| step_rates(burn).into_iter().flatten())
        .fold(2.0, f64::max)
        .min(MAX_PLOTTED_RATE);
    let height = TOP + HEIGHT + 40.0 + 16.0 * plotted.len() as f64;
    let _ = writeln!(
        page,
        "<svg viewBox=\"0 0 {} {height}\" width=\"{}\" role=\"img\" \
         aria-label=\"Burn rate over time\" xmlns=\"http://www.w3.org/2000/svg\">",
        LEFT + WIDTH + 20.0,
        LEFT + WIDTH + 20.0,
    );
    write_axes(page, report, highest);
    for (burn, colour) in plotted.iter().zip(COLOURS) {
        write_line(page, burn, colour, highest);
    }
    write_legend(page, &plotted);
    page.push_str("</svg>\n");
}

/// Writes the axes, their labels and a dashed line at burn rate 1.
fn write_axes(page: &mut String, report: &BurnReport, highest: f64) {
    let (right, bottom) = (LEFT + WIDTH, TOP + HEIGHT);
    let _ = writeln!(
        page,
        "<path d=\"M{LEFT} {TOP}V{bottom}H{right}\" fill=\"none\" stroke=\"#222\"/>"
    );
    for quarter in 0..=4 {
        let rate = highest * f64::from(quarter) / 4.0;
        let y = y_position(rate, highest);
        let _ = writeln!(
            page,
            "<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{rate:.1}</text>",
            LEFT - 6.0,
            y + 4.0
        );
    }
    let y = y_position(1.0, highest);
    let _ = writeln!(
        page,
        "<path d=\"M{LEFT} {y}H{right}\" stroke=\"#888\" stroke-dasharray=\"4 3\"/>"
    );
    let steps = report.classes.first().map_or(0, |burn| burn.history.len());
    let hours = (report.step * steps as u64 / 3_600_000) as u32;
    for hour in 0..=hours {
        let x = LEFT + WIDTH * f64::from(hour) / f64::from(hours.max(1));
        let label = match hours - hour {
            0 => "now".to_owned(),
            ago => format!("-{ago} h"),
        };
        let _ = writeln!(
            page,
            "<text x=\"{x:.1}\" y=\"{}\" text-anchor=\"middle\">{label}</text>",
            bottom + 16.0
        );
    }
}

/// Writes the line of a class, with gaps at steps without outcomes.
fn write_line(page: &mut String, burn: &ClassBurn, colour: &str, highest: f64) {
    let rates = step_rates(burn);
    let width = WIDTH / rates.len().max(1) as f64;
    let mut path = String::new();
    let mut pen_down = false;
    for (step, rate) in rates.iter().enumerate() {
        let Some(rate) = rate else {
            pen_down = false;
            continue;
        };
        let x = LEFT + width * (step as f64 + 0.5);
        let y = y_position(*rate, highest);
        let command = if pen_down { 'L' } else { 'M' };
        let _ = write!(path, "{command}{x:.1} {y:.1}");
        pen_down = true;
        let _ = writeln!(
            page,
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"2.5\" fill=\"{colour}\"/>"
        );
    }
    let _ = writeln!(
        page,
        "<path d=\"{path}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.5\"/>"
    );
}

fn write_legend(page: &mut String, plotted: &[&ClassBurn]) {
    for (index, (burn, colour)) in plotted.iter().zip(COLOURS).enumerate() {
        let y = TOP + HEIGHT + 40.0 + 16.0 * index as f64;
        let _ = writeln!(
            page,
            "<rect x=\"{LEFT}\" y=\"{}\" width=\"12\" height=\"3\" fill=\"{colour}\"/>\
             <text x=\"{}\" y=\"{y}\">{} {}</text>",
            y - 5.0,
            LEFT + 18.0,
            escape(&burn.customer),
            escape(&burn.class)
        );
    }
}

/// Burn rate of each step of the history.
fn step_rates(burn: &ClassBurn) -> Vec<Option<f64>> {
    burn.history
        .iter()
        .map(|outcomes| burn_rate(burn.objective, *outcomes))
        .collect()
}

/// Vertical position of a burn rate in the plot.
fn y_position(rate: f64, highest: f64) -> f64 {
    TOP + HEIGHT * (1.0 - rate.min(highest) / highest)
}

/// Replaces the characters that have a meaning in HTML.
fn escape(text: &str) -> String {
    text.chars().fold(String::new(), |mut escaped, c| {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            c => escaped.push(c),
        }
        escaped
    })
}
