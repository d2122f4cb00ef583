//! Text tables for the output of the command-line client.

const ALERT: &str = "\x1b[31m";
const RESET: &str = "\x1b[0m";

/// One cell of a table.
#[derive(Debug, Clone)]
pub(crate) struct Cell {
    pub(crate) text: String,
    /// Shown in red on a terminal.
    pub(crate) alert: bool,
}

impl Cell {
    pub(crate) fn text(text: impl AsRef<str>) -> Self {
        Cell::alert(text, false)
    }

    /// A cell that is shown in red on a terminal if `alert` is set. Control characters are
    /// replaced, because the text may contain names from outside.
    pub(crate) fn alert(text: impl AsRef<str>, alert: bool) -> Self {
        Cell {
            text: text.as_ref().replace(char::is_control, "?"),
            alert,
        }
    }
}

/// A header and rows; each column is as wide as its widest cell.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<Cell>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Self {
        Table {
            rows: vec![header.iter().map(Cell::text).collect()],
        }
    }

    pub(crate) fn push(&mut self, row: Vec<Cell>) {
        self.rows.push(row);
    }

    /// The table as text with one line per row; `colour` allows terminal colours.
    pub(crate) fn render(&self, colour: bool) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        self.rows
            .iter()
            .map(|row| render_row(row, &widths, colour) + "\n")
            .collect()
    }

    fn width(&self, column: usize) -> usize {
        self.rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.text.chars().count())
            .max()
            .unwrap_or(0)
    }
}

fn render_row(row: &[Cell], widths: &[usize], colour: bool) -> String {
    let last = row.len().saturating_sub(1);
    row.iter()
        .zip(widths)
        .enumerate()
        .map(|(column, (cell, width))| {
            let gap = match column == last {
                true => 0,
                false => width - cell.text.chars().count() + 2,
            };
            let padding = " ".repeat(gap);
            match colour && cell.alert {
                true => format!("{ALERT}{}{RESET}{padding}", cell.text),
                false => format!("{}{padding}", cell.text),
            }
        })
        .collect()
}
