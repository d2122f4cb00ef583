//! Report as a text table.

use crate::connection::wire::{BurnReport, ClassBurn};
use crate::process::table::{Cell, Table};

/// Renders a report as a table, sorted by remaining budget, the smallest first. `colour` marks
/// classes that have exceeded their budget.
pub fn table(report: &BurnReport, colour: bool) -> String {
    let mut table = Table::new(&[
        "CUSTOMER",
        "CLASS",
        "OBJECTIVE",
        "BUDGET LEFT",
        "5 MIN",
        "1 H",
        "6 H",
        "OUTCOMES",
        "BAD",
    ]);
    for burn in worst_first(report) {
        table.push(row(burn));
    }
    table.render(colour)
}

/// Classes of a report, the one with the smallest remaining budget first.
pub(super) fn worst_first(report: &BurnReport) -> Vec<&ClassBurn> {
    let mut classes: Vec<&ClassBurn> = report.classes.iter().collect();
    classes.sort_by(|a, b| a.budget_left.total_cmp(&b.budget_left));
    classes
}

/// Cells of the row of a class.
pub(super) fn row(burn: &ClassBurn) -> Vec<Cell> {
    let outcomes = burn.windows.last().map(|window| window.outcomes);
    let mut cells = vec![
        Cell::text(&burn.customer),
        Cell::text(&burn.class),
        Cell::text(format!("{}%", format_number(burn.objective * 100.0))),
        Cell::alert(
            format!("{:.1}%", burn.budget_left * 100.0),
            burn.budget_left < 0.0,
        ),
    ];
    cells.extend(burn.windows.iter().map(|window| match window.rate {
        Some(rate) => Cell::alert(format!("{rate:.2}"), rate > 1.0),
        None => Cell::text("-"),
    }));
    let outcomes = outcomes.unwrap_or_default();
    cells.push(Cell::text(outcomes.total.to_string()));
    cells.push(Cell::text(outcomes.bad.to_string()));
    cells
}

/// Formats a number with up to four decimals and without trailing zeros.
fn format_number(number: f64) -> String {
    let text = format!("{number:.4}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
